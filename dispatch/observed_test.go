package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// observe has a server state its load now.
func (f *fleet) observe(server string, running, waiting int) {
	f.scheduler.ObserveLoad(f.now, "llm", NewObservedLoad(server, running, waiting, f.now))
}

// Guards against placing on servers that are full of requests whose entries are gone: what
// servers state beyond the known requests takes their slots, fades in a second or so, and
// is never negative.
func TestUnseenLoadTakesSlots(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 0)
	f.granted(c, f.short("0", 2000))
	full := f.scheduler.running["0"].server
	f.observe(full, 16, 4)
	c.Assert(f.scheduler.UnseenLoad(f.now, "llm"), qt.DeepEquals, map[string]int{full: 19})
	for i := 1; i < 6; i++ {
		c.Assert(f.granted(c, f.short(fmt.Sprint(i), 2000)).Server(), qt.Not(qt.Equals), full)
	}
	f.now = f.now.Add(2 * time.Second)
	c.Assert(f.scheduler.UnseenLoad(f.now, "llm"), qt.HasLen, 0)
	f.observe(full, 0, 0) // the answering request is done
	c.Assert(f.scheduler.pools["llm"].servers[full].observed.unseen, qt.Equals, 0)
}

// Guards against counting a request twice: neither one that has just ended or is on its way,
// nor one that another scheduler placed and its entry reported, is unseen load. An older
// report, or one that was delayed for long, has no effect.
func TestKnownRequestsAreNotUnseen(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	for i := range 4 {
		f.granted(c, f.short(fmt.Sprint(i), 2000))
	}
	stated := f.now
	f.now = f.now.Add(50 * time.Millisecond)
	f.scheduler.Ended(f.now, "0", OutcomeComplete)
	f.scheduler.Ended(f.now, "1", OutcomeCancelled)
	f.scheduler.Reconcile(f.now, NewOwner("entry-2", 1), []string{"llm"}, []RunningRequest{RestoreRunningRequest("other", "llm", "e00", nil, 900, 900, 0, true)})
	f.scheduler.ObserveLoad(f.now, "llm", NewObservedLoad("e00", 5, 0, stated))
	c.Assert(f.scheduler.UnseenLoad(f.now, "llm"), qt.HasLen, 0)
	f.observe("e00", 7, 0)
	c.Assert(f.scheduler.UnseenLoad(f.now, "llm"), qt.DeepEquals, map[string]int{"e00": 2})
	f.scheduler.ObserveLoad(f.now, "llm", NewObservedLoad("e00", 16, 0, stated))
	f.now = f.now.Add(700 * time.Millisecond)
	f.scheduler.ObserveLoad(f.now, "llm", NewObservedLoad("e00", 16, 0, f.now.Add(-600*time.Millisecond)))
	c.Assert(f.scheduler.UnseenLoad(f.now, "llm"), qt.DeepEquals, map[string]int{"e00": 1})
}

// Guards against gathering on a server after a start of all entries: a scheduler that sees
// a part of the load sends each server few requests until it answers, and then more.
func TestPartialViewSpreadsRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	f.scheduler.SetSeenShare(f.now, "llm", 0.1)
	used := make(map[string]int)
	for i := range 40 {
		request := f.short(fmt.Sprint(i), 1000)
		if granted, ok := f.scheduler.Submit(f.now, f.owner, request).(Granted); ok {
			used[granted.Grant().Server()]++
		}
	}
	c.Assert(used, qt.HasLen, 8)
	for server, n := range used {
		c.Assert(n, qt.Equals, 4, qt.Commentf("%s", server))
	}
	c.Assert(f.scheduler.Waiting(), qt.Equals, 8)
	other := f.short("other", 1000).WithExclude(first(used)) // as after a failure
	c.Assert(f.scheduler.Submit(f.now, f.owner, other), qt.Equals, Queued{})
	f.scheduler.Withdraw("other")
	f.now = f.now.Add(50 * time.Millisecond)
	f.scheduler.Started(f.now, "0")
	f.observe(f.scheduler.running["0"].server, 4, 0)
	placed := len(f.scheduler.Tick(f.now))
	c.Assert(placed > 1, qt.IsTrue, qt.Commentf("%d placed", placed))
	f.scheduler.SetSeenShare(f.now, "llm", 1)
	f.scheduler.Tick(f.now)
	c.Assert(f.scheduler.Waiting(), qt.Equals, 0)
}

