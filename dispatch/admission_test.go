package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/quarantine"
)

// fill has all slots of the engines taken by requests that have just started.
func (f *fleet) fill(c *qt.C, slots int) {
	c.Helper()
	for i := range slots {
		request := f.prompt(fmt.Sprint("fill-", i), 500, 20*time.Second, 0)
		f.granted(c, request)
		f.scheduler.Started(f.now, request.ID())
	}
}

// withFingerprint returns the request with the fingerprint of a caller.
func withFingerprint(request Request, caller int) Request {
	return request.WithFingerprint(quarantine.NewFingerprint("", "", "", fmt.Sprint(caller), "", nil))
}

// A request behind more requests than can be placed before its caller leaves must not wait
// for a refusal; one that may be placed must be queued, and so must all while the scheduler
// does not know yet what runs.
func TestForecastRefusesAtSubmissionOnlyWhatIsCertain(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	f.fill(c, 16)
	submit := func(id string) Decision {
		return f.scheduler.Submit(f.now, f.owner, f.short(id, 2000).WithTokens(2000, 4000))
	}
	for i := range 40 { // 16 of them may have the slots once before they leave
		_, queued := submit(fmt.Sprint("early-", i)).(Queued)
		c.Assert(queued, qt.IsTrue)
	}
	f.now = f.now.Add(minObservation)
	f.scheduler.pools["llm"].queue = nil
	queued := 0
	for i := range 60 {
		switch d := submit(fmt.Sprint("later-", i)).(type) {
		case Queued:
			queued++
		case Refused:
			c.Assert(d.Reason(), qt.Equals, ReasonNoRoom)
			c.Assert(d.RetryAfter() <= 5*time.Second, qt.IsTrue) // a third of the 15 s that the caller has
		case Granted:
			c.Fatal("granted without a free slot")
		}
	}
	c.Assert(queued >= 16 && queued < 60, qt.IsTrue, qt.Commentf("%d queued", queued))
}

// 500 callers that are refused within 100 ms must not return all at once, whether there is
// room for all of them in the time that they wait or not, and not in another order than
// they came.
func TestRefusedCallersReturnSpreadAndInOrder(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		f := newFleet(4+36*int(seed%2), 0)
		random := rand.New(rand.NewPCG(seed, 1))
		p := f.scheduler.pools["llm"]
		var dues []time.Time
		for i := range 500 {
			f.now = f.now.Add(200 * time.Microsecond)
			request := withFingerprint(f.short(fmt.Sprint(i), 1000+random.IntN(4000)), i)
			refused := p.refuseForRoom(f.now, request, ReasonBusy, time.Second).(Refused)
			dues = append(dues, f.now.Add(refused.RetryAfter()))
			c.Assert(refused.RetryAfter() <= 5*time.Second, qt.IsTrue)
		}
		perSlice := make(map[int64]int)
		for i, due := range dues {
			perSlice[due.UnixMilli()/250]++
			c.Assert(i == 0 || !due.Before(dues[i-1]), qt.IsTrue, qt.Commentf("seed %d, caller %d", seed, i))
		}
		for _, n := range perSlice {
			c.Assert(n <= 130, qt.IsTrue, qt.Commentf("%d return within 250 ms", n))
		}
		c.Assert(len(p.returns.promised), qt.Equals, 500)
	}
}

// A caller that returns as promised must go before the other late requests, and must not be
// shed. A promise is used once, and is dropped a second after its time.
func TestPromisedReturnIsKeptOnce(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	f.fill(c, 16)
	p := f.scheduler.pools["llm"]
	first := withFingerprint(f.short("first", 2000), 1)
	missed := withFingerprint(f.short("missed", 2000), 2)
	wait := p.refuseForRoom(f.now, first, ReasonBusy, time.Second).(Refused).RetryAfter()
	p.refuseForRoom(f.now, missed, ReasonBusy, time.Second)
	arrived := f.now
	f.now = f.now.Add(wait)
	f.scheduler.Submit(f.now, f.owner, f.short("newer", 2000))
	f.scheduler.Submit(f.now, f.owner, withFingerprint(f.short("again", 2000), 1))
	c.Assert(p.queue, qt.HasLen, 2)
	c.Assert(p.queue[1].returned, qt.IsTrue)
	c.Assert(p.queue[1].request.Arrived(), qt.Equals, arrived)
	f.now = f.now.Add(400 * time.Millisecond) // the newer one is late as well
	p.sortQueue(f.now)
	c.Assert(p.queue[0].request.ID(), qt.Equals, "again")
	c.Assert(p.shedLate(f.now, p.queue[0], time.Hour), qt.IsNil)
	c.Assert(p.shedLate(f.now, p.queue[1], time.Hour), qt.IsNotNil)
	_, again := p.returns.recognize(f.now, withFingerprint(f.short("third", 2000), 1))
	c.Assert(again, qt.IsFalse)
	f.now = f.now.Add(3 * time.Second)
	_, late := p.returns.recognize(f.now, withFingerprint(f.short("late", 2000), 2))
	c.Assert(late, qt.IsFalse)
	p.returns.expire(f.now)
	c.Assert(p.returns.promised, qt.HasLen, 1) // that of the newer one
}

