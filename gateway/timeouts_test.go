package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A server that vanishes without a word is noticed, and the memory reserved for its
// request at others is released, within the time in which memory must be free: also
// if the first release is not answered and has to be repeated.
func TestVanishedServerIsNoticedInTimeToReleaseMemory(t *testing.T) {
	c := qt.New(t)
	const failedRelease = 400*time.Millisecond + 100*time.Millisecond // its timeout and the delay of the next
	for _, memoryFree := range []time.Duration{4 * time.Second, 3 * time.Second, 8 * time.Second} {
		timeouts := NewTimeouts(NewBounds(memoryFree, 0, 0))
		c.Assert(timeouts.silence()+failedRelease < memoryFree, qt.IsTrue, qt.Commentf("%v of %v", timeouts.silence(), memoryFree))
		c.Assert(timeouts.reservationHold() < memoryFree, qt.IsTrue)
	}
}

// Guards against LOST: the instance of a sound server acknowledges nothing for a second
// or so, and the connection on which its response is awaited stays open.
func TestConnectionToServerOutlivesShortSilence(t *testing.T) {
	c := qt.New(t)
	const shortSilence = 2 * time.Second
	for _, memoryFree := range []time.Duration{0, 4 * time.Second, 8 * time.Second} {
		timeouts := NewTimeouts(NewBounds(memoryFree, 0, 0))
		c.Check(timeouts.ServerDialer().Unacknowledged() > shortSilence, qt.IsTrue)
		c.Check(timeouts.ServerDialer().Reserved() <= timeouts.silence(), qt.IsTrue)
	}
}

// Each timeout stays within the bound that depends on it, whatever the bound, and is
// no longer than usual if the bound allows more.
func TestTimeoutsFitTheirBounds(t *testing.T) {
	c := qt.New(t)
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, time.Minute} {
		timeouts := NewTimeouts(NewBounds(bound, bound, bound))
		for name, timeout := range map[string]struct{ got, usual time.Duration }{
			"silence":    {timeouts.silence(), usualSilence},
			"store read": {timeouts.StoreRead(), usualStoreRead},
			"scheduler":  {timeouts.scheduler(), usualScheduler},
			"listed":     {timeouts.listed(), usualListed},
		} {
			c.Check(timeout.got < bound, qt.IsTrue, qt.Commentf("%s: %v of %v", name, timeout.got, bound))
			c.Check(timeout.got <= timeout.usual, qt.IsTrue, qt.Commentf("%s: %v", name, timeout.got))
		}
	}
	var unbounded Timeouts
	c.Assert(unbounded.silence(), qt.Equals, usualSilence)
	c.Assert(unbounded.scheduler(), qt.Equals, usualScheduler)
}
