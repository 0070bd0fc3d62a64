package gateway

import (
	"time"

	"greengagedock.example/routing"
)

// What backend servers state about themselves takes effect in this entry at once. The
// scheduler of the service learns it with the next event or placement call, the other
// entries with heartbeats: as news for a few rounds, and afterwards if digests differ.

// noticesExpiryInterval is the interval at which notices are checked for their expiry.
const noticesExpiryInterval = time.Second

// maxRefusal bounds the time of a refusal that another entry reports.
const maxRefusal = 15 * time.Minute

// newView returns the view of the cache with the notices of servers.
func (c *control) newView() *routing.View { return c.cache.view().WithNotices(&c.notices) }

// addNotice adds what a server stated, and reports whether it says more than was known.
func (c *control) addNotice(now time.Time, notice routing.Notice) bool {
	wasLeaving := c.notices.Leaving(notice.Server())
	if !c.notices.Add(now, notice) {
		return false
	}
	if notice.Leaving() && !wasLeaving {
		c.scheduler.SetView(now, c.View())
	}
	c.scheduler.Refuse(notice.Server(), notice.RefusesUntil())
	c.scheduler.SetRateLimit(now, notice.Server(), c.View().RateLimit(notice.Server()))
	return true
}

// mergeNotices adds what another entry reports about servers.
func (c *control) mergeNotices(now time.Time, entry string, notices []noticeMessage) {
	for _, m := range notices {
		notice := m.decode(now)
		known, _ := c.notices.Of(notice.Server())
		if !c.addNotice(now, notice) {
			continue
		}
		if notice.Leaving() && !known.Leaving() {
			c.log.Info("server leaving", "server", m.Server, "started", m.Start, "from", entry)
		}
		if now.Before(notice.RefusesUntil()) && !now.Before(known.RefusesUntil()) {
			c.log.Info("server refuses requests", "server", m.Server, "started", m.Start, "for", m.RefusesFor, "from", entry)
		}
		if limit := c.View().RateLimit(notice.Server()); limit.PerSecond() != known.RateLimit().PerSecond() {
			c.log.Info("server limits requests", "server", m.Server, "started", m.Start, "per_second", limit.PerSecond(), "from", entry)
		}
	}
}

// expireNotices drops the notices that no longer matter.
func (c *control) expireNotices(now time.Time) {
	if now.Sub(c.noticesExpired) < noticesExpiryInterval {
		return
	}
	c.noticesExpired = now
	c.notices.Expire(now, c.View())
}

func encodeNotice(now time.Time, n routing.Notice) noticeMessage {
	m := noticeMessage{
		Server: n.Server().ID(), Start: n.Server().StartUnixMilli(), Leaving: n.Leaving(), Age: now.Sub(n.StatedAt()),
		RefusesFor: max(0, n.RefusesUntil().Sub(now)), Hops: n.Hops(),
	}
	if limit := n.RateLimit(); !limit.StatedAt().IsZero() {
		m.RateLimit, m.RateLimitAge = limit.PerSecond(), now.Sub(limit.StatedAt())
		if !limit.Limited() {
			m.RateLimit = noRateLimit
		}
	}
	return m
}

func encodeNotices(now time.Time, notices []routing.Notice) []noticeMessage {
	var out []noticeMessage
	for _, n := range notices {
		out = append(out, encodeNotice(now, n))
	}
	return out
}

func (m noticeMessage) decode(now time.Time) routing.Notice {
	notice := routing.NewRefusing(routing.NewIncarnation(m.Server, m.Start), time.Time{}, now.Add(-max(0, m.Age))).WithLeaving(m.Leaving)
	if m.RefusesFor > 0 {
		notice = notice.WithRefusal(now.Add(min(m.RefusesFor, maxRefusal)), m.Hops+1)
	}
	statedAt := now.Add(-max(0, m.RateLimitAge))
	switch {
	case m.RateLimit > 0:
		notice = notice.WithRateLimit(routing.NewRateLimit(m.RateLimit, statedAt))
	case m.RateLimit < 0:
		notice = notice.WithRateLimit(routing.NoRateLimit(statedAt))
	}
	return notice
}
