package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
)

// leaver is the incarnation of a server that leaves.
var leaver = routing.NewIncarnation("s3", 0)

// newNoticeEntry returns an entry with servers, whose control loop does not run.
func newNoticeEntry(number int, now time.Time) *control {
	c := newSuspicionEntry(number, now)
	servers := make(map[string]routing.Server)
	for i := range 12 {
		id := fmt.Sprint("s", i)
		servers[id] = routing.NewServer(id, "llm", id+":1", "a", 16)
	}
	c.view.Store(routing.NewView(routing.NewRevision(0, 1), c.cache.table, servers, nil).WithNotices(&c.notices))
	return c
}

// used reports whether an entry's scheduler grants a server to a request that has failed
// at all others.
func used(c *control, now time.Time, server string) bool {
	var others []string
	for id := range c.View().Servers() {
		if id != server {
			others = append(others, id)
		}
	}
	request := dispatch.NewRequest("used", "llm").WithTokens(1000, 100).WithExclude(others...).
		WithTimes(now, now.Add(300*time.Millisecond), now.Add(10*time.Second)).WithFirstTokenDeadline(now.Add(2 * time.Second))
	granted, ok := c.scheduler.Submit(now, c.owner, request).(dispatch.Granted)
	c.scheduler.Ended(now, "used", dispatch.OutcomeCancelled)
	return ok && granted.Grant().Server() == server
}

// Guards against DRAIN: other entries know of a leaving server after one heartbeat to or
// from an entry that does, also long after the news.
func TestLeavingServerIsKnownAfterOneHeartbeat(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	first, second, third := newNoticeEntry(1, now), newNoticeEntry(2, now), newNoticeEntry(3, now)
	c.Assert(used(first, now, "s3"), qt.IsTrue)
	first.addNotice(now, routing.NewLeaving(leaver, now))
	c.Assert(used(first, now, "s3"), qt.IsFalse)
	c.Assert(first.View().Usable("s3"), qt.IsFalse)

	exchange(now, first, second)
	c.Assert(second.View().Usable("s3"), qt.IsFalse)
	c.Assert(used(second, now, "s3"), qt.IsFalse)
	now = now.Add(20 * time.Second)
	second.expireNotices(now)
	exchange(now, third, second)
	c.Assert(third.View().Usable("s3"), qt.IsFalse)
	c.Assert(used(third, now, "s3"), qt.IsFalse)
	c.Assert(third.View().Usable("s4"), qt.IsTrue)

	// Nothing more is sent between entries that know the same.
	now = now.Add(4 * time.Second)
	heartbeat := third.newHeartbeat(now, heartbeatTarget{address: second.members.self.PeerAddress})
	c.Assert(heartbeat.Notices, qt.HasLen, 0)
	c.Assert(second.answerHeartbeat(now, heartbeat).Notices, qt.HasLen, 0)
}

// Guards against DRAIN: the scheduler learns of a leaving server before it decides on the
// next placement call.
func TestLeavingServerIsKnownWithNextCall(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	sender := newNoticeEntry(1, now)
	message := []noticeMessage{encodeNotice(now, routing.NewLeaving(leaver, now))}
	for name, send := range map[string]func(scheduler *control){
		"events": func(scheduler *control) {
			_, err := scheduler.handleEvents(eventsMessage{Entry: "e1", Notices: message})
			c.Assert(err, qt.IsNil)
		},
		"placement": func(scheduler *control) {
			call := encodeRequest(sender.owner, sender.crashingRequest(time.Now(), "r"), time.Now())
			call.Notices = message
			_, err := scheduler.handlePlacement(call)
			c.Assert(err, qt.IsNil)
		},
	} {
		scheduler := newNoticeEntry(2, now)
		stop := make(chan struct{})
		go scheduler.run(stop)
		send(scheduler)
		close(stop)
		<-scheduler.done
		c.Assert(scheduler.View().Usable("s3"), qt.IsFalse, qt.Commentf(name))
		c.Assert(used(scheduler, time.Now(), "s3"), qt.IsFalse, qt.Commentf(name))
	}
}

// Guards against DRAIN: a scheduler that grants a server that leaves is told of it, in
// the call for the next placement at the latest.
func TestSchedulerThatGrantsLeavingServerIsTold(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	entry, scheduler := newNoticeEntry(1, now), newNoticeEntry(2, now)
	entry.members.observe(now, scheduler.members.self)
	entry.members.byID["e2"].State, entry.members.byID["e2"].CPUCores = memberReady, 1
	entry.notices.Add(now, routing.NewLeaving(leaver, now))
	over := routing.NewIncarnation("s4", 0)
	entry.notices.Add(now, routing.NewRefusing(over, now, now.Add(-time.Second)))
	stop := make(chan struct{})
	defer close(stop)
	go entry.run(stop)
	client := &schedulerClient{control: entry}
	client.repeatNotices("llm", dispatch.NewGrant("r", "s4", "s4:1", nil, 0))
	c.Assert(entry.pending(scheduler), qt.HasLen, 0)
	client.repeatNotices("llm", dispatch.NewGrant("r", "s4", "s4:1", []dispatch.PrefillWorker{dispatch.NewPrefillWorker("s3", "s3:1", 0)}, 0))
	c.Assert(entry.pending(scheduler), qt.HasLen, 1)
}

