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

// verdict is a test that only notes whether it failed.
type verdict struct {
	testing.TB
	failed bool
}

func (v *verdict) Helper()               {}
func (v *verdict) Log(...any)            {}
func (v *verdict) Logf(string, ...any)   {}
func (v *verdict) Error(...any)          { v.failed = true }
func (v *verdict) Errorf(string, ...any) { v.failed = true }
func (v *verdict) Fail()                 { v.failed = true }
func (v *verdict) Failed() bool          { return v.failed }
func (v *verdict) Fatal(...any)          { v.FailNow() }
func (v *verdict) Fatalf(string, ...any) { v.FailNow() }
func (v *verdict) FailNow() {
	v.failed = true
	runtime.Goexit()
}

// fuzzWith reports whether the fuzzing finds a fault in worlds with a broken rule.
func fuzzWith(t *testing.T, broken mutation) bool {
	v := &verdict{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(v, func(t *rapid.T) {
			m := newWorldMachine(t, broken)
			t.Repeat(m.actions())
			m.settle()
			if len(m.world.faults) > 0 {
				t.Fatalf("faults: %v", m.world.faults)
			}
		})
	}()
	<-done
	return v.failed
}

// TestWorldFuzzCatchesMutations shows that the fuzzing can fail: every rule
// that is broken on purpose is noticed.
func TestWorldFuzzCatchesMutations(t *testing.T) {
	for name, value := range map[string]string{"rapid.shrinktime": "0s", "rapid.nofailfile": "true", "rapid.checks": "400"} {
		f := flag.Lookup(name)
		before := f.Value.String()
		qt.Assert(t, flag.Set(name, value), qt.IsNil)
		t.Cleanup(func() { _ = flag.Set(name, before) })
	}
	for _, broken := range []mutation{
		mutationAuthority, mutationCancel, mutationIncarnation, mutationRevert, mutationClosed,
	} {
		t.Run(string(broken), func(t *testing.T) {
			qt.Assert(t, fuzzWith(t, broken), qt.IsTrue)
		})
	}
}

// wakeLate pauses an entry that holds slots which it has not used yet, for
// longer than the slots are booked, while the others go on; then it wakes.
func wakeLate(seed uint64, broken mutation) (faults []string, late int) {
	w := newWorld(seed, 5, 4)
	w.mutation = broken
	w.warmAfter = 1_000_000
	w.publishDocument()
	w.advance(10 * time.Second)
	sleeper := w.nodes["entry-0"]
	for !sleeper.holdsOf("entry-1", "entry-2", "entry-3", "entry-4") {
		w.want(sleeper)
		w.advance(worldStep)
	}
	sleeper.paused = true
	w.busy = true
	w.advance(wantLife + 15*time.Second)
	late = len(sleeper.running)
	sleeper.paused = false
	w.advance(time.Second)
	return w.faults, late
}

// holdsOf reports whether the node holds an unused slot of one of the keepers.
func (n *worldNode) holdsOf(keepers ...string) bool {
	for _, a := range n.running {
		if !a.started && slices.Contains(keepers, a.slot.Keeper()) {
			return true
		}
	}
	return false
}

// TestPausedEntryStartsNothingLate checks that an entry which was paused with
// slots in hand does not use them when it wakes, and that the oracle would notice.
func TestPausedEntryStartsNothingLate(t *testing.T) {
	c := qt.New(t)
	caught := false
	for seed := range uint64(20) {
		faults, late := wakeLate(seed, mutationNone)
		c.Assert(faults, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		c.Assert(late > 0, qt.IsTrue)
		broken, _ := wakeLate(seed, mutationStartBy)
		caught = caught || len(broken) > 0
	}
	c.Assert(caught, qt.IsTrue)
}
