package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
)

// meet makes entries know each other as ready and long since started.
func meet(now time.Time, entries ...*control) {
	for _, e := range entries {
		e.members.self.State = memberReady
		e.members.self.Heartbeats = settledRounds
		e.started = now.Add(-time.Minute)
	}
	for _, e := range entries {
		for _, other := range entries {
			e.members.observe(now, other.members.self)
		}
	}
	for _, e := range entries {
		for _, other := range entries {
			if other != e {
				exchange(now, e, other)
			}
		}
	}
	for _, e := range entries {
		e.updateSchedulerShares(now)
	}
}

// schedulerAmong returns the index of the entry that schedules.
func schedulerAmong(now time.Time, entries []*control) int {
	for i, e := range entries {
		if e.members.scheduler(now, "llm") == nil {
			return i
		}
	}
	return -1
}

// runAt has a scheduler place a prompt of another entry, which records it.
func runAt(now time.Time, scheduler, owner *control, id string) bool {
	request := owner.crashingRequest(now, id).WithParts()
	granted, ok := scheduler.scheduler.Submit(now, owner.owner, request).(dispatch.Granted)
	if ok && owner != scheduler {
		owner.scheduler.Adopt(now, owner.owner, dispatch.NewRunningRequest(request, granted.Grant().Server(), nil))
	}
	return ok
}

// askAll delivers what an entry that takes over asks the others, and their responses.
func askAll(now time.Time, from *control, others []*control) {
	for _, other := range others {
		reply := other.answerHeartbeat(now, from.takeoverHeartbeat(now, "llm"))
		from.applyTakeover(now, other.members.self.ID, "llm", &reply)
	}
}

// Pattern: the scheduler is killed under load. Its successor knows what runs before it places
// its first prompt; with an empty view it would gather prompts on servers that are full.
func TestSuccessorKnowsWhatRunsBeforeItPlaces(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entries := []*control{newSuspicionEntry(1, now), newSuspicionEntry(2, now), newSuspicionEntry(3, now), newSuspicionEntry(4, now)}
	meet(now, entries...)
	first := schedulerAmong(now, entries)
	placed := 0
	for i := range 120 {
		owner := entries[i%len(entries)]
		if owner != entries[first] && runAt(now, entries[first], owner, fmt.Sprint("r", i)) {
			placed++
		}
		now = now.Add(10 * time.Millisecond)
	}
	c.Assert(placed >= 60, qt.IsTrue, qt.Commentf("%d placed", placed))

	rest := append(append([]*control(nil), entries[:first]...), entries[first+1:]...)
	for _, e := range rest {
		for _, other := range rest {
			e.members.observe(now, other.members.self)
		}
		delete(e.members.byID, entries[first].members.self.ID)
	}
	successor := rest[schedulerAmong(now, rest)]
	others := make([]*control, 0, len(rest))
	for _, e := range rest {
		if e != successor {
			others = append(others, e)
		}
	}
	successor.updateSchedulerShares(now)
	decision := successor.scheduler.Submit(now, successor.owner, successor.crashingRequest(now, "next").WithParts())
	c.Assert(decision, qt.Equals, dispatch.Decision(dispatch.Queued{}))
	waiter := make(chan dispatch.Decision, 1)
	successor.waiters["next"] = waiter
	askAll(now, successor, others)
	_, granted := (<-waiter).(dispatch.Granted)
	c.Assert(granted, qt.IsTrue)
	known := 0
	for _, e := range rest {
		known += len(successor.scheduler.Running(e.owner))
	}
	c.Assert(known, qt.Equals, placed+1)
}

// An entry that has vanished does not answer: prompts are placed after takeoverWait.
func TestTakeoverEndsWithoutAnswers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	first, second := newSuspicionEntry(1, now), newSuspicionEntry(2, now)
	meet(now, first, second)
	first.takeOver(now, "llm")
	request := first.crashingRequest(now, "r").WithParts()
	c.Assert(first.scheduler.Submit(now, first.owner, request), qt.Equals, dispatch.Decision(dispatch.Queued{}))
	c.Assert(first.scheduler.Tick(now.Add(takeoverWait-time.Millisecond)), qt.HasLen, 0)
	c.Assert(first.scheduler.Tick(now.Add(takeoverWait)), qt.HasLen, 1)
}

// An entry that is asked for placements beside a scheduler that others follow asks again what
// runs, but does not have prompts wait each time.
func TestEntryBesideTheSchedulerAsksAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entries := []*control{newSuspicionEntry(1, now), newSuspicionEntry(2, now), newSuspicionEntry(3, now)}
	meet(now, entries...)
	beside := entries[(schedulerAmong(now, entries)+1)%len(entries)]
	asked := 0
	beside.askRunning = func(string, string, string) { asked++ }
	beside.standInFor(now, "llm")
	beside.standInFor(now.Add(takeoverRefresh/2), "llm")
	c.Assert(asked, qt.Equals, 2)
	now = now.Add(takeoverRefresh)
	beside.standInFor(now, "llm")
	c.Assert(asked, qt.Equals, 4)
	request := beside.crashingRequest(now, "r").WithParts()
	_, granted := beside.scheduler.Submit(now, beside.owner, request).(dispatch.Granted)
	c.Assert(granted, qt.IsTrue)
}

// Guards against a wait at a planned stop: an entry that ceases to schedule still gets
// prompts of entries that have not noticed, and knows what runs.
func TestEntryThatCeasesToScheduleDoesNotAsk(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entries := []*control{newSuspicionEntry(1, now), newSuspicionEntry(2, now), newSuspicionEntry(3, now)}
	meet(now, entries...)
	leaving := entries[schedulerAmong(now, entries)]
	asked := 0
	leaving.askRunning = func(string, string, string) { asked++ }
	now = now.Add(10 * time.Millisecond)
	leaving.members.self.State = memberLeaving
	leaving.updateSchedulerShares(now)
	leaving.standInFor(now.Add(takeoverRefresh/2), "llm")
	c.Assert(asked, qt.Equals, 0)
	request := leaving.crashingRequest(now, "r").WithParts()
	_, granted := leaving.scheduler.Submit(now, leaving.owner, request).(dispatch.Granted)
	c.Assert(granted, qt.IsTrue)
}

// A prompt for a service that this entry does not know yet must not cause calls to all others.
func TestUnknownServiceIsNotTakenOver(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entries := []*control{newSuspicionEntry(1, now), newSuspicionEntry(2, now)}
	meet(now, entries...)
	entries[0].standInFor(now, "unknown")
	c.Assert(entries[0].takeovers["unknown"], qt.IsNil)
}
