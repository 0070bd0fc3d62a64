package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The evidence below the threshold counts at a registry that goes on in the place of
// another one, and what speaks for the other parts as well.
func TestMergedEvidenceCounts(t *testing.T) {
	c := qt.New(t)
	var first, second Registry
	crash(&first, 0, minCrashes-1, []Part{partCommon, partBad}, []Part{partCommon, partRare})
	first.Settled(at(500*time.Millisecond), []Part{partCommon})
	c.Assert(refused(&first, time.Second, partBad), qt.IsFalse)
	second.MergeEvidence(at(time.Second), first.Evidence(at(time.Second)))
	c.Assert(refused(&second, time.Second, partBad), qt.IsFalse)
	second.Crashed(at(time.Second), "s", []Part{partCommon, partBad})
	c.Assert(refused(&second, time.Second, partCommon, partBad), qt.IsTrue)
	c.Assert(refused(&second, time.Second, partCommon, partRare), qt.IsFalse)
}

// evidenceOf returns a registry that saw some of the ends and settled requests of a run.
func evidenceOf(seed uint64, share float64) *Registry {
	r := new(Registry)
	run, seen := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, uint64(100*share)))
	for i := range 60 {
		now := at(time.Duration(i) * 200 * time.Millisecond)
		parts := []Part{Part(run.IntN(6)), Part(10 + run.IntN(20))}
		crashes := run.IntN(3) == 0
		switch {
		case seen.Float64() > share:
		case crashes:
			r.Crashed(now, fmt.Sprint("s", i), parts)
		default:
			r.Settled(now, parts)
		}
	}
	return r
}

// In whatever order evidence arrives, and however often, it says the same.
func TestMergeEvidenceInAnyOrder(t *testing.T) {
	c := qt.New(t)
	now := at(13 * time.Second)
	for seed := range uint64(50) {
		a, b := evidenceOf(seed, 0.4), evidenceOf(seed, 0.8)
		merged := func(evidence ...Evidence) (Evidence, string) {
			var r Registry
			for _, e := range evidence {
				r.MergeEvidence(now, e)
			}
			out := r.Evidence(now)
			r.Evaluate(now)
			return out, fmt.Sprint(r.Suspicions(), r.counts)
		}
		want, follows := merged(a.Evidence(now), b.Evidence(now))
		for _, order := range [][]*Registry{{b, a}, {a, b, a}, {b, b, a, a}} {
			var evidence []Evidence
			for _, r := range order {
				evidence = append(evidence, r.Evidence(now))
			}
			got, gotFollows := merged(evidence...)
			c.Assert(fmt.Sprint(got), qt.Equals, fmt.Sprint(want), qt.Commentf("seed %d", seed))
			c.Assert(gotFollows, qt.Equals, follows, qt.Commentf("seed %d", seed))
		}
	}
}
