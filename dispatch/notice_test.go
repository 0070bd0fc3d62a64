package dispatch

import (
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
}
