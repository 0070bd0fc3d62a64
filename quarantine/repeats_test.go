package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testFingerprint returns a fingerprint for a name.
func testFingerprint(name string) Fingerprint { return NewFingerprint("a", "GET", "h", name, "", nil) }

// repeatsWorld sends requests to servers that start anew whenever they end.
type repeatsWorld struct {
	repeats Repeats
	now     time.Time
	ended   int
}

func newRepeatsWorld() *repeatsWorld { return &repeatsWorld{now: time.Unix(1000, 0)} }

// send sends the requests to one server, which ends if crashes is set, and reports which
// of them were not refused.
func (w *repeatsWorld) send(crashes bool, names ...string) map[string]bool {
	w.now = w.now.Add(200 * time.Millisecond)
	w.repeats.Expire(w.now)
	sent := make(map[string]bool)
	for _, name := range names {
		if _, refused := w.repeats.Check(w.now, testFingerprint(name), true); !refused {
			sent[name] = true
			w.repeats.Sent(w.now, testFingerprint(name))
		}
	}
	sentAt := w.now
	w.now = w.now.Add(60 * time.Millisecond)
	for name := range sent {
		if crashes {
			w.repeats.Crashed(w.now, fmt.Sprint("s", w.ended), sentAt, testFingerprint(name))
		} else {
			w.repeats.Settled(w.now, testFingerprint(name))
		}
	}
	if crashes && len(sent) > 0 {
		w.ended++
	}
	return sent
}

// Guards against BUDGET: the requests that are let through after a quarantine add up to
// more than three.
func TestRepeatIsLetThroughTwiceForGood(t *testing.T) {
	c := qt.New(t)
	w := newRepeatsWorld()
	for range 24 * 60 {
		w.send(true, "bad")
		w.now = w.now.Add(time.Minute)
	}
	c.Assert(w.ended, qt.Equals, repeatCrashes+maxProbes)
}

// A request that no longer crashes servers is served again.
func TestRepeatThatSettlesIsCleared(t *testing.T) {
	c := qt.New(t)
	w := newRepeatsWorld()
	for range repeatCrashes {
		w.send(true, "bad")
	}
	c.Assert(w.send(false, "bad"), qt.HasLen, 0)
	w.now = w.now.Add(minQuarantine)
	c.Assert(w.send(false, "bad"), qt.HasLen, 1)
	c.Assert(w.send(false, "bad"), qt.HasLen, 1)
	c.Assert(w.repeats.Refused(), qt.HasLen, 0)
}

// While a request is let through, others like it are refused, and so are all of them where
// probe is not set.
func TestOneRepeatIsLetThroughAtATime(t *testing.T) {
	c := qt.New(t)
	w := newRepeatsWorld()
	for range repeatCrashes {
		w.send(true, "bad")
	}
	w.now = w.now.Add(minQuarantine)
	_, refused := w.repeats.Check(w.now, testFingerprint("bad"), false)
	c.Assert(refused, qt.IsTrue)
	_, refused = w.repeats.Check(w.now, testFingerprint("bad"), true)
	c.Assert(refused, qt.IsFalse)
	w.repeats.Sent(w.now, testFingerprint("bad"))
	retryAfter, refused := w.repeats.Check(w.now, testFingerprint("bad"), true)
	c.Assert(refused, qt.IsTrue)
	c.Assert(retryAfter > 0, qt.IsTrue)
}

// Requests that ran beside one that crashes servers are not refused once it is known.
func TestRequestsBesideRepeatAreServed(t *testing.T) {
	c := qt.New(t)
	w := newRepeatsWorld()
	w.send(true, "bad")
	w.send(true, "bad", "beside")
	// Several servers run both before the ends of any of them are known.
	for i := range 2 {
		w.repeats.Crashed(w.now, fmt.Sprint("t", i), w.now.Add(-time.Second), testFingerprint("bad"))
		w.repeats.Crashed(w.now, fmt.Sprint("t", i), w.now.Add(-time.Second), testFingerprint("beside"))
	}
	for range 10 {
		c.Assert(w.send(false, "beside"), qt.HasLen, 1)
	}
	c.Assert(w.send(true, "bad"), qt.HasLen, 0)
}

