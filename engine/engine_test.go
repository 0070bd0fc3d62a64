package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagedock.example/flagtest"
	"greengagedock.example/routing"
)

// testFigures are those of an engine that reads 154 tokens in a millisecond
// and writes 34 tokens in a pass.
var testFigures = routing.NewEngineProfile(16, 405_000).
	WithDecode(1310*time.Microsecond, time.Microsecond, 2*time.Microsecond, 34).
	WithPrefill(time.Second/154_000, 162*time.Microsecond, 2048)

// watched is an engine and when what came of it.
type watched struct {
	*Engine
	now   time.Duration
	first map[string]time.Duration
	ended map[string]time.Duration
	parts map[string]time.Duration
	// pause is the longest time between two events of a request.
	pause map[string]time.Duration
	last  map[string]time.Duration
}

func newWatched() *watched {
	times := func() map[string]time.Duration { return make(map[string]time.Duration) }
	return &watched{Engine: New(testFigures), first: times(), ended: times(), parts: times(), pause: times(), last: times()}
}

// pass plays one pass and reports whether there was one.
func (w *watched) pass() bool {
	due, ok := w.Due()
	if !ok {
		return false
	}
	w.now = due
	for _, event := range w.Advance(due) {
		switch event := event.(type) {
		case PartPrefilled:
			w.parts[event.ID()] = due
		case Generated:
			if _, ok := w.first[event.ID()]; !ok {
				w.first[event.ID()] = due
			} else {
				w.pause[event.ID()] = max(w.pause[event.ID()], due-w.last[event.ID()])
			}
			w.last[event.ID()] = due
		case Completed:
			w.ended[event.ID()] = due
		case Preempted:
		}
	}
	return true
}

func (w *watched) play() {
	for w.pass() {
	}
}

// within asserts that a time is at most a hundredth from another.
func within(c *qt.C, got, want time.Duration) {
	c.Helper()
	c.Assert(got >= want*99/100 && got <= want*101/100, qt.IsTrue, qt.Commentf("got %v, want about %v", got, want))
}

func TestPromptIsReadAlone(t *testing.T) {
	c := qt.New(t)
	w := newWatched()
	c.Assert(w.Submit(0, NewRequest("a", 182_000, 100)), qt.IsNil)
	w.play()
	within(c, w.first["a"], testFigures.PrefillTime(182_000, 1))
}

// A pass that writes reads a chunk in each of its steps, so a prompt beside a
// writer takes its reading and few strides, and pauses the writer.
func TestReadingPausesWriters(t *testing.T) {
	c := qt.New(t)
	w := newWatched()
	c.Assert(w.Submit(0, NewRequest("writer", 1000, 2000)), qt.IsNil)
	w.pass()
	begun := w.now
	c.Assert(w.Submit(w.now, NewRequest("reader", 52_300, 100)), qt.IsNil)
	w.play()
	alone := testFigures.PrefillTime(52_300, 1)
	c.Assert(w.first["reader"]-begun < alone+3*testFigures.DecodePassTime(1, 1000), qt.IsTrue)
	c.Assert(w.pause["writer"] > alone*9/10, qt.IsTrue, qt.Commentf("%v", w.pause["writer"]))
}

func TestPromptIsReadByTwo(t *testing.T) {
	c := qt.New(t)
	first, helper := newWatched(), newWatched()
	c.Assert(first.Submit(0, NewRequest("a", 182_000, 100).WithPrefillWorkers(1, 0)), qt.IsNil)
	c.Assert(helper.PrefillPart(0, "a", 182_000, 1), qt.IsNil)
	helper.play()
	within(c, helper.parts["a"], testFigures.PrefillTime(182_000, 0.5))
	first.play()
	c.Assert(first.first, qt.HasLen, 0, qt.Commentf("an answer before the helper's part was read"))
	first.PartCompleted(helper.parts["a"], "a")
	first.play()
	c.Assert(first.ended, qt.HasLen, 1)
}

