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
	testStart = time.Unix(1_800_000_000, 0)
	testWork  = NewWorkload(testService, testModel)
	testOwner = NewOwner("entry-1", 1)
)

func testServer(id string, bearing Capacity) Server {
	place := registry.NewLocation("ne-north", "ne-north-a")
	instance := registry.NewServer(id, registry.KindEngine, place, registry.StateLive, id+":80", testService)
	return NewServer(instance, bearing)
}

func testBearing() Capacity {
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

func testWant(id string, prompt int, now time.Time) SlotRequest {
	return NewSlotRequest(id, testOwner, "account-1", testWork, NewCost(prompt, 100), now.Add(time.Minute))
}

// testLedger returns a ledger that fully trusts the named servers, heard once.
func testLedger(servers ...string) *Allocator {
	l := NewAllocator("entry-1")
	for _, id := range servers {
		l.AddServer(testStart, testServer(id, testBearing()))
		l.SetKeeperLease(id, KeeperLeaseFull)
		l.Report(testStart, testReport(id, "a"))
	}
	return l
}

// warm lets a server answer until it is warm and returns the time after it.
func warm(l *Allocator, server, incarnation string, now time.Time) time.Time {
	for i := range 3 + warmthSteps {
		now = now.Add(100 * time.Millisecond)
		l.Report(now, testReport(server, incarnation))
		id := fmt.Sprintf("warm-%s-%s-%d", server, incarnation, i)
		avoid := []string{}
		for _, b := range l.books {
			if b.server.id != server {
				avoid = append(avoid, b.server.id)
			}
		}
		l.Request(now, testWant(id, 1_000, now).Avoiding(avoid...))
		now = now.Add(100 * time.Millisecond)
		l.Release(now, testOwner, server, id, OutcomeFinished)
	}
	now = now.Add(time.Second)
	l.Report(now, testReport(server, incarnation))
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

func TestLedgerWarmth(t *testing.T) {
	c := qt.New(t)
	l := testLedger("s1")
	c.Assert(l.Servers(testStart)[0].Limit(), qt.Equals, NewLoad(2, 20_000))
	now := warm(l, "s1", "a", testStart)
	c.Assert(l.Servers(now)[0].Limit(), qt.Equals, NewLoad(16, 400_000))
	l.SetKeeperLease("s1", KeeperLeaseNone)
	c.Assert(l.Servers(now)[0].Limit(), qt.Equals, NewLoad(8, 200_000))
	now = now.Add(time.Second)
	l.Report(now, testReport("s1", "b"))
	c.Assert(l.Servers(now)[0].Limit(), qt.Equals, Load{})
}

func TestLedgerUnknownServerGetsNothing(t *testing.T) {
	c := qt.New(t)
	l := NewAllocator("entry-1")
	l.AddServer(testStart, testServer("s1", testBearing()))
	l.SetKeeperLease("s1", KeeperLeaseFull)
	c.Assert(grants(l.Request(testStart, testWant("1", 1_000, testStart))), qt.HasLen, 0)
	c.Assert(grants(l.Report(testStart.Add(time.Second), testReport("s1", "a"))), qt.DeepEquals, []string{"1"})
}

func TestLedgerRefusals(t *testing.T) {
	c := qt.New(t)
	l := testLedger("s1")
	now := warm(l, "s1", "a", testStart)
	other := NewSlotRequest("1", testOwner, "account-1", NewWorkload("other", ""), NewCost(10, 10), now.Add(time.Minute))
	c.Assert(reason(l.Request(now, other)), qt.Equals, ReasonNoServer)
	c.Assert(reason(l.Request(now, testWant("2", 1_000_000, now))), qt.Equals, ReasonTooLarge)
	c.Assert(reason(l.Request(now, testWant("3", 1_000, now.Add(-time.Hour)))), qt.Equals, ReasonDeadline)
	c.Assert(reason(l.Request(now, testWant("4", 390_000, now.Add(-59*time.Second)))), qt.Equals, ReasonBusy)
}

func TestLedgerKeepsShortPromptsApart(t *testing.T) {
	c := qt.New(t)
	l := testLedger("s1")
	now := warm(l, "s1", "a", testStart)
	c.Assert(grants(l.Request(now, testWant("long-1", 150_000, now))), qt.HasLen, 1)
	c.Assert(grants(l.Request(now, testWant("long-2", 150_000, now))), qt.HasLen, 0)
	c.Assert(grants(l.Request(now, testWant("short", 4_000, now))), qt.DeepEquals, []string{"short"})
	out := l.Release(now.Add(time.Second), testOwner, "s1", "long-1", OutcomeFinished)
	c.Assert(grants(out), qt.DeepEquals, []string{"long-2"})
}

func TestLedgerPrefersTheServerOfAPrefix(t *testing.T) {
	c := qt.New(t)
	l := testLedger("s1", "s2")
	now := warm(l, "s2", "a", warm(l, "s1", "a", testStart))
	l.Report(now, testReport("s1", "a"))
	server := func(id string, prefix uint64) string {
		return l.Request(now, testWant(id, 30_000, now).WithPrefix(prefix))[0].(Granted).slot.server
	}
	first := server("1", 7)
	now = now.Add(3 * time.Second)
	c.Assert(server("2", 7), qt.Equals, first)
	hot := 0
	for i := range 8 {
		now = now.Add(3 * time.Second)
		l.Report(now, testReport("s1", "a"))
		l.Report(now, testReport("s2", "a"))
		if server(fmt.Sprint("hot", i), 7) == first {
			hot++
		}
	}
	c.Assert(hot < 8, qt.IsTrue)
}

func TestLedgerNoticesColdness(t *testing.T) {
	tests := map[string]func(l *Allocator, now time.Time){
		"refusal": func(l *Allocator, now time.Time) {
			l.Release(now, testOwner, "s1", "1", OutcomeRefused)
		},
		"new incarnation": func(l *Allocator, now time.Time) {
			l.Report(now, testReport("s1", "b"))
		},
	}
	for name, turn := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := testLedger("s1")
			now := warm(l, "s1", "a", testStart)
			l.Request(now, testWant("1", 1_000, now))
			l.Request(now, testWant("2", 1_000, now))
			now = now.Add(time.Second)
			turn(l, now)
			c.Assert(l.Servers(now)[0].Warmth(), qt.Equals, "cold")
		})
	}
}

