package backend

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedock.example/registry"
)

// slotAllocator is what the oracle tests: an Allocator or a mutation of one.
type slotAllocator interface {
	AddServer(now time.Time, server Server)
	RemoveServer(now time.Time, server string) []Decision
	SetKeeperLease(server string, lease KeeperLease)
	SetClosed(server string, closed bool)
	Request(now time.Time, request SlotRequest) []Decision
	Withdraw(now time.Time, owner Owner, id string) []Decision
	Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision
	Adopt(now time.Time, slot Slot)
	RemoveOwner(now time.Time, owner Owner) []Decision
	Report(now time.Time, report Report) []Decision
	PollFailed(now time.Time, server string) []Decision
	Tick(now time.Time) []Decision
	Servers(now time.Time) []ServerState
}

// phase is the true state of an attempt.
type phase string

const (
	phaseRequested phase = "requested"
	phaseGranted   phase = "granted"
	phaseRunning   phase = "running"
	phaseInFlight  phase = "in flight"
	phaseEnded     phase = "ended"
)

// attempt is a slot request and its true state. term numbers the time that
// its server spends with one keeper, in which its slot was granted or
// adopted.
type attempt struct {
	request   SlotRequest
	slot      Slot
	phase     phase
	decided   bool
	idleSince time.Time
	term      int
}

// simServer is the true state of a backend server, which its reports show
// late.
type simServer struct {
	server              Server
	number              int
	answers             int
	refuses             bool
	streams             map[string]Cost
	history             []snapshot
	keeper              int
	term                int
	lease               KeeperLease
	leaseChanged        time.Time
	closed              bool
	leaving             bool
	mayBeCounted        map[string]bool
	reportTaken         time.Time
	reportedIncarnation string
	latestIncarnation   string
}

const (
	// maxHistory is the number of a server's past states from which reports
	// are taken.
	maxHistory = 200
	// freshReports is the number of past states from which most reports are
	// taken.
	freshReports = 12
)

// snapshot is a server's state at one moment, to be reported later.
type snapshot struct {
	at     time.Time
	report Report
}

func (s *simServer) incarnation() string { return fmt.Sprintf("%s-%d", s.server.id, s.number) }

func (s *simServer) load() Load {
	var sum Load
	for _, cost := range s.streams {
		sum = sum.Add(NewLoad(1, cost.Tokens()))
	}
	return sum
}

// capacity returns the load that the server can actually take.
func (s *simServer) capacity() Load {
	if s.answers < s.server.capacity.warmAfter {
		return s.server.capacity.cold
	}
	return s.server.capacity.warm
}

func (s *simServer) restart() {
	s.number++
	s.answers, s.refuses, s.leaving = 0, false, false
	clear(s.streams)
}

// record stores the server's state for delayed reports.
func (s *simServer) record(now time.Time) {
	state := registry.StateLive
	if s.leaving {
		state = registry.StateLeaving
	}
	var held []HeldMemory
	for _, id := range slices.Sorted(maps.Keys(s.streams)) {
		held = append(held, NewHeldMemory(id, s.streams[id].Tokens()))
	}
	report := NewReport(s.server.id, s.incarnation(), state, s.server.capacity.warm.tokens, s.load().tokens)
	s.history = append(s.history, snapshot{now, report.WithModels(testModel).WithRunning(len(held)).WithHeld(0, held...)})
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
}

// oracle tracks the true state of servers, owners and attempts and checks the
// allocators' decisions against it.
type oracle struct {
	now         time.Time
	allocators  []slotAllocator
	servers     []*simServer
	owners      []Owner
	attempts    map[string]*attempt
	lastRequest int
	granted     int
}

const (
	oracleAllocators = 2
	oracleOwners     = 3
)

func newOracle(newAllocator func() slotAllocator) *oracle {
	o := &oracle{now: testStart, attempts: map[string]*attempt{}}
	for range oracleAllocators {
		o.allocators = append(o.allocators, newAllocator())
	}
	for i := range oracleOwners {
		o.owners = append(o.owners, NewOwner(fmt.Sprintf("entry-%d", i), 1))
	}
	for i := range 4 {
		o.servers = append(o.servers, oracleServer(i))
		s := o.servers[i]
		o.keeper(s).AddServer(o.now, s.server)
		s.record(o.now)
	}
	return o
}