// Parts for other engines go ahead of prompts of an engine's own.
func TestPartsAreReadFirst(t *testing.T) {
	c := qt.New(t)
	w := newWatched()
	c.Assert(w.Submit(0, NewRequest("own", 100_000, 10)), qt.IsNil)
	w.pass()
	c.Assert(w.PrefillPart(w.now, "part", 100_000, 1), qt.IsNil)
	w.play()
	c.Assert(w.parts["part"] < w.first["own"], qt.IsTrue)
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	w := newWatched()
	c.Assert(w.Submit(0, NewRequest("large", 405_000, 1)), qt.ErrorIs, ErrTooLarge)
	c.Assert(w.Submit(0, NewRequest("spread", 405_000, 1).WithPrefillWorkers(1, 100_000)), qt.IsNil)
	w.Cancel("spread")
	w.play()
	c.Assert(w.Reserve("other", 300_000), qt.IsNil)
	c.Assert(w.Reserve("more", 200_000), qt.ErrorIs, ErrNoMemory)
	c.Assert(w.Submit(w.now, NewRequest("waits", 200_000, 10)), qt.IsNil)
	c.Assert(w.Load().Running(), qt.Equals, 0)
	w.Release("other")
	w.PartCompleted(w.now, "") // any call begins a pass
	w.play()
	c.Assert(w.ended, qt.HasLen, 1)
}

func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	c := qt.New(t)
	w := newWatched()
	for i := range 16 {
		c.Assert(w.Submit(0, NewRequest(fmt.Sprint(i), 1000, 200)), qt.IsNil)
	}
	w.pass()
	c.Assert(w.Submit(w.now, NewRequest("usual", 1000, 200).WithPriority(5)), qt.IsNil)
	c.Assert(w.Submit(w.now, NewRequest("urgent", 1000, 200).WithPriority(1)), qt.IsNil)
	w.play()
	c.Assert(w.first["urgent"] <= w.first["usual"], qt.IsTrue)
}

// Whatever is asked of it, an engine stays within its memory and slots, ends
// each request once, and comes to rest.
func TestEngineEndsAllOnce(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "1")
	rapid.Check(t, func(t *rapid.T) {
		e := New(testFigures)
		now := time.Duration(0)
		owed := make(map[string]bool)
		parts := make(map[string]bool)
		take := func(events []Event) {
			for _, event := range events {
				switch event := event.(type) {
				case Completed:
					if !owed[event.ID()] {
						t.Fatalf("%s ended twice", event.ID())
					}
					delete(owed, event.ID())
				case PartPrefilled:
					delete(parts, event.ID())
				case Generated, Preempted:
				}
			}
			load := e.Load()
			if load.Memory() > testFigures.Memory() && load.Running() > 1 || load.Running() > testFigures.Slots() {
				t.Fatalf("over its bounds: %+v", load)
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "calls") {
			id := fmt.Sprint(i)
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0, 1:
				r := NewRequest(id, rapid.IntRange(1, 390_000).Draw(t, "prompt"), rapid.IntRange(1, 4000).Draw(t, "answer"))
				if e.Submit(now, r) == nil {
					owed[id] = true
				}
			case 2:
				if e.PrefillPart(now, id, rapid.IntRange(1, 800_000).Draw(t, "prompt"), rapid.IntRange(1, 16).Draw(t, "helpers")) == nil {
					parts[id] = true
				}
			case 3:
				gone := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "gone"))
				e.Cancel(gone)
				delete(owed, gone)
				delete(parts, gone)
			case 4:
				if due, ok := e.Due(); ok {
					now = due
					take(e.Advance(due))
				}
			}
		}
		for range 1_000_000 {
			due, ok := e.Due()
			if !ok {
				break
			}
			now = due
			take(e.Advance(due))
		}
		if len(owed) > 0 || len(parts) > 0 {
			t.Fatalf("never ended: %v, parts %v", owed, parts)
		}
	})
}
