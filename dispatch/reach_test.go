package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// submit submits a request of an entry and returns its server, empty if it got none.
func (f *fleet) submit(entry string, request Request) string {
	decision, ok := f.scheduler.Submit(f.now, NewOwner(entry, 1), request).(Granted)
	if !ok {
		f.scheduler.Withdraw(request.ID())
		return ""
	}
	return decision.Grant().Server()
}

// serve has a request of an entry placed and answered, and returns its server.
func (f *fleet) serve(entry, id string) string {
	server := f.submit(entry, f.plainRequest(id))
	f.scheduler.Ended(f.now, id, OutcomeComplete)
	return server
}

// Guards against 22 of 26 servers that 7 of 8 entries don't reach: requests are placed on pairs
// that can't communicate while others are free.
func TestPlacementPrefersServersThatTheEntryReaches(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 26)
	var lost []string
	for i := 4; i < 26; i++ {
		lost = append(lost, fmt.Sprintf("p%02d", i))
	}
	for i := range 7 {
		f.scheduler.SetUnreached(f.now, fmt.Sprint("cut-", i), lost)
	}
	used := make(map[string]int)
	for i := range 24 { // the slots of four servers
		server := f.submit("cut-0", f.plainRequest(fmt.Sprint("direct-", i)))
		c.Assert(server < "p04", qt.IsTrue, qt.Commentf("%d on %q", i, server))
	}
	for i := range 100 {
		used[f.submit("cut-1", f.plainRequest(fmt.Sprint("relayed-", i)))]++
	}
	c.Assert(used[""], qt.Equals, 0)
	c.Assert(f.submit("sound", f.plainRequest("sound")), qt.Not(qt.Equals), "")
	for _, id := range f.scheduler.Running(NewOwner("cut-0", 1)) {
		f.scheduler.Ended(f.now, id.ID(), OutcomeComplete)
	}
	f.now = f.now.Add(unreachedTime)
	for i := range 22 {
		used[f.submit("cut-0", f.plainRequest(fmt.Sprint("later-", i)))]++
	}
	c.Assert(used["p00"]+used["p01"]+used["p02"]+used["p03"] < 22, qt.IsTrue) // the ways are back
}

// Guards against a server that is suspended for all since a minority of the entries does not
// reach it, whichever way its failures show.
func TestMinoritySuspendsNoServerForOthers(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeUnreachable, OutcomeBroken, OutcomeStalled} {
		t.Run(string(outcome), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(0, 1)
			refused := 0
			for i := range 200 {
				for entry := range 8 {
					f.serve(fmt.Sprint("sound-", entry), fmt.Sprint("s", i, "-", entry))
				}
				f.now = f.now.Add(5 * time.Millisecond)
				if id := fmt.Sprint("c", i); i%20 == 0 && f.submit("cut", f.plainRequest(id)) != "" {
					f.scheduler.Ended(f.now, id, outcome)
				}
				for entry := range 8 {
					if f.serve(fmt.Sprint("sound-", entry), fmt.Sprint("t", i, "-", entry)) == "" {
						refused++
					}
				}
				f.now = f.now.Add(5 * time.Millisecond)
			}
			c.Assert(refused, qt.Equals, 0)
		})
	}
}

// A server that nobody reaches is still suspended, however well it did just before.
func TestServerThatDiesIsSuspended(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 2)
	for entry := range 4 {
		for i := range 12 {
			f.serve(fmt.Sprint("e", entry), fmt.Sprint(entry, "-", i))
		}
	}
	dead, last := 0, time.Duration(0)
	for start, i := f.now, 0; f.now.Sub(start) < time.Second; i++ {
		f.now = f.now.Add(5 * time.Millisecond)
		entry, id := fmt.Sprint("e", i%4), fmt.Sprint("after-", i)
		switch f.submit(entry, f.plainRequest(id)) {
		case "p00":
			f.scheduler.Ended(f.now, id, OutcomeUnreachable)
			dead, last = dead+1, f.now.Sub(start)
		case "p01":
			f.scheduler.Ended(f.now, id, OutcomeComplete)
		default:
			c.Fatal("not placed")
		}
	}
	c.Assert(dead <= 6, qt.IsTrue, qt.Commentf("%d requests to the dead server, the last after %v", dead, last))
}

// Failures that were counted before the others were known to reach the server are lifted by
// the next response.
func TestResponseLiftsSuspensionByOthers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 1)
	running := f.plainRequest("running").WithTimes(f.now, f.now.Add(300*time.Millisecond), f.now.Add(9*time.Second))
	c.Assert(f.submit("sound", running), qt.Equals, "p00")
	f.now = f.now.Add(time.Second)
	for i := range 4 {
		id := fmt.Sprint("c", i)
		f.scheduler.Adopt(f.now, NewOwner("cut", 1), NewRunningRequest(f.plainRequest(id), "p00", nil))
		f.scheduler.Ended(f.now, id, OutcomeUnreachable)
	}
	c.Assert(f.submit("other", f.plainRequest("before")), qt.Equals, "")
	f.now = f.now.Add(2 * liftDelay)
	f.scheduler.Started(f.now, "running")
	suspended := f.scheduler.pools["desk"].servers["p00"].suspendedUntil
	c.Assert(suspended.After(f.now), qt.IsFalse, qt.Commentf("suspended for %v", suspended.Sub(f.now)))
}

// The state by entry is bounded, however many entries come and go.
func TestReachIsBounded(t *testing.T) {
	c := qt.New(t)
	var s server
	now := time.Unix(1000, 0)
	for i := range 100_000 {
		now = now.Add(10 * time.Millisecond)
		s.responded(now, fmt.Sprint("e", i))
		s.reach.blamedAlone(now, fmt.Sprint("f", i))
	}
	c.Assert(len(s.reach.respondedAt) <= 2*maxReachEntries, qt.IsTrue)
	c.Assert(len(s.reach.avoidedUntil) <= 2*maxReachEntries, qt.IsTrue)
}