// oracleServer returns one of three engines and a plain service.
func oracleServer(i int) *simServer {
	s := &simServer{streams: map[string]Cost{}, keeper: i % oracleAllocators, lease: KeeperLeaseNone, leaseChanged: testStart}
	s.server = testServer(fmt.Sprintf("s%d", i), NewCapacity(NewLoad(2, 12_000), NewLoad(9, 100_000), 2))
	if i == 3 {
		s.server.kind, s.server.service = registry.KindService, "repair-record"
		s.server.capacity = NewCapacity(NewLoad(1, 0), NewLoad(3, 0), 2)
	}
	return s
}

func (o *oracle) keeper(s *simServer) slotAllocator { return o.allocators[s.keeper] }

func (o *oracle) server(id string) *simServer {
	for _, s := range o.servers {
		if s.server.id == id {
			return s
		}
	}
	return nil
}

// ids returns the ids of the attempts in a phase, sorted.
func (o *oracle) ids(p phase) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(o.attempts)) {
		if o.attempts[id].phase == p {
			ids = append(ids, id)
		}
	}
	return ids
}

func (o *oracle) alive(owner Owner) bool { return slices.Contains(o.owners, owner) }

// applyDecisions checks the decisions of one allocator and applies them; lost
// reports whether a cancel is lost.
func (o *oracle) applyDecisions(index int, decisions []Decision, lost func() bool) error {
	for _, d := range decisions {
		var err error
		switch d := d.(type) {
		case Granted:
			err = o.applyGrant(index, d)
		case Denied:
			err = o.applyDenial(d)
		case Orphan:
			err = o.applyOrphan(d, lost)
		case Queued:
		}
		if err != nil {
			return fmt.Errorf("%v: %w", d, err)
		}
	}
	return nil
}

func (o *oracle) applyGrant(index int, g Granted) error {
	a, s := o.attempts[g.slot.id], o.server(g.slot.server)
	switch {
	case a == nil || s == nil:
		return fmt.Errorf("grant of an unknown attempt or server")
	case a.decided:
		return fmt.Errorf("second final decision")
	case s.keeper != index:
		return fmt.Errorf("grant by an entry that doesn't keep the server")
	case s.closed:
		return fmt.Errorf("grant on a closed server")
	case o.now.After(a.request.deadline):
		return fmt.Errorf("grant after the deadline")
	case g.slot.startBy.After(o.now.Add(StartWindow)):
		return fmt.Errorf("start-by time is past the start window")
	case g.slot.incarnation != s.latestIncarnation:
		return fmt.Errorf("grant on an incarnation that was not reported last, %q", s.latestIncarnation)
	}
	a.slot, a.phase, a.decided, a.term = g.slot, phaseGranted, true, s.term
	o.granted++
	if s.lease == KeeperLeaseNone {
		return o.checkGrantWithoutLease(s)
	}
	return nil
}

// checkGrantWithoutLease checks a grant of an allocator that holds no lease
// on the server.
func (o *oracle) checkGrantWithoutLease(s *simServer) error {
	if s.answers < s.server.capacity.warmAfter && !s.refuses && s.incarnation() == s.latestIncarnation {
		return fmt.Errorf("grant on a cold server without a lease")
	}
	var granted Load
	for _, a := range o.attempts {
		usable := a.phase == phaseGranted && !o.now.After(a.slot.startBy)
		if usable && a.slot.server == s.server.id && a.slot.incarnation == s.latestIncarnation {
			granted = granted.Add(NewLoad(1, a.request.cost.Tokens()))
		}
	}
	if !granted.Within(s.server.capacity.warm.part(1, 2)) {
		return fmt.Errorf("more than half granted without a lease")
	}
	return nil
}

func (o *oracle) applyDenial(d Denied) error {
	a := o.attempts[d.attemptID]
	if a == nil || a.decided {
		return fmt.Errorf("second final decision")
	}
	if d.refusal.reason == ReasonBusy && d.refusal.retryAfter <= 0 {
		return fmt.Errorf("busy without a retry time")
	}
	a.decided, a.phase = true, phaseEnded
	return nil
}

func (o *oracle) applyOrphan(d Orphan, lost func() bool) error {
	a, s := o.attempts[d.stream], o.server(d.server)
	if s.server.kind == registry.KindService {
		return fmt.Errorf("cancel sent to the plain service %s, which would run it", d.server)
	}
	running := a != nil && a.phase == phaseRunning && o.alive(a.request.owner)
	if running && o.now.Before(a.request.deadline) {
		return fmt.Errorf("cancel of a stream that its owner holds")
	}
	if !lost() {
		delete(s.streams, d.stream)
	}
	return nil
}
