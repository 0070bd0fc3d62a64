package backend

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagedock.example/flagtest"
	"greengagedock.example/registry"
)

func TestSplitCost(t *testing.T) {
	capacity := NewCapacity(Load{}, NewLoad(16, 400_000), 3)
	tests := []struct {
		cost  Cost
		parts []Cost
	}{
		{cost: NewCost(900_000, 4_096), parts: []Cost{{301_366, 0}, {301_366, 0}, {297_268, 4_096}}},
		{cost: NewCost(400_001, 0), parts: []Cost{{200_001, 0}, {200_000, 0}}},
		{cost: NewCost(1_000_000, 350_000)},
		{cost: NewCost(0, 10)},
	}
	for _, test := range tests {
		qt.Check(t, fmt.Sprint(capacity.SplitCost(test.cost)), qt.Equals, fmt.Sprint(test.parts))
	}
	qt.Check(t, capacity.NeedsGroup(NewCost(400_000, 0)), qt.IsFalse)
	qt.Check(t, capacity.NeedsGroup(NewCost(400_000, 1)), qt.IsTrue)
	qt.Check(t, NewCapacity(Load{}, NewLoad(16, 0), 3).NeedsGroup(NewCost(400_000, 1)), qt.IsFalse)
}

// The parts of a cost add up to it, and each is within its limit.
func TestSplitCostIsComplete(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "4")
	rapid.Check(t, func(t *rapid.T) {
		warm := rapid.IntRange(8, 1_000_000).Draw(t, "warm")
		cost := NewCost(rapid.IntRange(1, 3_000_000).Draw(t, "prompt"), rapid.IntRange(0, 100_000).Draw(t, "answer"))
		limit := warm * groupShareNum / groupShareDen
		capacity := NewCapacity(Load{}, NewLoad(1, warm), 1)
		if cost.prompt/limit > 5_000 {
			t.Skip("thousands of parts")
		}
		parts := capacity.SplitCost(cost)
		if parts == nil {
			if cost.answer < limit {
				t.Fatalf("no parts of %v at %d", cost, limit)
			}
			return
		}
		var sum Cost
		for i, part := range parts {
			sum.prompt += part.prompt
			sum.answer += part.answer
			if part.prompt < 1 || part.Tokens() > limit || part.answer > 0 && i < len(parts)-1 {
				t.Fatalf("part %d of %v is %v, limit %d", i, cost, part, limit)
			}
		}
		if sum != cost {
			t.Fatalf("the parts of %v sum up to %v", cost, sum)
		}
	})
}

// leaseSimulation applies random operations to the leases of one allocator
// and tracks who should hold them.
type leaseSimulation struct {
	allocator *Allocator
	now       time.Time
	requests  map[string]SlotRequest
	held      map[string]Slot
	decided   map[string]bool
	next      int
}

const leaseEngines = 15

func newLeaseSimulation() *leaseSimulation {
	s := &leaseSimulation{
		allocator: NewAllocator("entry-0"), now: time.Unix(1000, 0),
		requests: make(map[string]SlotRequest), held: make(map[string]Slot), decided: make(map[string]bool),
	}
	s.allocator.SetFleet("strip", leaseEngines, NewCapacity(Load{}, NewLoad(16, 400_000), 3))
	return s
}

func (s *leaseSimulation) owner(n int) Owner { return NewOwner(fmt.Sprintf("entry-%d", n), 1) }

func (s *leaseSimulation) request(t *rapid.T) {
	workload := NewWorkload("strip", "strip-1")
	leased := GroupLeaseWorkload(workload)
	if rapid.Bool().Draw(t, "gather") {
		leased = GatherLeaseWorkload(workload)
	}
	s.next++
	id := fmt.Sprint(s.next)
	cost := NewCost(rapid.IntRange(400_001, 3_000_000).Draw(t, "prompt"), 100)
	account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
	deadline := s.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second)
	request := NewSlotRequest(id, s.owner(rapid.IntRange(0, 3).Draw(t, "entry")), account, leased, cost, deadline)
	s.requests[id] = request
	s.apply(t, s.allocator.Request(s.now, request))
}

// apply records decisions and checks that each request gets at most one final
// decision.
func (s *leaseSimulation) apply(t *rapid.T, decisions []Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case Granted:
			if s.decided[d.slot.id] {
				t.Fatalf("%s was decided twice", d.slot.id)
			}
			s.decided[d.slot.id] = true
			s.held[d.slot.id] = d.slot
		case Denied:
			if s.decided[d.attemptID] {
				t.Fatalf("%s was decided twice", d.attemptID)
			}
			s.decided[d.attemptID] = true
		}
	}
}

func (s *leaseSimulation) release(t *rapid.T) {
	for id, slot := range s.held {
		delete(s.held, id)
		s.apply(t, s.allocator.Release(s.now, slot.owner, slot.server, id, OutcomeFinished))
		return
	}
}

