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

// testProfile is the profile of an engine that prefills 154 tokens in a
// millisecond and decodes 34 tokens in a pass.
var testProfile = routing.NewEngineProfile(16, 405_000).
	WithDecode(1310*time.Microsecond, time.Microsecond, 2*time.Microsecond, 34).
	WithPrefill(time.Second/154_000, 162*time.Microsecond, 2048)

// recordedEngine is an engine with the times of its events, by request id.
type recordedEngine struct {
	*Engine
	now        time.Duration
	firstToken map[string]time.Duration
	completed  map[string]time.Duration
	parts      map[string]time.Duration
	// maxInterval is the longest time between two events of a request.
	maxInterval map[string]time.Duration
	last        map[string]time.Duration
}

func newRecordedEngine() *recordedEngine {
	times := func() map[string]time.Duration { return make(map[string]time.Duration) }
	return &recordedEngine{Engine: New(testProfile), firstToken: times(), completed: times(), parts: times(), maxInterval: times(), last: times()}
}

// runPass runs the current pass to its end and reports whether there was one.
func (e *recordedEngine) runPass() bool {
	due, ok := e.Due()
	if !ok {
		return false
	}
	e.now = due
	for _, event := range e.Advance(due) {
		switch event := event.(type) {
		case PartPrefilled:
			e.parts[event.ID()] = due
		case Generated:
			if _, ok := e.firstToken[event.ID()]; !ok {
				e.firstToken[event.ID()] = due
			} else {
				e.maxInterval[event.ID()] = max(e.maxInterval[event.ID()], due-e.last[event.ID()])
			}
			e.last[event.ID()] = due
		case Completed:
			e.completed[event.ID()] = due
		case Preempted:
		}
	}
	return true
}

// run runs passes until the engine is idle.
func (e *recordedEngine) run() {
	for e.runPass() {
	}
}

// assertAbout asserts that a duration differs from the wanted one by at most 1%.
func assertAbout(c *qt.C, got, want time.Duration) {
	c.Helper()
	c.Assert(got >= want*99/100 && got <= want*101/100, qt.IsTrue, qt.Commentf("got %v, want about %v", got, want))
}

func TestPromptPrefilledByOneEngine(t *testing.T) {
	c := qt.New(t)
	e := newRecordedEngine()
	c.Assert(e.Submit(0, NewRequest("a", 182_000, 100)), qt.IsNil)
	e.run()
	assertAbout(c, e.firstToken["a"], testProfile.PrefillTime(182_000, 1))
}

// A pass that decodes also prefills a chunk in each of its steps. A prompt beside
// a decoding request therefore takes its prefill time and few decode passes, and
// delays the next event of the decoding request.
func TestPrefillDelaysDecodingRequests(t *testing.T) {
	c := qt.New(t)
	e := newRecordedEngine()
	c.Assert(e.Submit(0, NewRequest("decoding", 1000, 2000)), qt.IsNil)
	e.runPass()
	submitted := e.now
	c.Assert(e.Submit(e.now, NewRequest("new", 52_300, 100)), qt.IsNil)
	e.run()
	prefill := testProfile.PrefillTime(52_300, 1)
	c.Assert(e.firstToken["new"]-submitted < prefill+3*testProfile.DecodePassTime(1, 1000), qt.IsTrue)
	c.Assert(e.maxInterval["decoding"] > prefill*9/10, qt.IsTrue, qt.Commentf("%v", e.maxInterval["decoding"]))
}

func TestPromptPrefilledByTwoEngines(t *testing.T) {
	c := qt.New(t)
	main, worker := newRecordedEngine(), newRecordedEngine()
	c.Assert(main.Submit(0, NewRequest("a", 182_000, 100).WithPrefillWorkers(1, 0)), qt.IsNil)
	c.Assert(worker.PrefillPart(0, "a", 182_000, 1), qt.IsNil)
	worker.run()
	assertAbout(c, worker.parts["a"], testProfile.PrefillTime(182_000, 0.5))
	main.run()
	c.Assert(main.firstToken, qt.HasLen, 0, qt.Commentf("a token before the worker's part was prefilled"))
	main.PartCompleted(worker.parts["a"], "a")
	main.run()
	c.Assert(main.completed, qt.HasLen, 1)
}

