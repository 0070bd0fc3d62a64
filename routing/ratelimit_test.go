package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against LIMIT, and against a limit without end: the latest statement counts, in
// whatever order statements arrive, and its end is forgotten after a while.
func TestLatestRateLimitCounts(t *testing.T) {
	c := qt.New(t)
	server := NewIncarnation("s1", 5)
	at := func(seconds int) time.Time { return noticeStart.Add(time.Duration(seconds) * time.Second) }
	statements := []RateLimit{NewRateLimit(2, at(1)), NewRateLimit(3, at(2)), NoRateLimit(at(3))}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		for last := range statements {
			var notices Notices
			for _, i := range order {
				if i <= last {
					notices.Add(at(4), NewLimiting(server, statements[i]))
				}
			}
			view := NewView(NewRevision(0, 1), nil, nil, nil).WithNotices(&notices)
			c.Assert(view.RateLimit(server), qt.Equals, statements[last], qt.Commentf("%v up to %d", order, last))
			c.Assert(notices.CountLimited(), qt.Equals, map[bool]int{true: 1, false: 0}[last < 2])
		}
	}

	var notices Notices
	published := NewView(NewRevision(0, 1), nil, map[string]Server{"s1": NewServer("s1", "desk", "10.0.0.1:1", "a", 6).WithIncarnation(5, NewRevision(0, 1))}, nil)
	notices.Add(at(1), NewLimiting(server, statements[0]))
	notices.Expire(at(1000), published)
	c.Assert(notices.CountLimited(), qt.Equals, 1) // while it is published
	c.Assert(notices.Current(at(1000)), qt.HasLen, 1)
	notices.Add(at(1001), NewLimiting(server, NoRateLimit(at(1001))))
	c.Assert(notices.Digest(at(1001)), qt.Not(qt.Equals), uint64(0))
	notices.Expire(at(1062), published)
	_, known := notices.Of(server)
	c.Assert(known, qt.IsFalse)
	c.Assert(notices.Digest(at(1062)), qt.Equals, uint64(0))
}

// A limit of nearly nothing still lets a request through now and then.
func TestLowestRateLimit(t *testing.T) {
	c := qt.New(t)
	for _, perSecond := range []float64{0, 1e-9, minRateLimit} {
		limit := NewRateLimit(perSecond, noticeStart)
		c.Assert(limit.Limited(), qt.IsTrue)
		c.Assert(limit.PerSecond(), qt.Equals, minRateLimit)
	}
	c.Assert(RateLimit{}.Limited(), qt.IsFalse)
	c.Assert(NoRateLimit(noticeStart).Limited(), qt.IsFalse)
}
