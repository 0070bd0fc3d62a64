package routing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var noticeStart = time.Unix(1000, 0)

// Guards against DRAIN, and against a sound server that is not used: a notice holds for
// the incarnation that gave it, whatever the address, until it is gone.
func TestLeavingHoldsForOneIncarnation(t *testing.T) {
	c := qt.New(t)
	var notices Notices
	view := func(start int64) *View {
		server := NewServer("s1", "desk", "10.0.0.1:1", "a", 6).WithIncarnation(start, NewRevision(0, 1))
		return NewView(NewRevision(0, 1), nil, map[string]Server{"s1": server}, nil).WithNotices(&notices)
	}
	before := view(5)
	c.Assert(before.Usable("s1"), qt.IsTrue)
	c.Assert(notices.Add(noticeStart, NewLeaving(NewIncarnation("s1", 5), noticeStart)), qt.IsTrue)
	c.Assert(notices.Add(noticeStart, NewLeaving(NewIncarnation("s1", 5), noticeStart)), qt.IsFalse)
	c.Assert(before.Usable("s1"), qt.IsFalse) // views that exist already know it
	c.Assert(view(6).Usable("s1"), qt.IsTrue)

	// It is kept while the server is published, and a while after.
	now := noticeStart.Add(time.Hour)
	notices.Expire(now, view(5))
	c.Assert(view(5).Usable("s1"), qt.IsFalse)
	notices.Expire(now.Add(noticeRetention), view(6))
	c.Assert(view(5).Usable("s1"), qt.IsFalse)
	notices.Expire(now.Add(noticeRetention+time.Second), view(6))
	c.Assert(view(5).Usable("s1"), qt.IsTrue)
	c.Assert(countLeaving(&notices), qt.Equals, 0)
}

// Guards against memory and messages without bound: many servers, and entries that tell
// each other of servers that are gone.
func TestNoticesAreBounded(t *testing.T) {
	c := qt.New(t)
	var notices Notices
	for i := range maxNotices + 100 {
		now := noticeStart.Add(time.Duration(i) * time.Millisecond)
		notices.Add(now, NewLeaving(NewIncarnation(fmt.Sprint("s", i), 1), now))
	}
	c.Assert(countLeaving(&notices), qt.Equals, maxNotices)
	now := noticeStart.Add((maxNotices + 100) * time.Millisecond)
	c.Assert(notices.Leaving(NewIncarnation("s0", 1)), qt.IsFalse)
	c.Assert(notices.News(now), qt.HasLen, maxNoticesToSend)
	c.Assert(notices.Current(now), qt.HasLen, maxNoticesToSend)
	c.Assert(notices.Current(now)[0].Server().ID(), qt.Equals, fmt.Sprint("s", maxNotices+99))

	entries := []*Notices{{}, {}}
	for i := range entries {
		entries[i].Add(noticeStart, NewLeaving(NewIncarnation("s1", 1), noticeStart))
	}
	empty := NewView(NewRevision(0, 1), nil, nil, nil)
	for step := range 400 {
		now := noticeStart.Add(time.Duration(step) * 400 * time.Millisecond)
		from, to := entries[step%2], entries[(step+1)%2]
		for _, n := range from.Current(now) {
			to.Add(now, NewLeaving(n.Server(), now.Add(-now.Sub(n.StatedAt())+50*time.Millisecond))) // the message takes a while
		}
		from.Expire(now, empty)
	}
	c.Assert(countLeaving(entries[0])+countLeaving(entries[1]), qt.Equals, 0)
	c.Assert(entries[0].Digest(noticeStart), qt.Equals, uint64(0))
}

func countLeaving(notices *Notices) int {
	leaving, _ := notices.Count(noticeStart)
	return leaving
}

// Guards against a refusal without end: entries that pass it on to each other don't make
// it longer, whatever their messages take.
func TestPassedOnRefusalEnds(t *testing.T) {
	c := qt.New(t)
	const transit = 300 * time.Millisecond
	entries := []*Notices{{}, {}, {}}
	server := NewIncarnation("s1", 1)
	now := noticeStart
	entries[0].Add(now, NewRefusing(server, now.Add(2*time.Second), now))
	for step := range 60 {
		from, to := entries[step%3], entries[(step+1+step/3%2)%3]
		for _, n := range append(from.News(now), from.Current(now)...) {
			to.Add(now, NewRefusing(server, n.RefusesUntil().Add(transit), now).WithRefusal(n.RefusesUntil().Add(transit), n.Hops()+1))
		}
		now = now.Add(100 * time.Millisecond)
	}
	for _, entry := range entries {
		notice, _ := entry.Of(server)
		c.Assert(notice.RefusesUntil().Sub(noticeStart) <= 2*time.Second+2*transit, qt.IsTrue)
		entry.Expire(now, NewView(NewRevision(0, 1), nil, nil, nil))
		_, refusing := entry.Count(now)
		c.Assert(refusing, qt.Equals, 0)
		c.Assert(entry.byServer, qt.HasLen, 0)
	}
}
