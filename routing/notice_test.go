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
		server := NewServer("s1", "desk", "10.0.0.1:1", "a", 6).WithIncarnation(start, 1)
		return NewView(1, nil, map[string]Server{"s1": server}, nil).WithNotices(&notices)
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
	c.Assert(notices.CountLeaving(), qt.Equals, 0)
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
	c.Assert(notices.CountLeaving(), qt.Equals, maxNotices)
	now := noticeStart.Add((maxNotices + 100) * time.Millisecond)
	c.Assert(notices.Leaving(NewIncarnation("s0", 1)), qt.IsFalse)
	c.Assert(notices.News(now), qt.HasLen, maxNoticesToSend)
	c.Assert(notices.Current(now), qt.HasLen, maxNoticesToSend)
	c.Assert(notices.Current(now)[0].Server().ID(), qt.Equals, fmt.Sprint("s", maxNotices+99))

	entries := []*Notices{{}, {}}
	for i := range entries {
		entries[i].Add(noticeStart, NewLeaving(NewIncarnation("s1", 1), noticeStart))
	}
	empty := NewView(1, nil, nil, nil)
	for step := range 400 {
		now := noticeStart.Add(time.Duration(step) * 400 * time.Millisecond)
		from, to := entries[step%2], entries[(step+1)%2]
		for _, n := range from.Current(now) {
			to.Add(now, NewLeaving(n.Server(), now.Add(-now.Sub(n.StatedAt())+50*time.Millisecond))) // the message takes a while
		}
		from.Expire(now, empty)
	}
	c.Assert(entries[0].CountLeaving()+entries[1].CountLeaving(), qt.Equals, 0)
	c.Assert(entries[0].Digest(noticeStart), qt.Equals, uint64(0))
}