// Parts for other engines are prefilled before the engine's own prompts.
func TestPartsArePrefilledFirst(t *testing.T) {
	c := qt.New(t)
	e := newRecordedEngine()
	c.Assert(e.Submit(0, NewRequest("own", 100_000, 10)), qt.IsNil)
	e.runPass()
	c.Assert(e.PrefillPart(e.now, "part", 100_000, 1), qt.IsNil)
	e.run()
	c.Assert(e.parts["part"] < e.firstToken["own"], qt.IsTrue)
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	e := newRecordedEngine()
	c.Assert(e.Submit(0, NewRequest("large", 405_000, 1)), qt.ErrorIs, ErrTooLarge)
	c.Assert(e.Submit(0, NewRequest("spread", 405_000, 1).WithPrefillWorkers(1, 100_000)), qt.IsNil)
	e.Cancel("spread")
	e.run()
	c.Assert(e.Reserve("other", 300_000), qt.IsNil)
	c.Assert(e.Reserve("more", 200_000), qt.ErrorIs, ErrNoMemory)
	c.Assert(e.Submit(e.now, NewRequest("waits", 200_000, 10)), qt.IsNil)
	c.Assert(e.Load().Running(), qt.Equals, 0)
	e.Release("other")
	e.PartCompleted(e.now, "") // with any id, to start a pass
	e.run()
	c.Assert(e.completed, qt.HasLen, 1)
}

func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	c := qt.New(t)
	e := newRecordedEngine()
	for i := range 16 {
		c.Assert(e.Submit(0, NewRequest(fmt.Sprint(i), 1000, 200)), qt.IsNil)
	}
	e.runPass()
	c.Assert(e.Submit(e.now, NewRequest("usual", 1000, 200).WithPriority(5)), qt.IsNil)
	c.Assert(e.Submit(e.now, NewRequest("urgent", 1000, 200).WithPriority(1)), qt.IsNil)
	e.run()
	c.Assert(e.firstToken["urgent"] <= e.firstToken["usual"], qt.IsTrue)
}

// For any sequence of calls, an engine stays within its memory and slots,
// completes each request once, and becomes idle.
func TestEngineCompletesRequestsOnce(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "1")
	rapid.Check(t, func(t *rapid.T) {
		e := New(testProfile)
		now := time.Duration(0)
		outstanding := make(map[string]bool)
		parts := make(map[string]bool)
		record := func(events []Event) {
			for _, event := range events {
				switch event := event.(type) {
				case Completed:
					if !outstanding[event.ID()] {
						t.Fatalf("%s completed twice", event.ID())
					}
					delete(outstanding, event.ID())
				case PartPrefilled:
					delete(parts, event.ID())
				case Generated, Preempted:
				}
			}
			load := e.Load()
			if load.Memory() > testProfile.Memory() && load.Running() > 1 || load.Running() > testProfile.Slots() {
				t.Fatalf("memory or slots exceeded: %+v", load)
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "calls") {
			id := fmt.Sprint(i)
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0, 1:
				r := NewRequest(id, rapid.IntRange(1, 390_000).Draw(t, "prompt"), rapid.IntRange(1, 4000).Draw(t, "answer"))
				if e.Submit(now, r) == nil {
					outstanding[id] = true
				}
			case 2:
				if e.PrefillPart(now, id, rapid.IntRange(1, 800_000).Draw(t, "prompt"), rapid.IntRange(1, 16).Draw(t, "workers")) == nil {
					parts[id] = true
				}
			case 3:
				cancelled := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "cancelled"))
				e.Cancel(cancelled)
				delete(outstanding, cancelled)
				delete(parts, cancelled)
			case 4:
				if due, ok := e.Due(); ok {
					now = due
					record(e.Advance(due))
				}
			}
		}
		for range 1_000_000 {
			due, ok := e.Due()
			if !ok {
				break
			}
			now = due
			record(e.Advance(due))
		}
		if len(outstanding) > 0 || len(parts) > 0 {
			t.Fatalf("never completed: requests %v, parts %v", outstanding, parts)
		}
	})
}
