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
	bearing := NewCapacity(Load{}, NewLoad(16, 400_000), 3)
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
		qt.Check(t, fmt.Sprint(bearing.SplitCost(test.cost)), qt.Equals, fmt.Sprint(test.parts))
	}
	qt.Check(t, bearing.NeedsGroup(NewCost(400_000, 0)), qt.IsFalse)
	qt.Check(t, bearing.NeedsGroup(NewCost(400_000, 1)), qt.IsTrue)
	qt.Check(t, NewCapacity(Load{}, NewLoad(16, 0), 3).NeedsGroup(NewCost(400_000, 1)), qt.IsFalse)
}

// The parts of any cost hold all of it, each within its limit.
func TestSplitCostHoldsAll(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "4")
	rapid.Check(t, func(t *rapid.T) {
		warm := rapid.IntRange(8, 1_000_000).Draw(t, "warm")
		cost := NewCost(rapid.IntRange(1, 3_000_000).Draw(t, "prompt"), rapid.IntRange(0, 100_000).Draw(t, "answer"))
		limit := warm * groupShareNum / groupShareDen
		bearing := NewCapacity(Load{}, NewLoad(1, warm), 1)
		if cost.prompt/limit > 5_000 {
			t.Skip("thousands of parts")
		}
		parts := bearing.SplitCost(cost)
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

// leaseWorld drives the leases of one ledger and keeps what they should be.
type leaseWorld struct {
	ledger  *Allocator
	now     time.Time
	wants   map[string]SlotRequest
	held    map[string]Slot
	decided map[string]bool
	next    int
}

const leaseEngines = 15

func newLeaseWorld() *leaseWorld {
	w := &leaseWorld{
		ledger: NewAllocator("entry-0"), now: time.Unix(1000, 0),
		wants: make(map[string]SlotRequest), held: make(map[string]Slot), decided: make(map[string]bool),
	}
	w.ledger.SetFleet("strip", leaseEngines, NewCapacity(Load{}, NewLoad(16, 400_000), 3))
	return w
}

func (w *leaseWorld) owner(n int) Owner { return NewOwner(fmt.Sprintf("entry-%d", n), 1) }

func (w *leaseWorld) ask(t *rapid.T) {
	work := NewWorkload("strip", "strip-1")
	leased := GroupLeaseWorkload(work)
	if rapid.Bool().Draw(t, "gather") {
		leased = GatherLeaseWorkload(work)
	}
	w.next++
	id := fmt.Sprint(w.next)
	cost := NewCost(rapid.IntRange(400_001, 3_000_000).Draw(t, "prompt"), 100)
	account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
	deadline := w.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second)
	want := NewSlotRequest(id, w.owner(rapid.IntRange(0, 3).Draw(t, "entry")), account, leased, cost, deadline)
	w.wants[id] = want
	w.take(t, w.ledger.Request(w.now, want))
}

// take notes decisions and checks that each want gets one, while it waits.
func (w *leaseWorld) take(t *rapid.T, decisions []Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case Granted:
			if w.decided[d.slot.id] {
				t.Fatalf("%s was decided twice", d.slot.id)
			}
			w.decided[d.slot.id] = true
			w.held[d.slot.id] = d.slot
		case Denied:
			if w.decided[d.want] {
				t.Fatalf("%s was decided twice", d.want)
			}
			w.decided[d.want] = true
		}
	}
}

func (w *leaseWorld) release(t *rapid.T) {
	for id, slot := range w.held {
		delete(w.held, id)
		w.take(t, w.ledger.Release(w.now, slot.owner, slot.server, id, OutcomeFinished))
		return
	}
}

func (w *leaseWorld) forget(t *rapid.T) {
	owner := w.owner(rapid.IntRange(0, 3).Draw(t, "entry"))
	for id, want := range w.wants {
		if want.owner == owner {
			w.decided[id] = true
			delete(w.held, id)
		}
	}
	w.take(t, w.ledger.RemoveOwner(w.now, owner))
}

func (w *leaseWorld) wait(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond)
	w.take(t, w.ledger.Tick(w.now))
}

// check states the bounds: one group gathers, and those that hold memory have
// half of the engines or are alone.
func (w *leaseWorld) check(t *rapid.T) {
	for _, e := range w.ledger.leases.works {
		parts := 0
		for _, h := range e.holders {
			parts += h.parts
		}
		gathers := e.work == GatherLeaseWorkload(e.work.PartWorkload())
		if len(e.holders) > 1 && (gathers || parts > leaseEngines/2) {
			t.Fatalf("%d groups with %d parts hold %v", len(e.holders), parts, e.work)
		}
		if len(e.holders) == 0 && len(e.waiting) > 0 {
			t.Fatalf("%d groups wait for %v, which nobody holds", len(e.waiting), e.work)
		}
	}
}

func TestLeases(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "4")
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld()
		t.Repeat(map[string]func(*rapid.T){
			"ask": w.ask, "release": w.release, "forget": w.forget, "wait": w.wait, "": w.check,
		})
		// Nobody releases anything any more: time alone decides all wants.
		for range 40 {
			w.now = w.now.Add(5 * time.Second)
			w.take(t, w.ledger.Tick(w.now))
		}
		for id := range w.wants {
			if !w.decided[id] {
				t.Fatalf("want %s was never decided", id)
			}
		}
		for _, e := range w.ledger.leases.works {
			if len(e.holders)+len(e.waiting) > 0 {
				t.Fatalf("%v is still held", e.work)
			}
		}
	})
}

// A group that can't be read in the time left is refused at once, as far as
// the keeper of the lease keeps a server whose pace it knows.
func TestLeaseOfALateGroup(t *testing.T) {
	c := qt.New(t)
	work := NewWorkload("strip", "strip-1")
	now := time.Unix(1000, 0)
	want := NewSlotRequest("1", NewOwner("entry-1", 1), "a", GroupLeaseWorkload(work), NewCost(900_000, 0), now.Add(10*time.Second))
	l := NewAllocator("entry-0")
	c.Assert(l.Request(now, want), qt.HasLen, 1)
	c.Assert(l.Release(now, want.owner, "", "1", OutcomeFinished), qt.HasLen, 0)
	place := registry.NewLocation("scl", "scl-a")
	instance := registry.NewServer("engine-0", registry.KindEngine, place, registry.StateLive, "", "strip")
	l.AddServer(now, NewServer(instance, NewCapacity(NewLoad(2, 100_000), NewLoad(16, 400_000), 3)))
	out := l.Request(now, want)
	denied, ok := out[0].(Denied)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%v", out[0]))
	c.Assert(denied.refusal.reason, qt.Equals, ReasonBusy)
}