// Two requests that crash servers side by side are both refused.
func TestTwoRepeatsAreRefused(t *testing.T) {
	c := qt.New(t)
	w := newRepeatsWorld()
	for i := range 40 {
		names := []string{"bad", "worse"}
		w.send(true, names[:1+i%2]...)
		w.send(true, names[1:]...)
	}
	c.Assert(w.repeats.Refused(), qt.HasLen, 2)
	c.Assert(w.ended <= 2*repeatCrashes, qt.IsTrue, qt.Commentf("%d servers ended", w.ended))
}

// Servers that end for other causes don't have a request refused that many callers send:
// not those of a lost failure domain, and not those that end one after the other.
func TestPopularRequestIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	var lost Repeats
	now := time.Unix(1000, 0)
	for i := range 9 {
		lost.Crashed(now.Add(time.Duration(i)*100*time.Millisecond), fmt.Sprint("s", i), now, testFingerprint("popular"))
	}
	c.Assert(lost.Refused(), qt.HasLen, 0)

	w := newRepeatsWorld()
	for range 100 {
		w.send(false, "popular")
		c.Assert(w.send(true, "popular"), qt.HasLen, 1)
	}
}

// A server that breaks off several responses ends once.
func TestServerEndsOnce(t *testing.T) {
	c := qt.New(t)
	var r Repeats
	for i := range 10 {
		r.Crashed(time.Unix(1000+int64(i), 0), "s0", time.Unix(1000+int64(i), 0), testFingerprint("cut"))
	}
	c.Assert(r.Refused(), qt.HasLen, 0)
	c.Assert(r.Known()[0].Ends(), qt.HasLen, 1)
}

// Memory is bounded, and requests under which single servers ended don't push out what is
// known of one that is refused.
func TestFloodKeepsRefusedRepeat(t *testing.T) {
	c := qt.New(t)
	w := newRepeatsWorld()
	for range repeatCrashes {
		w.send(true, "bad")
	}
	for i := range 10 * maxRepeats {
		w.repeats.Crashed(w.now, "other", w.now, testFingerprint(fmt.Sprint("x", i)))
		w.repeats.Settled(w.now, testFingerprint(fmt.Sprint("y", i)))
	}
	c.Assert(len(w.repeats.byFingerprint), qt.Equals, maxRepeats)
	c.Assert(len(w.repeats.settled), qt.Equals, maxSettled)
	c.Assert(w.send(true, "bad"), qt.HasLen, 0)
}

// What entries know of requests converges, whatever the order in which they exchange it
// and whichever of them saw what, and a settled request clears it everywhere.
func TestRepeatsConverge(t *testing.T) {
	for seed := range uint64(300) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		entries := make([]Repeats, 2+random.IntN(4))
		now := time.Unix(1000, 0)
		settles := random.IntN(2) == 0
		for i := range 6 {
			now = now.Add(time.Duration(1+random.IntN(3000)) * time.Millisecond)
			entries[random.IntN(len(entries))].Crashed(now, fmt.Sprint("s", i), now.Add(-time.Millisecond), testFingerprint("bad"))
			for range random.IntN(4) {
				entries[random.IntN(len(entries))].Merge(now, entries[random.IntN(len(entries))].Known())
			}
		}
		if settles {
			now = now.Add(time.Second)
			entries[random.IntN(len(entries))].Settled(now, testFingerprint("bad"))
		}
		for range len(entries) {
			for i := range entries {
				for j := range entries {
					entries[j].Merge(now, entries[i].Known())
				}
			}
		}
		for i := range entries {
			comment := qt.Commentf("seed %d, entry %d", seed, i)
			c.Assert(entries[i].Digest(), qt.Equals, entries[0].Digest(), comment)
			refused := 1
			if settles {
				refused = 0
			}
			c.Assert(entries[i].Refused(), qt.HasLen, refused, comment)
		}
	}
}