// pending returns the notices that are to be sent to a scheduler.
func (c *control) pending(scheduler *control) (out []noticeMessage) {
	c.do(func(time.Time) {
		if events := c.pendingEvents[scheduler.members.self.PeerAddress]; events != nil {
			out = events.Notices
		}
	})
	return out
}

// Entries of the version without notices understand the messages with them, and the
// other way round.
func TestNoticesAreCompatibleWithOlderEntries(t *testing.T) {
	c := qt.New(t)
	type olderEvents struct {
		Entry     string
		Withdrawn []string
	}
	body, err := msgpack.Marshal(eventsMessage{Entry: "e1", Withdrawn: []string{"r"}, Notices: []noticeMessage{{Server: "s3", Leaving: true}}})
	c.Assert(err, qt.IsNil)
	var older olderEvents
	c.Assert(msgpack.Unmarshal(body, &older), qt.IsNil)
	c.Assert(older, qt.DeepEquals, olderEvents{Entry: "e1", Withdrawn: []string{"r"}})
	body, err = msgpack.Marshal(older)
	c.Assert(err, qt.IsNil)
	var events eventsMessage
	c.Assert(msgpack.Unmarshal(body, &events), qt.IsNil)
	c.Assert(events, qt.DeepEquals, eventsMessage{Entry: "e1", Withdrawn: []string{"r"}})

	type olderHeartbeat struct {
		Revision         int64
		SuspicionsDigest uint64
	}
	body, err = msgpack.Marshal(heartbeatMessage{Revision: 4, NoticesDigest: 5, Notices: []noticeMessage{{Server: "s3"}}})
	c.Assert(err, qt.IsNil)
	var olderBeat olderHeartbeat
	c.Assert(msgpack.Unmarshal(body, &olderBeat), qt.IsNil)
	c.Assert(olderBeat, qt.DeepEquals, olderHeartbeat{Revision: 4})
}

// Guards against BUDGET: the scheduler that hears of a refusal tells all entries, which
// don't pass it on; none of them uses the server before its time, and all do after it.
func TestRefusalReachesOtherEntries(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	first, scheduler, third, fourth := newNoticeEntry(1, now), newNoticeEntry(2, now), newNoticeEntry(3, now), newNoticeEntry(4, now)
	first.addNotice(now, routing.NewRefusing(leaver, now.Add(5*time.Second), now))
	c.Assert(used(first, now, "s3"), qt.IsFalse)
	scheduler.mergeNotices(now, "e1", encodeNotices(now, first.notices.News(now)))
	c.Assert(used(scheduler, now, "s3"), qt.IsFalse)
	now = now.Add(500 * time.Millisecond)
	c.Assert(used(third, now, "s3"), qt.IsTrue)
	exchange(now, third, scheduler)
	c.Assert(third.View().Accepts("s3", now), qt.IsFalse)
	c.Assert(used(third, now, "s3"), qt.IsFalse)
	c.Assert(third.View().Accepts("s4", now), qt.IsTrue)
	exchange(now, fourth, third)
	c.Assert(fourth.View().Accepts("s3", now), qt.IsTrue)

	// It is sent for some rounds only.
	now = now.Add(time.Second)
	for _, entry := range []*control{first, scheduler, third} {
		heartbeat := entry.newHeartbeat(now, heartbeatTarget{address: fourth.members.self.PeerAddress})
		c.Assert(heartbeat.Notices, qt.HasLen, 0)
		c.Assert(fourth.answerHeartbeat(now, heartbeat).Notices, qt.HasLen, 0)
	}
	now = now.Add(4700 * time.Millisecond)
	for _, entry := range []*control{first, scheduler, third} {
		c.Assert(entry.View().Accepts("s3", now), qt.IsTrue)
		c.Assert(used(entry, now, "s3"), qt.IsTrue)
		entry.expireNotices(now)
		c.Assert(entry.notices.Digest(now), qt.Equals, uint64(0))
	}
	long := noticeMessage{Server: "s5", RefusesFor: 1000 * time.Hour}
	c.Assert(long.decode(now).RefusesUntil().Sub(now), qt.Equals, maxRefusal)
}

// limited is the incarnation of a server that states a rate limit.
var limited = routing.NewIncarnation("s3", 0)

