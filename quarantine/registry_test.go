package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Parts of the prompts in the tests.
const (
	partBad Part = 1000 + iota
	partWorse
	partCommon
	partRare
	partOther
	partControl // of requests that have nothing to do with the crashes
)

var start = time.Unix(1000, 0)

// at returns a time of a test.
func at(d time.Duration) time.Time { return start.Add(d) }

// crash reports servers that end one after the other, each with the given prompts, while
// others settle.
func crash(r *Registry, from time.Duration, n int, prompts ...[]Part) {
	for range 20 {
		r.Settled(at(from), []Part{partControl})
	}
	for i := range n {
		now := at(from + time.Duration(i)*2*momentTime)
		for _, prompt := range prompts {
			r.Crashed(now, fmt.Sprintf("s-%v-%d", from, i), prompt)
		}
	}
}

func refused(r *Registry, now time.Duration, parts ...Part) bool {
	r.Evaluate(at(now))
	_, out := r.Check(at(now), parts, true)
	return out
}

// send sends a request, and reports whether it was refused.
func send(r *Registry, now time.Duration, parts ...Part) bool {
	if refused(r, now, parts...) {
		return true
	}
	r.Sent(at(now), parts)
	return false
}

func TestPartIsSuspectAfterThreeCrashes(t *testing.T) {
	c := qt.New(t)
	var r Registry
	crash(&r, 0, minCrashes-1, []Part{partCommon, partBad}, []Part{partRare})
	c.Assert(refused(&r, time.Second, partBad), qt.IsFalse)
	crash(&r, time.Second, 1, []Part{partOther, partBad}, []Part{partWorse})
	c.Assert(refused(&r, 2*time.Second, partBad), qt.IsTrue)
	c.Assert(refused(&r, 2*time.Second, partOther, partBad), qt.IsTrue)
	for _, sound := range []Part{partCommon, partRare, partOther} {
		c.Assert(refused(&r, 2*time.Second, sound), qt.IsFalse)
	}
	retryAfter, _ := r.Check(at(2*time.Second), []Part{partBad}, true)
	c.Assert(retryAfter > minQuarantine-2*time.Second && retryAfter <= minQuarantine, qt.IsTrue)
}

// While two parts account for the same crashes, neither is suspect, but not for long.
func TestTiedPartsAreNotSuspectAtFirst(t *testing.T) {
	c := qt.New(t)
	var r Registry
	crash(&r, 0, decisiveCrashes-1, []Part{partBad}, []Part{partCommon})
	c.Assert(refused(&r, time.Second, partBad), qt.IsFalse)
	r.Settled(at(time.Second), []Part{partCommon})
	c.Assert(refused(&r, time.Second, partBad), qt.IsTrue)
	c.Assert(refused(&r, time.Second, partCommon), qt.IsFalse)

	var unsettled Registry
	crash(&unsettled, 0, decisiveCrashes, []Part{partBad}, []Part{partCommon})
	c.Assert(refused(&unsettled, 2*time.Second, partBad) || refused(&unsettled, 2*time.Second, partCommon), qt.IsTrue)
}

// Requests that crash servers always have a popular part as well, and a sound one with it
// was unsettled beside the first: what is refused is both parts together.
func TestPopularCompanionIsNotBlamedAlone(t *testing.T) {
	c := qt.New(t)
	const popular, bad = Part(5), Part(1 << 30) // whichever is the lesser
	for _, parts := range [][]Part{{popular, bad}, {bad, popular}} {
		var r Registry
		crash(&r, 0, 1, parts, []Part{parts[0], partOther})
		crash(&r, time.Second, 6, parts)
		c.Assert(refused(&r, 3*time.Second, parts...), qt.IsTrue)
		c.Assert(refused(&r, 3*time.Second, parts[0], partRare), qt.IsFalse)
	}
}

