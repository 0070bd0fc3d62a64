package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/routing"
)

// notice has a server state something, and the scheduler learn of it.
func (f *fleet) notice(n routing.Notice) {
	f.notices.Add(f.now, n)
	f.scheduler.SetView(f.now, f.view)
}

// leave has a server state that it leaves.
func (f *fleet) leave(id string) {
	f.notice(routing.NewLeaving(routing.NewIncarnation(id, 0), f.now))
}

// Guards against DRAIN: a server that leaves gets nothing, also not when the request has
// failed at all others, or all others are suspended, or as a prefill worker.
func TestLeavingServerIsNeverChosen(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3, 2)
	running := f.granted(c, f.plainRequest("r0"))
	f.leave(running.Server())
	for i := range 4 {
		grant := f.granted(c, f.plainRequest("r"+string(rune('1'+i))).WithExclude("p00", "p01"))
		c.Assert(grant.Server(), qt.Not(qt.Equals), running.Server())
		f.scheduler.Ended(f.now, grant.ID(), OutcomeBroken)
	}
	f.leave("e00")
	for i := range 6 {
		grant := f.granted(c, f.long("l"+string(rune('0'+i)), 60_000).WithExclude("e01", "e02"))
		c.Assert(grant.Servers(), qt.Not(qt.Contains), "e00")
		f.scheduler.Ended(f.now, grant.ID(), OutcomeStalled)
		f.now = f.now.Add(10 * time.Second)
	}

	// Without a server callers are refused at once, and running requests go on.
	f.leave("p00")
	f.leave("p01")
	refused, ok := f.scheduler.Submit(f.now, f.owner, f.plainRequest("last")).(Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(refused.Reason(), qt.Equals, ReasonNoServer)
	c.Assert(f.scheduler.Running(f.owner), qt.Not(qt.HasLen), 0)
}

// Guards against DRAIN: a grant whose answer was lost is not given again once a server of
// it leaves.
func TestRepeatedGrantHasNoLeavingServer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 0)
	request := f.short("r1", 1000)
	before := f.granted(c, request)
	c.Assert(f.granted(c, request).Server(), qt.Equals, before.Server())
	f.leave(before.Server())
	c.Assert(f.granted(c, request).Server(), qt.Not(qt.Equals), before.Server())

	f = newFleet(0, 2)
	request = f.plainRequest("r1")
	before = f.granted(c, request)
	f.leave(before.Server())
	c.Assert(f.granted(c, request).Server(), qt.Not(qt.Equals), before.Server())

	f = newFleet(4, 0)
	request = f.long("r1", 120_000)
	before = f.granted(c, request)
	c.Assert(before.PrefillWorkers(), qt.Not(qt.HasLen), 0)
	f.leave(before.PrefillWorkers()[0].Server())
	c.Assert(f.granted(c, request).Servers(), qt.Not(qt.Contains), before.PrefillWorkers()[0].Server())

	// Nor is it once a prefill worker has started anew, and that incarnation leaves.
	f = newFleet(4, 0)
	before = f.granted(c, request)
	restarted := before.PrefillWorkers()[0].Server()
	servers := f.servers(4, 0)
	for i, s := range servers {
		if s.ID() == restarted {
			servers[i] = s.WithIncarnation(7, routing.NewRevision(0, 2))
		}
	}
	f.publish(servers...)
	f.notice(routing.NewLeaving(routing.NewIncarnation(restarted, 7), f.now))
	c.Assert(f.granted(c, request).Servers(), qt.Not(qt.Contains), restarted)
}

// refuse has a server state that it wants no requests for a time.
func (f *fleet) refuse(id string, wait time.Duration) {
	server := routing.NewIncarnation(id, 0)
	f.notices.Add(f.now, routing.NewRefusing(server, f.now.Add(wait), f.now))
	f.scheduler.Refuse(server, f.now.Add(wait))
}

// Guards against BUDGET: a server that wants no requests for a time gets none on any
// path: in need, as the only one left, after a view was published, or as a prefill worker.
func TestRefusingServerIsNotChosenBeforeItsTime(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 2)
	f.refuse("p00", 4*time.Second)
	f.refuse("e00", 4*time.Second)
	for i := range 3 {
		grant := f.granted(c, f.plainRequest(fmt.Sprint("r", i)).WithExclude("p01"))
		c.Assert(grant.Server(), qt.Equals, "p01")
		f.scheduler.Ended(f.now, grant.ID(), OutcomeBroken) // suspended, and used in need
		grant = f.granted(c, f.long(fmt.Sprint("l", i), 120_000))
		c.Assert(grant.PrefillWorkers(), qt.Not(qt.HasLen), 0)
		c.Assert(grant.Servers(), qt.Not(qt.Contains), "e00")
		f.scheduler.Ended(f.now, grant.ID(), OutcomeComplete)
		f.now = f.now.Add(time.Second)
		f.scheduler.SetView(f.now, f.view)
	}
	f.now = f.now.Add(time.Second)
	f.refuse("p01", time.Second)
	c.Assert(f.granted(c, f.plainRequest("later")).Server(), qt.Equals, "p00")
	c.Assert(f.granted(c, f.short("short", 1000).WithExclude("e01", "e02", "e03")).Server(), qt.Equals, "e00")
}

