package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
)

// Guards against a successor that takes what it knows for everything: it sees all of the load
// once the live entries have reported, or have had the time for it, and again a part after
// another entry has scheduled.
func TestSuccessorSeesLoadOfEntriesThatReported(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	scheduler, second, third := newNoticeEntry(1, now), newNoticeEntry(2, now), newNoticeEntry(3, now)
	scheduler.started = now.Add(-time.Minute)
	for _, entry := range []*control{second, third} {
		entry.members.self.State = memberReady
		scheduler.members.observe(now, entry.members.self)
	}
	share := func(primary bool) float64 { return scheduler.seenShare(now, "llm", primary) }
	c.Assert(share(true) < 0.5, qt.IsTrue)
	for _, entry := range []*control{second, third} {
		scheduler.answerHeartbeat(now, heartbeatMessage{From: entry.members.self, Schedules: []string{"llm"}})
	}
	c.Assert(share(true), qt.Equals, 1.0)
	c.Assert(share(false) < 0.5, qt.IsTrue)
	c.Assert(share(true) < 0.5, qt.IsTrue)
	now = now.Add(2 * maxPartialView)
	c.Assert(share(true), qt.Equals, 1.0)
}

// Guards against loads that are lost or mixed up on the way to the scheduler: the last load of
// each server is sent, once.
func TestEventsCarryLoads(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	events := &eventsMessage{Entry: "e1"}
	for running := range 3 {
		events.addLoad(encodeLoad(now, "llm", dispatch.NewObservedLoad("s1", running, 4, now.Add(-30*time.Millisecond))))
	}
	events.addLoad(encodeLoad(now, "llm", dispatch.NewObservedLoad("s2", 9, 0, now)))
	c.Assert(events.Loads, qt.HasLen, 2)
	c.Assert(events.Loads[0].decode(now), qt.Equals, dispatch.NewObservedLoad("s1", 2, 4, now.Add(-30*time.Millisecond)))
}