// Servers end faster than any answer can go on for long enough: what crashes them is found
// all the same, and a part of all requests is not.
func TestPartIsSuspectWhileNothingSettles(t *testing.T) {
	c := qt.New(t)
	var r Registry
	for i := range 2 * maxCrashes {
		now := time.Duration(i) * 2 * momentTime
		for j, prompt := range [][]Part{{partCommon, partBad}, {partCommon, partOther + Part(10+i)}, {partCommon, partRare + Part(1000+i)}} {
			r.Crashed(at(now), fmt.Sprint("s", i, "-", j), prompt)
		}
	}
	c.Assert(refused(&r, 2*time.Second, partCommon, partBad), qt.IsTrue)
	c.Assert(refused(&r, 2*time.Second, partCommon, partOther), qt.IsFalse)
}

// Whoever shares the caller and the other parts of the requests that crash servers is
// served, also if the parts always came together before.
func TestPartsThatAlwaysCameTogetherAreRefusedTogether(t *testing.T) {
	c := qt.New(t)
	var r Registry
	crash(&r, 0, 4, []Part{partCommon, partBad})
	c.Assert(refused(&r, time.Second, partCommon, partBad), qt.IsTrue)
	c.Assert(refused(&r, time.Second, partCommon, partOther), qt.IsFalse)
	c.Assert(refused(&r, time.Second, partBad, partOther), qt.IsFalse)
	// A request with one of them settles: only the other one is suspect.
	r.Settled(at(2*time.Second), []Part{partCommon, partOther})
	c.Assert(refused(&r, 3*time.Second, partBad, partOther), qt.IsTrue)
	c.Assert(refused(&r, 3*time.Second, partCommon), qt.IsFalse)
}

// With another first part, one more server shows which of the two parts it is.
func TestOtherCompanionNarrowsSuspicion(t *testing.T) {
	c := qt.New(t)
	var r Registry
	crash(&r, 0, 3, []Part{partCommon, partBad})
	crash(&r, time.Second, 1, []Part{partOther, partBad})
	c.Assert(refused(&r, 2*time.Second, partRare, partBad), qt.IsTrue)
	c.Assert(refused(&r, 2*time.Second, partCommon), qt.IsFalse)
}

func TestTwoBadPartsAtOnce(t *testing.T) {
	c := qt.New(t)
	var r Registry
	for i := range 8 {
		bad := []Part{partBad, partWorse}[i%2]
		crash(&r, time.Duration(i)*time.Second/4, 1, []Part{partCommon, bad}, []Part{partRare + Part(i)})
		r.Settled(at(time.Duration(i)*time.Second/4), []Part{partCommon})
	}
	c.Assert(refused(&r, 3*time.Second, partBad), qt.IsTrue)
	c.Assert(refused(&r, 3*time.Second, partWorse), qt.IsTrue)
	c.Assert(refused(&r, 3*time.Second, partCommon), qt.IsFalse)
}

// A part that runs on every server is not suspect when a domain is lost or the servers
// fail one after the other.
func TestPopularPartIsNotBlamedForOtherCauses(t *testing.T) {
	c := qt.New(t)
	var lost Registry
	for i := range 40 {
		lost.Crashed(at(time.Duration(i)*time.Millisecond), fmt.Sprint("s", i), []Part{partCommon})
	}
	c.Assert(refused(&lost, time.Second, partCommon), qt.IsFalse)

	var rolling Registry
	for i := range 20 {
		now := time.Duration(i) * time.Second / 2
		rolling.Settled(at(now-time.Second), []Part{partCommon})
		crash(&rolling, now, 1, []Part{partCommon})
		c.Assert(refused(&rolling, now, partCommon), qt.IsFalse)
	}
}

// One server that breaks answers again and again, without ending, is evidence once.
func TestOneServerIsEvidenceOnce(t *testing.T) {
	c := qt.New(t)
	var r Registry
	for i := range 20 {
		r.Crashed(at(time.Duration(i)*time.Second), "s", []Part{partRare})
	}
	c.Assert(refused(&r, 20*time.Second, partRare), qt.IsFalse)
}