// A long prompt that can wait must not take the servers that the short prompts of the last
// second need, and must get them once half of its objective is over.
func TestLongPromptLeavesRoomForShortOnes(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	p := f.scheduler.pools["llm"]
	for i := range 30 {
		p.statsOf(f.short("", 2000)).countRequest(f.now, 2000)
		p.countDemand(f.now, f.short(fmt.Sprint(i), 2000))
	}
	long := f.long("long", 200_000)
	_, queued := f.scheduler.Submit(f.now, f.owner, long).(Queued)
	c.Assert(queued, qt.IsTrue)
	c.Assert(p.mustLeaveRoom(f.now.Add(1600*time.Millisecond), long), qt.IsFalse)
	c.Assert(p.mustLeaveRoom(f.now, f.short("short", 2000)), qt.IsFalse)
	f.now = f.now.Add(objectiveMemory + time.Second) // no short prompts any more
	c.Assert(p.mustLeaveRoom(f.now, f.long("later", 200_000)), qt.IsFalse)
}

// Over 20 seeds of 500 callers at twice the capacity: a caller that returned as promised is
// not refused again while a newer one that is late as well, and thus no more urgent, is
// placed.
func TestReturnedCallerIsNotRefusedBehindNewerOnes(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		f := newFleet(2, 0)
		random := rand.New(rand.NewPCG(seed, 2))
		received := make(map[string]time.Time) // by the id of an attempt
		returns := make(map[string]time.Time)  // the refused callers by the time of return
		ends := make(map[string]time.Time)
		lateGrants := make(map[string]time.Time) // when those placed late were received, by id
		again, served := 0, 0
		handle := func(id string, returned bool, decision Decision) {
			switch d := decision.(type) {
			case Granted:
				if f.now.Sub(received[id]) > 300*time.Millisecond {
					lateGrants[id] = received[id]
				}
				if returned {
					served++
				}
				f.scheduler.Started(f.now, id)
				ends[id] = f.now.Add(1500*time.Millisecond + time.Duration(random.IntN(500))*time.Millisecond)
			case Refused:
				if !returned {
					returns[id] = f.now.Add(d.RetryAfter())
					return
				}
				again++
				for other, at := range lateGrants {
					c.Assert(at.After(received[id]), qt.IsFalse, qt.Commentf("seed %d: %s refused again, newer %s placed", seed, id, other))
				}
			case Queued:
			}
		}
		submit := func(id string, caller int, returned bool) {
			received[id] = f.now
			handle(id, returned, f.scheduler.Submit(f.now, f.owner, withFingerprint(f.short(id, 2000), caller)))
		}
		for caller, step := 0, 0; step < 1200; step++ {
			f.now = f.now.Add(TickInterval)
			for n := 1; caller < 500 && n > 0; n-- {
				submit(fmt.Sprintf("%04d", caller), caller, false)
				caller++
			}
			for i := range caller {
				id := fmt.Sprintf("%04d", i)
				if due, ok := returns[id]; ok && !f.now.Before(due) {
					delete(returns, id)
					submit("again-"+id, i, true)
				}
				for _, running := range []string{id, "again-" + id} {
					if end, ok := ends[running]; ok && !f.now.Before(end) {
						delete(ends, running)
						f.scheduler.Ended(f.now, running, OutcomeComplete)
					}
				}
			}
			for _, decision := range f.scheduler.Tick(f.now) {
				id := decisionID(decision)
				handle(id, len(id) > 4, decision)
			}
		}
		t.Logf("seed %d: %d of those that returned placed, %d refused again", seed, served, again)
		c.Assert(served > 0 && again > 0, qt.IsTrue)
	}
}

// decisionID returns the id of the request that a tick decided on.
func decisionID(decision Decision) string {
	switch d := decision.(type) {
	case Granted:
		return d.Grant().ID()
	case Refused:
		return d.ID()
	default:
		return ""
	}
}
