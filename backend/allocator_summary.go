package backend

import (
	"slices"
	"strings"
	"time"

	"greengagedock.example/registry"
)

// Summary is the free capacity of an allocator's servers for one workload.
type Summary struct {
	workload      Workload
	free          Load
	largestFree   Load
	queuedTokens  int
	expectedWaits [len(classes)]time.Duration
}

// Workload returns the service and model that the summary describes.
func (s Summary) Workload() Workload { return s.workload }

// Free returns the load that all servers together can still take.
func (s Summary) Free() Load { return s.free }

// LargestFree returns the load that the server with the most free memory can
// still take.
func (s Summary) LargestFree() Load { return s.largestFree }

// QueuedTokens returns the tokens of the queued requests.
func (s Summary) QueuedTokens() int { return s.queuedTokens }

// ExpectedWait returns how long a request of the class is expected to wait.
func (s Summary) ExpectedWait(class Class) time.Duration { return s.expectedWaits[class.index()] }

// typicalCosts are the costs, one per class, for which a summary gives the
// expected waits.
var typicalCosts = [len(classes)]Cost{
	NewCost(shortPromptTokens, 0),
	NewCost(mediumPromptTokens, 0),
	NewCost(mediumPromptTokens+1, 0),
}

// Summaries returns the free capacity for each workload that the servers
// carry, ordered by service and model.
func (a *Allocator) Summaries(now time.Time) []Summary {
	var out []Summary
	for _, workload := range a.workloads() {
		out = append(out, a.summary(now, workload))
	}
	return out
}

func (a *Allocator) workloads() []Workload {
	var workloads []Workload
	for _, y := range a.backends {
		if y.server.kind == registry.KindService {
			workloads = append(workloads, Workload{service: y.server.service})
		}
		for _, model := range y.models {
			workloads = append(workloads, Workload{service: y.server.service, model: model})
		}
	}
	slices.SortFunc(workloads, func(x, y Workload) int {
		if c := strings.Compare(x.service, y.service); c != 0 {
			return c
		}
		return strings.Compare(x.model, y.model)
	})
	return slices.Compact(workloads)
}

func (a *Allocator) summary(now time.Time, workload Workload) Summary {
	q := a.queue(workload)
	s := Summary{workload: workload, queuedTokens: q.tokens()}
	for _, b := range a.serving(workload) {
		if b.suspendedReason(now) != "" {
			continue
		}
		free := b.limit().Sub(b.countedLoad())
		s.free = s.free.Add(free)
		if free.requests > 0 && (s.largestFree.requests == 0 || free.tokens > s.largestFree.tokens) {
			s.largestFree = free
		}
	}
	for i, cost := range typicalCosts {
		if s.free.requests == 0 || q.classQueues[i].length > 0 {
			s.expectedWaits[i] = a.expectedWait(now, q, SlotRequest{workload: workload, cost: cost})
		}
	}
	return s
}

// ServerState describes one server of an allocator, for operators.
type ServerState struct {
	server          string
	incarnation     string
	lease           KeeperLease
	warmth          string
	warmthStep      int
	suspendedReason string
	load            Load
	limit           Load
}

// Values of ServerState.Warmth.
const (
	warmthCold    = "cold"
	warmthWarming = "warming"
	warmthWarm    = "warm"
)

// Server returns the server's id.
func (s ServerState) Server() string { return s.server }

// Incarnation returns the incarnation of the last report, empty if there was none.
func (s ServerState) Incarnation() string { return s.incarnation }

// KeeperLease returns the state of the keeper's lease on the server.
func (s ServerState) KeeperLease() KeeperLease { return s.lease }

// Warmth returns cold, warming or warm.
func (s ServerState) Warmth() string { return s.warmth }

// WarmthStep returns how many steps the server's limit has risen above the
// cold capacity.
func (s ServerState) WarmthStep() int { return s.warmthStep }

// SuspendedReason returns why the server gets nothing new, empty if it may.
func (s ServerState) SuspendedReason() string { return s.suspendedReason }

// Load returns the load counted on the server.
func (s ServerState) Load() Load { return s.load }

// Limit returns the load allowed on the server at its warmth and lease.
func (s ServerState) Limit() Load { return s.limit }

// Servers returns the state of every server, ordered by id.
func (a *Allocator) Servers(now time.Time) []ServerState {
	out := make([]ServerState, 0, len(a.backends))
	for _, b := range a.backends {
		out = append(out, ServerState{
			server: b.server.id, incarnation: b.incarnation, lease: b.lease, warmth: b.warmth.String(), warmthStep: b.warmth.step,
			suspendedReason: b.suspendedReason(now), load: b.countedLoad(), limit: b.limit(),
		})
	}
	return out
}

// String returns cold, warming or warm.
func (w *warmth) String() string {
	switch w.step {
	case 0:
		return warmthCold
	case warmthSteps:
		return warmthWarm
	default:
		return warmthWarming
	}
}
