package peer

import (
	"flag"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// failureRecorder is a testing.TB that records whether the test failed.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (v *failureRecorder) Helper()               {}
func (v *failureRecorder) Log(...any)            {}
func (v *failureRecorder) Logf(string, ...any)   {}
func (v *failureRecorder) Error(...any)          { v.failed = true }
func (v *failureRecorder) Errorf(string, ...any) { v.failed = true }
func (v *failureRecorder) Fail()                 { v.failed = true }
func (v *failureRecorder) Failed() bool          { return v.failed }
func (v *failureRecorder) Fatal(...any)          { v.FailNow() }
func (v *failureRecorder) Fatalf(string, ...any) { v.FailNow() }
func (v *failureRecorder) FailNow() {
	v.failed = true
	runtime.Goexit()
}

// fuzzWith reports whether fuzzing finds a fault in simulations with the
// mutation.
func fuzzWith(t *testing.T, mutant mutation) bool {
	v := &failureRecorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(v, func(t *rapid.T) {
			m := newStateMachine(t, mutant)
			t.Repeat(m.actions())
			m.settle()
			if len(m.simulation.faults) > 0 {
				t.Fatalf("faults: %v", m.simulation.faults)
			}
		})
	}()
	<-done
	return v.failed
}

// TestSimulationFuzzCatchesMutations checks that the fuzz test can fail: it
// must find a fault in every simulation in which one rule is broken on purpose.
func TestSimulationFuzzCatchesMutations(t *testing.T) {
	for name, value := range map[string]string{"rapid.shrinktime": "0s", "rapid.nofailfile": "true", "rapid.checks": "400"} {
		f := flag.Lookup(name)
		before := f.Value.String()
		qt.Assert(t, flag.Set(name, value), qt.IsNil)
		t.Cleanup(func() { _ = flag.Set(name, before) })
	}
	for _, mutant := range []mutation{
		mutationLease, mutationCancel, mutationIncarnation, mutationRevert, mutationDomainState,
	} {
		t.Run(string(mutant), func(t *testing.T) {
			qt.Assert(t, fuzzWith(t, mutant), qt.IsTrue)
		})
	}
}

// wakeAfterStartBy pauses an entry that holds slots which it has not used yet
// until their start-by times have passed, while the other entries run on, and
// then resumes it. It returns the faults, and how many slots the entry held
// when it resumed.
func wakeAfterStartBy(seed uint64, mutant mutation) (faults []string, late int) {
	sim := newSimulation(seed, 5, 4)
	sim.mutation = mutant
	sim.warmAfter = 1_000_000
	sim.publishDocument()
	sim.advance(10 * time.Second)
	paused := sim.nodes["entry-0"]
	for !paused.holdsUnusedSlotOf("entry-1", "entry-2", "entry-3", "entry-4") {
		sim.requestSlot(paused)
		sim.advance(simStep)
	}
	paused.paused = true
	sim.underLoad = true
	sim.advance(requestTimeout + 15*time.Second)
	late = len(paused.running)
	paused.paused = false
	sim.advance(time.Second)
	return sim.faults, late
}

// holdsUnusedSlotOf reports whether the node holds an unused slot of one of the
// keepers.
func (n *simNode) holdsUnusedSlotOf(keepers ...string) bool {
	for _, a := range n.running {
		if !a.started && slices.Contains(keepers, a.slot.Keeper()) {
			return true
		}
	}
	return false
}

// TestPausedEntryStartsNothingLate checks that an entry which was paused while
// it held slots does not use them after their start-by times, and that the
// simulation reports a fault if it does.
func TestPausedEntryStartsNothingLate(t *testing.T) {
	c := qt.New(t)
	caught := false
	for seed := range uint64(20) {
		faults, late := wakeAfterStartBy(seed, mutationNone)
		c.Assert(faults, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		c.Assert(late > 0, qt.IsTrue)
		broken, _ := wakeAfterStartBy(seed, mutationStartBy)
		caught = caught || len(broken) > 0
	}
	c.Assert(caught, qt.IsTrue)
}
