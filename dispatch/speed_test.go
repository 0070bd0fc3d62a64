package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serveAt has a request served by a server that is slower by a factor: its first event
// arrives after the time that the profile states, a part of a running pass, and 15 ms.
func (f *fleet) serveAt(c *qt.C, id, entry string, slowdown, pass float64) {
	owner := NewOwner(entry, 1)
	decision, ok := f.scheduler.Submit(f.now, owner, f.long(id, 12_000)).(Granted)
	c.Assert(ok, qt.IsTrue)
	grant := decision.Grant()
	s := f.scheduler.pools["llm"].servers[grant.Server()]
	base := s.unscaled(grant.TimeToFirstToken())
	f.now = f.now.Add(time.Duration(slowdown*(1+pass)*float64(base)) + 15*time.Millisecond)
	f.scheduler.Started(f.now, id)
	f.now = f.now.Add(100 * time.Millisecond)
	f.scheduler.Ended(f.now, id, OutcomeComplete)
	f.scheduler.Tick(f.now)
}

// Guards against a server that counts as healthy while it gets slower bit by bit, and against
// one that counts as slow for long after it has recovered.
func TestSpeedFollowsServer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	factor := func() float64 { return f.scheduler.pools["llm"].servers["e00"].speedFactor() }
	for i := range 40 {
		f.serveAt(c, fmt.Sprint("slower", i), fmt.Sprint("entry-", i%3), 1+float64(i)/10, 0)
	}
	c.Assert(factor() > 3 && factor() <= 5, qt.IsTrue, qt.Commentf("%.2f", factor()))
	c.Assert(f.scheduler.SpeedFactors(f.now, "llm"), qt.HasLen, 1)
	f.now = f.now.Add(2 * speedDecayTime)
	f.scheduler.Tick(f.now)
	c.Assert(factor() < 1.6, qt.IsTrue, qt.Commentf("%.2f", factor()))
	for i := range 20 {
		f.serveAt(c, fmt.Sprint("again", i), fmt.Sprint("entry-", i%3), 1, 0)
	}
	c.Assert(factor() < 1.3, qt.IsTrue, qt.Commentf("%.2f", factor()))
}

// Guards against healthy servers that look slow: because of one outlier, of one entry that
// is slow itself, of load that is not seen, or of prefill that came later.
func TestHealthyServerIsNotSlow(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	for i := range 30 {
		slowdown := 1.0
		if i%3 == 0 {
			slowdown = 6
		}
		f.serveAt(c, fmt.Sprint("outlier", i), fmt.Sprint("entry-", i%3), slowdown, 0)
	}
	for i := range 3 {
		f.serveAt(c, fmt.Sprint("entry", i), "entry-slow", 6, 0)
	}
	f.serveAt(c, "healthy", "entry-1", 1, 0)
	for i := range 20 {
		f.observe("e00", 4, 0)
		f.serveAt(c, fmt.Sprint("unseen", i), fmt.Sprint("entry-", i%3), 6, 0)
	}
	f.now = f.now.Add(5 * time.Second)
	for i := range 6 {
		owner := NewOwner(fmt.Sprint("entry-", i), 1)
		first := f.granted(c, f.long(fmt.Sprint("first", i), 3000))
		_, ok := f.scheduler.Submit(f.now, owner, f.long(fmt.Sprint("second", i), 40_000)).(Granted)
		c.Assert(ok, qt.IsTrue)
		f.now = f.now.Add(first.TimeToFirstToken() + testEngine.PrefillTime(40_000, 1))
		for _, id := range []string{"first", "second"} {
			f.scheduler.Started(f.now, fmt.Sprint(id, i))
			f.scheduler.Ended(f.now, fmt.Sprint(id, i), OutcomeComplete)
		}
		f.now = f.now.Add(time.Second)
	}
	c.Assert(f.scheduler.SpeedFactors(f.now, "llm"), qt.HasLen, 0)
}

// Pattern: one of three servers of a plain service is four times slower. It gets few calls,
// but some, so that its recovery is seen; equal servers are used as before.
func TestSlowPlainServerGetsFewCalls(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 3)
	used := make(map[string]int)
	call := func(i int, slow time.Duration) {
		id := fmt.Sprint(i)
		server := f.granted(c, f.plainRequest(id)).Server()
		used[server]++
		took := 40 * time.Millisecond
		if server == "p01" {
			took = slow
		}
		f.now = f.now.Add(took)
		f.scheduler.Ended(f.now, id, OutcomeComplete)
		f.now = f.now.Add(20 * time.Millisecond)
	}
	for i := range 2000 {
		// The others are busy now and then, so that all of them get calls.
		for id, busy := range map[string]int{"p00": i % 3, "p02": i / 3 % 3} {
			for j := range busy {
				f.scheduler.pools["desk"].servers[id].running[fmt.Sprint("busy", j)] = &allocation{}
			}
		}
		call(i, 160*time.Millisecond)
		for _, s := range f.scheduler.pools["desk"].order {
			clear(s.running)
		}
	}
	slow := used["p01"]
	c.Assert(slow > 8 && slow < 200, qt.IsTrue, qt.Commentf("%v", used))
	c.Assert(f.scheduler.SpeedFactors(f.now, "desk"), qt.HasLen, 1)
}