// Guards against load at the wrong server: an entry that got its answer from another scheduler
// reports where its request runs, and a placement that it did not use is released.
func TestReportedServerReplacesPlacement(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 0)
	placed := f.granted(c, f.short("r", 2000)).Server()
	other := map[string]string{"e00": "e01", "e01": "e00"}[placed]
	f.scheduler.Reconcile(f.now, f.owner, []string{"llm"}, []RunningRequest{RestoreRunningRequest("r", "llm", other, nil, 2000, 900, 0, true)})
	servers := f.scheduler.pools["llm"].servers
	c.Assert(servers[placed].running, qt.HasLen, 0)
	c.Assert(servers[placed].memory, qt.Equals, 0)
	c.Assert(servers[other].running, qt.HasLen, 1)
	c.Assert(servers[other].decoding, qt.Equals, 1)
}

// Pattern: twenty of 23 servers are full of requests whose entries are gone. Guards against
// placing on them: after each has stated its load once, requests go to the other three, and
// those that find no room wait.
func TestTwentyServersFullOfLostRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet(23, 0)
	f.scheduler.SetSeenShare(f.now, "llm", 0.1)
	full := make(map[string]bool)
	for i := range 20 {
		full[fmt.Sprintf("e%02d", i)] = true
		f.observe(fmt.Sprintf("e%02d", i), 16, 3)
	}
	for i := 20; i < 23; i++ {
		f.observe(fmt.Sprintf("e%02d", i), 0, 0)
	}
	granted := 0
	for i := range 60 {
		f.now = f.now.Add(10 * time.Millisecond)
		if i%10 == 0 {
			for server := range full {
				f.observe(server, 16, 3)
			}
		}
		if decision, ok := f.scheduler.Submit(f.now, f.owner, f.short(fmt.Sprint(i), 2000)).(Granted); ok {
			granted++
			c.Assert(full[decision.Grant().Server()], qt.IsFalse, qt.Commentf("request %d", i))
			f.scheduler.Started(f.now, fmt.Sprint(i))
		}
	}
	c.Assert(granted > 20 && granted <= 48, qt.IsTrue, qt.Commentf("%d granted", granted))
	c.Assert(f.scheduler.Waiting(), qt.Equals, 60-granted)
}

// first returns the lowest key.
func first(counts map[string]int) string { return slices.Min(slices.Collect(maps.Keys(counts))) }

// Guards against a scheduler beside the one that the others follow that places nothing: the
// answers to requests that it did not place go to the other one.
func TestSchedulerBesideAnotherPlacesDespiteWhatIsAdopted(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 0)
	f.scheduler.SetPrimary(f.now, "llm", false)
	f.scheduler.SetSeenShare(f.now, "llm", 0.01)
	var running []RunningRequest
	for i := range 4 {
		running = append(running, NewRunningRequest(f.short(fmt.Sprint("other-", i), 2000), fmt.Sprintf("e%02d", i), nil))
	}
	f.scheduler.Reconcile(f.now, NewOwner("entry-2", 1), []string{"llm"}, running)
	f.now = f.now.Add(100 * time.Millisecond)
	for i := range 4 {
		f.granted(c, f.short(fmt.Sprint("own-", i), 2000))
	}
	_, granted := f.scheduler.Submit(f.now, f.owner, f.short("own-4", 2000)).(Granted)
	c.Assert(granted, qt.IsFalse)
}