// Guards against LIMIT: other entries and schedulers know a rate limit, its change and its
// end after one heartbeat to or from an entry that does, also long after the news, and in
// whatever order they hear of them.
func TestRateLimitIsKnownAfterOneHeartbeat(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	first, second, third := newNoticeEntry(1, now), newNoticeEntry(2, now), newNoticeEntry(3, now)
	perSecond := func(entry *control) float64 { return entry.View().RateLimit(limited).PerSecond() }
	first.addNotice(now, routing.NewLimiting(limited, routing.NewRateLimit(2, now)))
	c.Assert(used(first, now, "s3"), qt.IsFalse) // until a request has drained
	exchange(now, first, second)
	c.Assert(perSecond(second), qt.Equals, 2.0)
	c.Assert(used(second, now, "s3"), qt.IsFalse)
	now = now.Add(20 * time.Second)
	for _, entry := range []*control{first, second} {
		entry.expireNotices(now)
	}
	exchange(now, third, second)
	c.Assert(perSecond(third), qt.Equals, 2.0)
	c.Assert(used(third, now, "s3"), qt.IsFalse)

	// Nothing more is sent between entries that know the same.
	now = now.Add(4 * time.Second)
	heartbeat := third.newHeartbeat(now, heartbeatTarget{address: second.members.self.PeerAddress})
	c.Assert(heartbeat.Notices, qt.HasLen, 0)
	c.Assert(second.answerHeartbeat(now, heartbeat).Notices, qt.HasLen, 0)

	// The end of the limit reaches those that missed the news, and is not undone by those
	// that have not heard of it.
	third.addNotice(now, routing.NewLimiting(limited, routing.NoRateLimit(now)))
	now = now.Add(5 * time.Second)
	exchange(now, first, third)
	c.Assert(perSecond(first), qt.Equals, 0.0)
	c.Assert(perSecond(third), qt.Equals, 0.0)
	exchange(now, second, first)
	c.Assert(perSecond(second), qt.Equals, 0.0)
	c.Assert(used(second, now, "s3"), qt.IsTrue)

	// A limit that is stated again counts again.
	now = now.Add(time.Second)
	second.addNotice(now, routing.NewLimiting(limited, routing.NewRateLimit(3, now)))
	exchange(now, first, second)
	c.Assert(perSecond(first), qt.Equals, 3.0)
}

// Guards against a limit without end: an entry that was cut off while it ended holds it
// until an answer without one is told it.
func TestStaleRateLimitEndsWithAnAnswer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	cutOff, other := newNoticeEntry(1, now), newNoticeEntry(2, now)
	cutOff.addNotice(now, routing.NewLimiting(limited, routing.NewRateLimit(2, now)))
	for range 200 {
		now = now.Add(time.Second)
		cutOff.expireNotices(now)
		other.expireNotices(now)
	}
	exchange(now, other, cutOff)
	c.Assert(other.View().RateLimit(limited).Limited(), qt.IsTrue)
	c.Assert(other.View().RateLimit(limited).StatedAt(), qt.Equals, time.Unix(1000, 0))
	other.addNotice(now, routing.NewLimiting(limited, routing.NoRateLimit(now)))
	exchange(now, other, cutOff)
	c.Assert(cutOff.View().RateLimit(limited).Limited(), qt.IsFalse)
}

// Entries of the version without rate limits understand notices with them, and the other
// way round.
func TestRateLimitsAreCompatibleWithOlderEntries(t *testing.T) {
	c := qt.New(t)
	type olderNotice struct {
		Server     string
		Start      int64
		Leaving    bool
		Age        time.Duration
		RefusesFor time.Duration
		Hops       int
	}
	for _, m := range []noticeMessage{{Server: "s3", Start: 4, Leaving: true}, {Server: "s3", Start: 4, Leaving: true, RateLimit: 2, RateLimitAge: time.Second}} {
		var older olderNotice
		c.Assert(msgpack.Unmarshal(encode(c, m), &older), qt.IsNil)
		c.Assert(older, qt.DeepEquals, olderNotice{Server: "s3", Start: 4, Leaving: true})
		var same noticeMessage
		c.Assert(msgpack.Unmarshal(encode(c, m), &same), qt.IsNil)
		c.Assert(same, qt.DeepEquals, m)
	}
	var newer noticeMessage
	c.Assert(msgpack.Unmarshal(encode(c, olderNotice{Server: "s3", RefusesFor: time.Second, Hops: 1}), &newer), qt.IsNil)
	c.Assert(newer, qt.DeepEquals, noticeMessage{Server: "s3", RefusesFor: time.Second, Hops: 1})
}

// Guards against LIMIT in large fleets: beside the scheduler only the entry next in line
// uses the rate limits, however many others schedule on their own.
func TestFewEntriesShareRateLimits(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	for _, n := range []int{1, 2, 8, 60} {
		var entries []*control
		for i := range n {
			entry := newNoticeEntry(i+1, now)
			entry.setState(memberReady)
			entry.members.self.CPUCores = []float64{1, 0.2, 0.2}[i%3] // most are too small to schedule
			entries = append(entries, entry)
		}
		total, primaries := 0.0, 0
		for _, entry := range entries {
			for _, other := range entries {
				entry.members.observe(now, other.members.self)
			}
			if entry.members.scheduler(now, "llm") == nil {
				primaries++
				continue
			}
			total += entry.members.rateLimitShare(now, "llm")
		}
		c.Assert(primaries, qt.Equals, 1)
		c.Assert(total, qt.Equals, map[bool]float64{true: 0, false: 0.5}[n <= 3], qt.Commentf("%d", n))
	}
}
