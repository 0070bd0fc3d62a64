package backend

import (
	"slices"
	"strings"
	"time"

	"greengagedock.example/registry"
)

// Summary is what a ledger has free for one work.
type Summary struct {
	work    Workload
	free    Load
	largest Load
	queued  int
	waits   [len(classes)]time.Duration
}

// Workload returns the service and model that the summary speaks of.
func (s Summary) Workload() Workload { return s.work }

// Free returns the load that all servers together still may get.
func (s Summary) Free() Load { return s.free }

// LargestFree returns the load that the server with the most free memory still may get.
func (s Summary) LargestFree() Load { return s.largest }

// QueuedTokens returns the tokens of the wants that wait.
func (s Summary) QueuedTokens() int { return s.queued }

// ExpectedWait returns how long a want of the class is expected to wait.
func (s Summary) ExpectedWait(class Class) time.Duration { return s.waits[class.index()] }

// Costs by which the expected waits of a summary are worked out.
var typicalCosts = [len(classes)]Cost{
	NewCost(shortPromptTokens, 0),
	NewCost(mediumPromptTokens, 0),
	NewCost(mediumPromptTokens+1, 0),
}

// Summaries returns what is free for each work that a kept server carries, in
// the order of service and model.
func (l *Allocator) Summaries(now time.Time) []Summary {
	var out []Summary
	for _, work := range l.works() {
		out = append(out, l.summary(now, work))
	}
	return out
}

func (l *Allocator) works() []Workload {
	var works []Workload
	for _, b := range l.books {
		if b.server.kind == registry.KindService {
			works = append(works, Workload{service: b.server.service})
		}
		for _, model := range b.models {
			works = append(works, Workload{service: b.server.service, model: model})
		}
	}
	slices.SortFunc(works, func(a, b Workload) int {
		if c := strings.Compare(a.service, b.service); c != 0 {
			return c
		}
		return strings.Compare(a.model, b.model)
	})
	return slices.Compact(works)
}

func (l *Allocator) summary(now time.Time, work Workload) Summary {
	q := l.queue(work)
	s := Summary{work: work, queued: q.tokens()}
	for _, b := range l.serving(work) {
		if b.halted(now) != "" {
			continue
		}
		free := b.limit().Sub(b.counted())
		s.free = s.free.Add(free)
		if free.requests > 0 && (s.largest.requests == 0 || free.tokens > s.largest.tokens) {
			s.largest = free
		}
	}
	for i, cost := range typicalCosts {
		if s.free.requests == 0 || q.lanes[i].length > 0 {
			s.waits[i] = l.wait(now, q, SlotRequest{work: work, cost: cost})
		}
	}
	return s
}

// ServerState is what a ledger knows of one kept server, for operators.
type ServerState struct {
	server      string
	incarnation string
	trust       KeeperLease
	warmth      string
	step        int
	halted      string
	load        Load
	limit       Load
}

// Names of the warmth that a server state gives.
const (
	warmthCold    = "cold"
	warmthWarming = "warming"
	warmthWarm    = "warm"
)

// Server returns the server's id.
func (s ServerState) Server() string { return s.server }

// Incarnation returns the incarnation of the last report, empty if there was none.
func (s ServerState) Incarnation() string { return s.incarnation }

// KeeperLease returns how far the keeper is sure to be the only one.
func (s ServerState) KeeperLease() KeeperLease { return s.trust }

// Warmth returns cold, warming or warm.
func (s ServerState) Warmth() string { return s.warmth }

// WarmthStep returns how many steps above the cold bearing the server has earned.
func (s ServerState) WarmthStep() int { return s.step }

// SuspendedReason returns why the server gets nothing new, empty if it may.
func (s ServerState) SuspendedReason() string { return s.halted }

// Load returns the load counted on the server.
func (s ServerState) Load() Load { return s.load }

// Limit returns the load that the server may get at its warmth and trust.
func (s ServerState) Limit() Load { return s.limit }

// Servers returns the state of every kept server in the order of their ids.
func (l *Allocator) Servers(now time.Time) []ServerState {
	out := make([]ServerState, 0, len(l.books))
	for _, b := range l.books {
		out = append(out, ServerState{
			server: b.server.id, incarnation: b.incarnation, trust: b.trust, warmth: b.warmth.String(), step: b.warmth.step,
			halted: b.halted(now), load: b.counted(), limit: b.limit(),
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
