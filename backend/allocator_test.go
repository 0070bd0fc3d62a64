package backend

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/registry"
)

const (
	testService = "log-summary"
	testModel   = "summary-1"
)

var (
	testStart    = time.Unix(1_800_000_000, 0)
	testWorkload = NewWorkload(testService, testModel)
	testOwner    = NewOwner("entry-1", 1)
)

func testServer(id string, capacity Capacity) Server {
	location := registry.NewLocation("ne-north", "ne-north-a")
	instance := registry.NewServer(id, registry.KindEngine, location, registry.StateLive, id+":80", testService)
	return NewServer(instance, capacity)
}

func testCapacity() Capacity {
	return NewCapacity(NewLoad(2, 20_000), NewLoad(16, 400_000), 3)
}

func testReport(server, incarnation string, held ...HeldMemory) Report {
	used := 0
	for _, h := range held {
		used += h.tokens
	}
	report := NewReport(server, incarnation, registry.StateLive, 400_000, used)
	return report.WithModels(testModel).WithHeld(0, held...)
}

func testRequest(id string, prompt int, now time.Time) SlotRequest {
	return NewSlotRequest(id, testOwner, "account-1", testWorkload, NewCost(prompt, 100), now.Add(time.Minute))
}

// testAllocator returns an allocator that holds full leases on the named
// servers and has one report from each.
func testAllocator(servers ...string) *Allocator {
	a := NewAllocator("entry-1")
	for _, id := range servers {
		a.AddServer(testStart, testServer(id, testCapacity()))
		a.SetKeeperLease(id, KeeperLeaseFull)
		a.Report(testStart, testReport(id, "a"))
	}
	return a
}

// warm lets a server answer until it is warm and returns the time after that.
func warm(a *Allocator, server, incarnation string, now time.Time) time.Time {
	for i := range 3 + warmthSteps {
		now = now.Add(100 * time.Millisecond)
		a.Report(now, testReport(server, incarnation))
		id := fmt.Sprintf("warm-%s-%s-%d", server, incarnation, i)
		avoid := []string{}
		for _, b := range a.backends {
			if b.server.id != server {
				avoid = append(avoid, b.server.id)
			}
		}
		a.Request(now, testRequest(id, 1_000, now).Avoiding(avoid...))
		now = now.Add(100 * time.Millisecond)
		a.Release(now, testOwner, server, id, OutcomeFinished)
	}
	now = now.Add(time.Second)
	a.Report(now, testReport(server, incarnation))
	return now
}

func grants(decisions []Decision) []string {
	var ids []string
	for _, d := range decisions {
		if g, ok := d.(Granted); ok {
			ids = append(ids, g.slot.id)
		}
	}
	return ids
}

func reason(decisions []Decision) Reason {
	for _, d := range decisions {
		if denied, ok := d.(Denied); ok {
			return denied.refusal.reason
		}
	}
	return ""
}

func TestAllocatorWarmth(t *testing.T) {
	c := qt.New(t)
	a := testAllocator("s1")
	c.Assert(a.Servers(testStart)[0].Limit(), qt.Equals, NewLoad(2, 20_000))
	now := warm(a, "s1", "a", testStart)
	c.Assert(a.Servers(now)[0].Limit(), qt.Equals, NewLoad(16, 400_000))
	a.SetKeeperLease("s1", KeeperLeaseNone)
	c.Assert(a.Servers(now)[0].Limit(), qt.Equals, NewLoad(8, 200_000))
	now = now.Add(time.Second)
	a.Report(now, testReport("s1", "b"))
	c.Assert(a.Servers(now)[0].Limit(), qt.Equals, Load{})
}

func TestAllocatorWaitsForFirstReport(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator("entry-1")
	a.AddServer(testStart, testServer("s1", testCapacity()))
	a.SetKeeperLease("s1", KeeperLeaseFull)
	c.Assert(grants(a.Request(testStart, testRequest("1", 1_000, testStart))), qt.HasLen, 0)
	c.Assert(grants(a.Report(testStart.Add(time.Second), testReport("s1", "a"))), qt.DeepEquals, []string{"1"})
}

func TestAllocatorRefusals(t *testing.T) {
	c := qt.New(t)
	a := testAllocator("s1")
	now := warm(a, "s1", "a", testStart)
	other := NewSlotRequest("1", testOwner, "account-1", NewWorkload("other", ""), NewCost(10, 10), now.Add(time.Minute))
	c.Assert(reason(a.Request(now, other)), qt.Equals, ReasonNoServer)
	c.Assert(reason(a.Request(now, testRequest("2", 1_000_000, now))), qt.Equals, ReasonTooLarge)
	c.Assert(reason(a.Request(now, testRequest("3", 1_000, now.Add(-time.Hour)))), qt.Equals, ReasonDeadline)
	c.Assert(reason(a.Request(now, testRequest("4", 390_000, now.Add(-59*time.Second)))), qt.Equals, ReasonBusy)
}

func TestAllocatorReservesForShortPrompts(t *testing.T) {
	c := qt.New(t)
	a := testAllocator("s1")
	now := warm(a, "s1", "a", testStart)
	c.Assert(grants(a.Request(now, testRequest("long-1", 150_000, now))), qt.HasLen, 1)
	c.Assert(grants(a.Request(now, testRequest("long-2", 150_000, now))), qt.HasLen, 0)
	c.Assert(grants(a.Request(now, testRequest("short", 4_000, now))), qt.DeepEquals, []string{"short"})
	out := a.Release(now.Add(time.Second), testOwner, "s1", "long-1", OutcomeFinished)
	c.Assert(grants(out), qt.DeepEquals, []string{"long-2"})
}

