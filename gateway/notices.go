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

// newView returns the view of the cache with the notices of servers.
func (c *control) newView() *routing.View { return c.cache.view().WithNotices(&c.notices) }

// addNotice adds what a server stated.
func (c *control) addNotice(now time.Time, notice routing.Notice) {
	if c.notices.Add(now, notice) {
		c.scheduler.SetView(now, c.View())
	}
}

// mergeNotices adds what another entry reports about servers.
func (c *control) mergeNotices(now time.Time, entry string, notices []noticeMessage) {
	changed := false
	for _, m := range notices {
		if !m.Leaving || !c.notices.Add(now, m.decode(now)) {
			continue
		}
		c.log.Info("server leaving", "server", m.Server, "started", m.Start, "from", entry)
		changed = true
	}
	if changed {
		c.scheduler.SetView(now, c.View())
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
	return noticeMessage{Server: n.Server().ID(), Start: n.Server().StartUnixMilli(), Leaving: n.Leaving(), Age: now.Sub(n.StatedAt())}
}

func encodeNotices(now time.Time, notices []routing.Notice) []noticeMessage {
	var out []noticeMessage
	for _, n := range notices {
		out = append(out, encodeNotice(now, n))
	}
	return out
}

func (m noticeMessage) decode(now time.Time) routing.Notice {
	return routing.NewLeaving(routing.NewIncarnation(m.Server, m.Start), now.Add(-max(0, m.Age)))
}