func TestLedgerGoesColdOnSlowAnswers(t *testing.T) {
	c := qt.New(t)
	l := testLedger("s1")
	now := warm(l, "s1", "a", testStart)
	for i := range learnedAnswers + coldAfterSlow {
		now = now.Add(time.Second)
		l.Report(now, testReport("s1", "a"))
		id := fmt.Sprint("slow", i)
		l.Request(now, testWant(id, 1_000, now))
		took := 100 * time.Millisecond
		if i >= learnedAnswers {
			took = 30 * time.Second
		}
		now = now.Add(took)
		l.Release(now, testOwner, "s1", id, OutcomeFinished)
	}
	c.Assert(l.Servers(now)[0].Warmth(), qt.Equals, "cold")
}

func TestLedgerOrdersIncarnations(t *testing.T) {
	c := qt.New(t)
	l := NewAllocator("entry-1")
	l.AddServer(testStart, testServer("s1", testBearing()))
	l.SetKeeperLease("s1", KeeperLeaseFull)
	now := testStart.Add(10 * time.Second)
	report := func(incarnation string, lag time.Duration) {
		l.Report(now, testReport("s1", incarnation).WithHeld(lag))
	}
	report("b", 200*time.Millisecond)
	report("a", 100*time.Millisecond)
	c.Assert(l.Servers(now)[0].Incarnation(), qt.Equals, "b")
	c.Assert(grants(l.Request(now, testWant("1", 1_000, now))), qt.HasLen, 0)
	now = now.Add(time.Second)
	report("b", 0)
	c.Assert(l.Servers(now)[0].Load().Requests(), qt.Equals, 1)
	now = now.Add(time.Second)
	report("c", 0)
	c.Assert(l.Servers(now)[0].Incarnation(), qt.Equals, "c")
	now = now.Add(time.Second)
	report("b", 0)
	c.Assert(l.Servers(now)[0].Incarnation(), qt.Equals, "c")
}

// TestLedgerLeavesPlainServicesUncancelled checks that a call which nobody
// looks after any more is counted, and not cancelled, until a plain service
// works on nothing: it would run the cancel as one more call.
func TestLedgerLeavesPlainServicesUncancelled(t *testing.T) {
	c := qt.New(t)
	now := testStart
	place := registry.NewLocation("scl", "scl-a")
	instance := registry.NewServer("licence-1", registry.KindService, place, registry.StateLive, "127.0.0.1:1", "licensing")
	l := NewAllocator("entry-1")
	l.AddServer(now, NewServer(instance, NewCapacity(NewLoad(1, 0), NewLoad(4, 0), 3)))
	l.SetKeeperLease("licence-1", KeeperLeaseFull)
	report := func(running int) []Decision {
		now = now.Add(time.Second)
		return l.Report(now, NewReport("licence-1", "a", registry.StateLive, 0, 0).WithRunning(running))
	}
	report(0)
	want := NewSlotRequest("1", testOwner, "account-1", NewWorkload("licensing", ""), Cost{}, now.Add(time.Minute))
	c.Assert(l.Request(now, want), qt.HasLen, 1)
	c.Assert(l.RemoveOwner(now, testOwner), qt.HasLen, 0)
	for range 3 {
		c.Assert(report(1), qt.HasLen, 0)
		c.Assert(l.Tick(now), qt.HasLen, 0)
		c.Assert(l.Servers(now)[0].Load(), qt.Equals, NewLoad(1, 0))
	}
	report(0)
	c.Assert(l.Servers(now)[0].Load(), qt.Equals, Load{})
	report(2)
	c.Assert(l.Servers(now)[0].Load(), qt.Equals, NewLoad(2, 0), qt.Commentf("calls of another keeper count"))
}