func (s *leaseSimulation) removeOwner(t *rapid.T) {
	owner := s.owner(rapid.IntRange(0, 3).Draw(t, "entry"))
	for id, request := range s.requests {
		if request.owner == owner {
			s.decided[id] = true
			delete(s.held, id)
		}
	}
	s.apply(t, s.allocator.RemoveOwner(s.now, owner))
}

func (s *leaseSimulation) wait(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond)
	s.apply(t, s.allocator.Tick(s.now))
}

// check tests the limits: at most one group holds the gather lease, and
// several groups that hold memory have at most half of the engines.
func (s *leaseSimulation) check(t *rapid.T) {
	for _, lease := range s.allocator.groupLeases.leases {
		parts := 0
		for _, h := range lease.holders {
			parts += h.parts
		}
		isGatherLease := lease.workload == GatherLeaseWorkload(lease.workload.PartWorkload())
		if len(lease.holders) > 1 && (isGatherLease || parts > leaseEngines/2) {
			t.Fatalf("%d groups with %d parts hold %v", len(lease.holders), parts, lease.workload)
		}
		if len(lease.holders) == 0 && len(lease.waiting) > 0 {
			t.Fatalf("%d groups wait for %v, which nobody holds", len(lease.waiting), lease.workload)
		}
	}
}

func TestGroupLeases(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "4")
	rapid.Check(t, func(t *rapid.T) {
		s := newLeaseSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"ask": s.request, "release": s.release, "forget": s.removeOwner, "wait": s.wait, "": s.check,
		})
		// Nothing is released from here on, so every request must be decided
		// by time alone.
		for range 40 {
			s.now = s.now.Add(5 * time.Second)
			s.apply(t, s.allocator.Tick(s.now))
		}
		for id := range s.requests {
			if !s.decided[id] {
				t.Fatalf("request %s was never decided", id)
			}
		}
		for _, lease := range s.allocator.groupLeases.leases {
			if len(lease.holders)+len(lease.waiting) > 0 {
				t.Fatalf("%v is still held", lease.workload)
			}
		}
	})
}

// A group whose prompt can't be prefilled before its deadline is denied at
// once, if the keeper of the lease has a server from which to estimate the
// time.
func TestGroupLeaseDeniedWhenLate(t *testing.T) {
	c := qt.New(t)
	workload := NewWorkload("strip", "strip-1")
	now := time.Unix(1000, 0)
	request := NewSlotRequest("1", NewOwner("entry-1", 1), "a", GroupLeaseWorkload(workload), NewCost(900_000, 0), now.Add(10*time.Second))
	a := NewAllocator("entry-0")
	c.Assert(a.Request(now, request), qt.HasLen, 1)
	c.Assert(a.Release(now, request.owner, "", "1", OutcomeFinished), qt.HasLen, 0)
	location := registry.NewLocation("scl", "scl-a")
	instance := registry.NewServer("engine-0", registry.KindEngine, location, registry.StateLive, "", "strip")
	a.AddServer(now, NewServer(instance, NewCapacity(NewLoad(2, 100_000), NewLoad(16, 400_000), 3)))
	out := a.Request(now, request)
	denied, ok := out[0].(Denied)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%v", out[0]))
	c.Assert(denied.refusal.reason, qt.Equals, ReasonBusy)
}

// A request for which the queue of a lease has no place is told to come back when one
// of the groups that hold the lease may have ended.
func TestFullLeaseQueueTellsWhenAPlaceIsFree(t *testing.T) {
	c := qt.New(t)
	workload := NewWorkload("strip", "strip-1")
	now := time.Unix(1000, 0)
	a := NewAllocator("entry-0")
	location := registry.NewLocation("scl", "scl-a")
	instance := registry.NewServer("engine-0", registry.KindEngine, location, registry.StateLive, "", "strip")
	a.AddServer(now, NewServer(instance, NewCapacity(NewLoad(2, 100_000), NewLoad(16, 400_000), 3)))
	request := func(n int) SlotRequest {
		return NewSlotRequest(fmt.Sprint(n), NewOwner("entry-1", 1), "a", GatherLeaseWorkload(workload), NewCost(60_000, 0), now.Add(time.Hour))
	}
	for n := range maxLeaseQueue + 1 { // one holds the lease
		a.Request(now, request(n))
	}
	denied, ok := a.Request(now, request(maxLeaseQueue+1))[0].(Denied)
	c.Assert(ok, qt.IsTrue)
	c.Assert(denied.refusal.retryAfter, qt.Equals, a.groupServiceTime(now, request(0)))
	c.Assert(denied.refusal.retryAfter > minRetryAfter, qt.IsTrue)
}
