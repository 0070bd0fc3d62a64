package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lateLong returns a long prompt that has missed its objective and that its caller
// still waits for.
func (f *fleet) lateLong(id string) Request {
	arrived := f.now.Add(-3100 * time.Millisecond)
	return NewRequest(id, "llm").WithTokens(300_000, 600).WithMaxTokenInterval(time.Second).
		WithTimes(arrived, arrived.Add(3*time.Second), arrived.Add(60*time.Second)).
		WithFirstTokenDeadline(arrived.Add(40 * time.Second))
}

// startShorts submits short prompts at a rate for a second; each gets its first
// event at once.
func (f *fleet) startShorts(perSecond int) {
	for i := range perSecond {
		id := fmt.Sprint("short-", i)
		if _, ok := f.scheduler.Submit(f.now, f.owner, f.short(id, 2000)).(Granted); ok {
			f.scheduler.Started(f.now, id)
		}
		f.now = f.now.Add(time.Second / time.Duration(perSecond))
	}
}

// Pattern: a burst of short prompts begins while long prompts from before wait. The
// short prompts are packed on few servers at first, and the others are idle. A long
// prompt that is late already must not take these for seconds: the answers of the
// short prompts that arrive meanwhile need their slots.
func TestLateLongPromptLeavesServersToBurstOfShortPrompts(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	f.startShorts(60) // 120 slots if it goes on, of 128
	c.Assert(f.scheduler.Submit(f.now, f.owner, f.lateLong("late")), qt.Equals, Decision(Queued{}))

	// Once the burst is over, the long prompt is placed.
	for range 60 {
		f.now = f.now.Add(50 * time.Millisecond)
		if decisions := f.scheduler.Tick(f.now); len(decisions) > 0 {
			_, granted := decisions[0].(Granted)
			c.Assert(granted, qt.IsTrue)
			return
		}
	}
	c.Fatal("late prompt not placed after the burst")
}

// Under a light load there is room for both.
func TestLateLongPromptIsPlacedUnderLightLoad(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	f.startShorts(15)
	f.granted(c, f.lateLong("late"))
}

// The only server of a service is shared by all requests, whatever the load.
func TestLateRequestIsPlacedOnOnlyServer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	f.startShorts(4)
	late := f.short("late", 2000)
	late.arrived, late.objective = f.now.Add(-400*time.Millisecond), f.now.Add(-100*time.Millisecond)
	f.granted(c, late)
}

// Expected slots follow the arrivals: they rise with a burst and fall after it.
func TestSlotDemandFollowsArrivals(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	p := f.scheduler.pools["llm"]
	f.startShorts(60)
	perRequest := p.slotTime(f.short("x", 2000)).Seconds()
	demand := p.slotDemand(f.now)
	c.Assert(demand > 0.5*60*perRequest && demand < 60*perRequest, qt.IsTrue, qt.Commentf("%.1f slots of %.1f", demand, 60*perRequest))
	c.Assert(p.slotDemand(f.now.Add(3*time.Second)) < 0.1*demand, qt.IsTrue)
}