// Evidence for and against a part may arrive in any order.
func TestOrderOfEvidenceDoesNotMatter(t *testing.T) {
	c := qt.New(t)
	type step func(r *Registry)
	var steps []step
	for i := range maxCrashes {
		now := at(time.Duration(i) * 200 * time.Millisecond)
		for _, prompt := range [][]Part{{partCommon, partBad}, {partCommon, partOther}, {partRare + Part(10*i)}} {
			steps = append(steps, func(r *Registry) { r.Crashed(now, fmt.Sprint("s", i), prompt) })
		}
	}
	steps = append(steps, func(r *Registry) { r.Settled(at(300*time.Millisecond), []Part{partCommon, partOther}) })
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		random.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
		var r Registry
		for range 20 {
			r.Settled(start, []Part{partControl})
		}
		for _, s := range steps {
			s(&r)
			if random.IntN(3) == 0 {
				r.Evaluate(at(time.Second))
			}
		}
		c.Assert(refused(&r, time.Second, partCommon, partBad), qt.IsTrue)
		c.Assert(refused(&r, time.Second, partCommon, partOther), qt.IsFalse)
	}
}

// After a quarantine one request is let through; whether it settles decides.
func TestHarmlessPartIsServedAgain(t *testing.T) {
	c := qt.New(t)
	var r Registry
	crash(&r, 0, 3, []Part{partBad})
	end := minQuarantine + time.Second
	c.Assert(send(&r, end, partBad), qt.IsFalse)
	c.Assert(send(&r, end, partBad), qt.IsTrue)
	crash(&r, end+time.Second, 1, []Part{partBad})
	c.Assert(send(&r, end+time.Second+minQuarantine, partBad), qt.IsTrue) // twice as long now
	end += time.Second + 2*minQuarantine
	c.Assert(send(&r, end, partBad), qt.IsFalse)
	r.Settled(at(end+time.Second), []Part{partBad})
	c.Assert(send(&r, end+time.Second, partBad), qt.IsFalse)
	c.Assert(send(&r, end+time.Second, partBad), qt.IsFalse)
}

// A part of all requests can't be told from other causes, such as servers that end one
// after the other or as they start: no part is suspect unless requests without it settle.
func TestPartOfAllRequestsIsNotSuspect(t *testing.T) {
	c := qt.New(t)
	var r Registry
	for i := range 40 {
		now := time.Duration(i) * 2 * momentTime
		if i > 20 {
			r.Settled(at(now), []Part{partOther, partCommon})
		}
		r.Crashed(at(now+momentTime), fmt.Sprint("s", i), []Part{partCommon, partRare + Part(100+i)})
		c.Assert(refused(&r, now+momentTime, partCommon, partWorse), qt.IsFalse)
	}
}

// Over all suspicions, one request is let through at a time, and ever fewer while they
// crash servers. The first quarantines last no longer for many crashes at once.
func TestProbesAreRareOverAllSuspicions(t *testing.T) {
	c := qt.New(t)
	var r Registry
	parts := []Part{partBad, partWorse, partRare}
	for i, part := range parts {
		crash(&r, time.Duration(i)*3*time.Second, 12, []Part{part})
	}
	probes := 0
	first := time.Duration(0)
	for now := 10 * time.Second; now < 5*time.Minute; now += 100 * time.Millisecond {
		part := parts[int(now/(100*time.Millisecond))%len(parts)]
		if send(&r, now, part) {
			continue
		}
		if probes++; probes == 1 {
			first = now
		}
		r.Crashed(at(now+50*time.Millisecond), fmt.Sprint("probe-", now), []Part{part})
	}
	c.Assert(first <= 10*time.Second+minQuarantine, qt.IsTrue, qt.Commentf("%v", first))
	c.Assert(probes <= 3, qt.IsTrue, qt.Commentf("%d probes", probes))
}

// What a registry saw while it saw all requests says nothing about later, when it did not
// see those that went well in between.
func TestForgottenEvidenceDoesNotAddUp(t *testing.T) {
	c := qt.New(t)
	var r Registry
	for i := range 4 {
		crash(&r, time.Duration(i)*time.Minute, 1, []Part{partRare})
		r.Forget()
	}
	c.Assert(refused(&r, 4*time.Minute, partRare), qt.IsFalse)
}