// Guards against BUDGET: a shorter time does not end a longer one, a later incarnation has
// stated none, and one that is published again after the refusal still has it.
func TestRefusalHoldsForItsIncarnation(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 1)
	f.refuse("p00", 3*time.Second)
	f.refuse("p00", time.Second)
	f.now = f.now.Add(2 * time.Second)
	_, refused := f.scheduler.Submit(f.now, f.owner, f.plainRequest("r1")).(Refused)
	c.Assert(refused, qt.IsTrue)
	f.publish()
	f.publish(f.servers(0, 1)...)
	_, refused = f.scheduler.Submit(f.now, f.owner, f.plainRequest("r2")).(Refused)
	c.Assert(refused, qt.IsTrue)
	f.publish(f.servers(0, 1)[0].WithIncarnation(7, routing.NewRevision(0, 3)))
	f.refuse("p00", 3*time.Second) // heard late, of the earlier one
	c.Assert(f.granted(c, f.plainRequest("r3")).Server(), qt.Equals, "p00")
}

// Guards against callers that are held though no server will take them: they are refused
// at once, also those that wait, with the earliest end of the times, and spread after it.
func TestCallersAreRefusedWhileAllServersRefuse(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 2)
	for i := range 12 {
		f.granted(c, f.plainRequest(fmt.Sprint("running", i)))
	}
	c.Assert(f.scheduler.Submit(f.now, f.owner, f.plainRequest("queued")), qt.Equals, Queued{})
	f.refuse("p00", 9*time.Second)
	f.refuse("p01", 6*time.Second)
	decisions := f.scheduler.Tick(f.now)
	c.Assert(decisions, qt.HasLen, 1)
	refused := decisions[0].(Refused)
	c.Assert(refused.Reason(), qt.Equals, ReasonServersRefuse)

	delays := make(map[time.Duration]int)
	for i := range 200 {
		refused := f.scheduler.Submit(f.now, f.owner, f.plainRequest(fmt.Sprint("r", i))).(Refused)
		c.Assert(refused.RetryAfter() >= 6*time.Second && refused.RetryAfter() <= 8*time.Second, qt.IsTrue, qt.Commentf("%v", refused.RetryAfter()))
		delays[refused.RetryAfter().Round(100*time.Millisecond)]++
	}
	for delay, n := range delays {
		c.Assert(n < 50, qt.IsTrue, qt.Commentf("%d callers return after %v", n, delay))
	}
	f.refuse("p00", time.Hour)
	f.refuse("p01", time.Hour)
	last := f.scheduler.Submit(f.now, f.owner, f.plainRequest("last")).(Refused)
	c.Assert(last.RetryAfter() <= maxRefusedRetryAfter+maxReturnSpread, qt.IsTrue)
}

// Guards against FAILBACK: cold servers that want requests again at the same instant get
// no more than their cold limit allows.
func TestColdServersThatReturnTogetherAreNotFlooded(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 0)
	var servers []routing.Server
	for _, s := range f.servers(3, 0) {
		servers = append(servers, s.WithCold(20*time.Second).WithIncarnation(0, routing.NewRevision(0, 2)))
	}
	f.publish(servers...)
	for _, s := range servers {
		f.refuse(s.ID(), time.Second)
	}
	f.now = f.now.Add(time.Second)
	sent := make(map[string]int)
	for i := range 400 {
		if granted, ok := f.scheduler.Submit(f.now, f.owner, f.short(fmt.Sprint("r", i), 10)).(Granted); ok {
			sent[granted.Grant().Server()]++
			f.scheduler.Ended(f.now, granted.Grant().ID(), OutcomeComplete)
		}
		f.now = f.now.Add(2 * time.Millisecond)
	}
	for _, s := range servers {
		c.Assert(sent[s.ID()] > 0 && sent[s.ID()] <= 14, qt.IsTrue, qt.Commentf("%v", sent)) // half of 26 a second, and one
	}
}

// Guards against BUDGET: a server that wants no requests is no last resort when the other
// one is silent or full, for requests that have waited either.
func TestRefusingServerIsNoLastResort(t *testing.T) {
	c := qt.New(t)
	for name, occupy := range map[string]func(f *fleet){
		"silent": func(f *fleet) {
			grant := f.granted(c, f.plainRequest("x"))
			f.scheduler.Ended(f.now, grant.ID(), OutcomeUnreachable)
		},
		"full": func(f *fleet) {
			for i := range 6 {
				f.granted(c, f.plainRequest(fmt.Sprint("x", i)))
			}
		},
	} {
		f := newFleet(0, 2)
		f.refuse("p00", 10*time.Second)
		occupy(f)
		c.Assert(f.scheduler.Submit(f.now, f.owner, f.plainRequest("waits")), qt.Equals, Queued{}, qt.Commentf(name))
		f.now = f.now.Add(100 * time.Millisecond)
		c.Assert(f.scheduler.Tick(f.now), qt.HasLen, 0, qt.Commentf(name))
	}
}