func TestAllocatorPrefixAffinity(t *testing.T) {
	c := qt.New(t)
	a := testAllocator("s1", "s2")
	now := warm(a, "s2", "a", warm(a, "s1", "a", testStart))
	a.Report(now, testReport("s1", "a"))
	server := func(id string, prefix uint64) string {
		return a.Request(now, testRequest(id, 30_000, now).WithPrefix(prefix))[0].(Granted).slot.server
	}
	first := server("1", 7)
	now = now.Add(3 * time.Second)
	c.Assert(server("2", 7), qt.Equals, first)
	sentToFirst := 0
	for i := range 8 {
		now = now.Add(3 * time.Second)
		a.Report(now, testReport("s1", "a"))
		a.Report(now, testReport("s2", "a"))
		if server(fmt.Sprint("hot", i), 7) == first {
			sentToFirst++
		}
	}
	c.Assert(sentToFirst < 8, qt.IsTrue)
}

func TestAllocatorResetsWarmth(t *testing.T) {
	tests := map[string]func(a *Allocator, now time.Time){
		"refusal": func(a *Allocator, now time.Time) {
			a.Release(now, testOwner, "s1", "1", OutcomeRefused)
		},
		"new incarnation": func(a *Allocator, now time.Time) {
			a.Report(now, testReport("s1", "b"))
		},
	}
	for name, reset := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := testAllocator("s1")
			now := warm(a, "s1", "a", testStart)
			a.Request(now, testRequest("1", 1_000, now))
			a.Request(now, testRequest("2", 1_000, now))
			now = now.Add(time.Second)
			reset(a, now)
			c.Assert(a.Servers(now)[0].Warmth(), qt.Equals, "cold")
		})
	}
}

func TestAllocatorResetsWarmthOnSlowAnswers(t *testing.T) {
	c := qt.New(t)
	a := testAllocator("s1")
	now := warm(a, "s1", "a", testStart)
	for i := range minLearnedAnswers + coldAfterSlowAnswers {
		now = now.Add(time.Second)
		a.Report(now, testReport("s1", "a"))
		id := fmt.Sprint("slow", i)
		a.Request(now, testRequest(id, 1_000, now))
		elapsed := 100 * time.Millisecond
		if i >= minLearnedAnswers {
			elapsed = 30 * time.Second
		}
		now = now.Add(elapsed)
		a.Release(now, testOwner, "s1", id, OutcomeFinished)
	}
	c.Assert(a.Servers(now)[0].Warmth(), qt.Equals, "cold")
}

func TestAllocatorOrdersIncarnations(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator("entry-1")
	a.AddServer(testStart, testServer("s1", testCapacity()))
	a.SetKeeperLease("s1", KeeperLeaseFull)
	now := testStart.Add(10 * time.Second)
	report := func(incarnation string, lag time.Duration) {
		a.Report(now, testReport("s1", incarnation).WithHeld(lag))
	}
	report("b", 200*time.Millisecond)
	report("a", 100*time.Millisecond)
	c.Assert(a.Servers(now)[0].Incarnation(), qt.Equals, "b")
	c.Assert(grants(a.Request(now, testRequest("1", 1_000, now))), qt.HasLen, 0)
	now = now.Add(time.Second)
	report("b", 0)
	c.Assert(a.Servers(now)[0].Load().Requests(), qt.Equals, 1)
	now = now.Add(time.Second)
	report("c", 0)
	c.Assert(a.Servers(now)[0].Incarnation(), qt.Equals, "c")
	now = now.Add(time.Second)
	report("b", 0)
	c.Assert(a.Servers(now)[0].Incarnation(), qt.Equals, "c")
}

// A call that lost its owner on a plain service counts until the service
// reports that it runs nothing. It must not be cancelled, as the service
// would run the cancel as one more call.
func TestAllocatorNeverCancelsPlainServices(t *testing.T) {
	c := qt.New(t)
	now := testStart
	location := registry.NewLocation("scl", "scl-a")
	instance := registry.NewServer("licence-1", registry.KindService, location, registry.StateLive, "127.0.0.1:1", "licensing")
	a := NewAllocator("entry-1")
	a.AddServer(now, NewServer(instance, NewCapacity(NewLoad(1, 0), NewLoad(4, 0), 3)))
	a.SetKeeperLease("licence-1", KeeperLeaseFull)
	report := func(running int) []Decision {
		now = now.Add(time.Second)
		return a.Report(now, NewReport("licence-1", "a", registry.StateLive, 0, 0).WithRunning(running))
	}
	report(0)
	request := NewSlotRequest("1", testOwner, "account-1", NewWorkload("licensing", ""), Cost{}, now.Add(time.Minute))
	c.Assert(a.Request(now, request), qt.HasLen, 1)
	c.Assert(a.RemoveOwner(now, testOwner), qt.HasLen, 0)
	for range 3 {
		c.Assert(report(1), qt.HasLen, 0)
		c.Assert(a.Tick(now), qt.HasLen, 0)
		c.Assert(a.Servers(now)[0].Load(), qt.Equals, NewLoad(1, 0))
	}
	report(0)
	c.Assert(a.Servers(now)[0].Load(), qt.Equals, Load{})
	report(2)
	c.Assert(a.Servers(now)[0].Load(), qt.Equals, NewLoad(2, 0), qt.Commentf("calls of another keeper count"))
}