// A request that settled before does not speak for what crashes servers elsewhere since.
func TestOlderClearanceDoesNotHideNewCrashes(t *testing.T) {
	c := qt.New(t)
	var old, fresh Registry
	crash(&old, 0, 10, []Part{partBad})
	c.Assert(refused(&old, time.Second, partBad), qt.IsTrue)
	old.Settled(at(2*time.Second), []Part{partBad})
	crash(&fresh, time.Minute, 4, []Part{partBad})
	c.Assert(refused(&fresh, 61*time.Second, partBad), qt.IsTrue)
	fresh.Merge(at(61*time.Second), old.Suspicions())
	c.Assert(refused(&fresh, 61*time.Second, partBad), qt.IsTrue)
	old.Merge(at(61*time.Second), fresh.Suspicions())
	c.Assert(refused(&old, 61*time.Second, partBad), qt.IsTrue)
}

// A part that was sound until now is suspect soon after it began to crash servers.
func TestPartThatBecomesBadIsSuspect(t *testing.T) {
	c := qt.New(t)
	var r Registry
	for i := range 20 {
		r.Settled(at(time.Duration(i)*100*time.Millisecond), []Part{partBad})
	}
	crash(&r, 2*time.Second, 15, []Part{partBad})
	crash(&r, 3500*time.Millisecond, 12, []Part{partBad})
	c.Assert(refused(&r, 5*time.Second, partBad), qt.IsTrue)
}

// What others learn of a suspicion gives the same refusals there, in any order, and so
// does its end; the digests show whether they differ.
func TestSuspicionsSpread(t *testing.T) {
	c := qt.New(t)
	var first, second Registry
	crash(&first, 0, 4, []Part{partBad})
	first.Evaluate(at(time.Second))
	before := first.Suspicions()
	c.Assert(second.Digest(), qt.Not(qt.Equals), first.Digest())
	second.Merge(at(time.Second), before)
	c.Assert(second.Digest(), qt.Equals, first.Digest())
	c.Assert(refused(&second, time.Second, partBad), qt.IsTrue)
	// A server that ends elsewhere counts there, too.
	crash(&second, 5*time.Minute, 1, []Part{partBad})
	c.Assert(second.Suspicions()[0].Crashes(), qt.Equals, 5)
	c.Assert(second.Suspicions()[0].FailedProbes(), qt.Equals, 1)

	first.Merge(at(5*time.Minute), second.Suspicions())
	first.Settled(at(6*time.Minute), []Part{partBad})
	second.Merge(at(6*time.Minute), first.Suspicions())
	second.Merge(at(6*time.Minute), before)
	c.Assert(second.Digest(), qt.Equals, first.Digest())
	c.Assert(refused(&second, 6*time.Minute, partBad), qt.IsFalse)
}

// Many different parts neither grow the registry without end, nor push out the suspicion
// against a real one.
func TestManyPartsAreBounded(t *testing.T) {
	c := qt.New(t)
	var r Registry
	crash(&r, 0, 6, []Part{partBad})
	for i := range 5000 {
		now := time.Second + time.Duration(i)*time.Millisecond
		r.Settled(at(now), []Part{Part(1e6 + i)})
		r.Crashed(at(now), fmt.Sprint("x", i), []Part{Part(2e6 + i)})
		if i%25 == 0 {
			r.Evaluate(at(now))
		}
	}
	c.Assert(len(r.moments) <= maxMoments, qt.IsTrue)
	c.Assert(len(r.settled) <= 2*minPruned+1, qt.IsTrue, qt.Commentf("%d", len(r.settled)))
	c.Assert(refused(&r, 7*time.Second, partBad), qt.IsTrue)
	for i := range 3 * maxSuspicions {
		crash(&r, time.Duration(10+i)*time.Second, 3, []Part{Part(3e6 + i)})
	}
	c.Assert(len(r.suspicions) <= maxSuspicions, qt.IsTrue)
	c.Assert(slices.IsSortedFunc(r.Suspicions(), func(a, b Suspicion) int { return slices.Compare(a.Parts(), b.Parts()) }), qt.IsTrue)
}
