package gateway

import (
	"maps"
	"slices"
	"time"

	"greengagedock.example/dispatch"
)

// maxPartialView is how long a new scheduler waits for the reports of entries that are heard
// but report nothing: two rounds of heartbeats and a timeout of one.
const maxPartialView = 2*heartbeatInterval + heartbeatTimeout

// reports tells which entries have told this one what they run on a service's servers since
// it became the scheduler.
type reports struct {
	since time.Time // zero while another entry schedules
	from  map[dispatch.Owner]bool
	// partial is whether this entry, as the scheduler, sees only a part of the load.
	partial bool
}

// noteReport records that an entry told what it runs on the servers of some services.
func (c *control) noteReport(now time.Time, owner dispatch.Owner, services []string) {
	for _, service := range services {
		if c.reports[service] == nil {
			c.reports[service] = &reports{}
		}
		r := c.reports[service]
		if r.from == nil {
			r.from = make(map[dispatch.Owner]bool)
		}
		r.from[owner] = true
	}
}

// seenShare returns the fraction of the load on a service's servers that this entry's
// scheduler sees. One that places the requests of all entries sees all of it once these have
// reported, and when requests of an earlier incarnation of the whole fleet are done; one that
// only stands in sees the requests of its own entry.
func (c *control) seenShare(now time.Time, service string, primary bool) float64 {
	r := c.reports[service]
	if r == nil {
		r = &reports{}
		c.reports[service] = r
	}
	if !primary {
		*r = reports{}
		return 1 / float64(c.entries.Load())
	}
	if r.since.IsZero() {
		r.since = now
	}
	if now.Sub(c.started) < startupPeriod {
		return 1 / float64(c.entries.Load())
	}
	if now.Sub(r.since) > maxPartialView {
		return 1
	}
	live, reported := 1, 1
	for _, known := range c.members.live(now, c.members.timeouts.listed()) {
		if known.State == memberStarting {
			continue
		}
		live++
		if r.from[dispatch.NewOwner(known.ID, known.Incarnation)] {
			reported++
		}
	}
	return float64(reported) / float64(live)
}

// setSeenShare tells the scheduler which fraction of a service's load it sees.
func (c *control) setSeenShare(now time.Time, service string, primary bool) {
	share := c.seenShare(now, service, primary)
	c.scheduler.SetSeenShare(now, service, share)
	r := c.reports[service]
	if partial := share < 1; primary && partial != r.partial {
		r.partial = partial
		c.log.Info("load seen by scheduler", "service", service, "partial", partial, "share", share, "unseen", c.scheduler.UnseenLoad(now, service))
	}
}

// observedLoad returns the requests on servers that this entry's scheduler did not place, by
// server, and the fraction of the load that it sees, by service.
func (c *control) observedLoad(now time.Time) (unseen map[string]int, shares map[string]float64) {
	unseen, shares = make(map[string]int), make(map[string]float64)
	for _, service := range c.cache.services() {
		maps.Copy(unseen, c.scheduler.UnseenLoad(now, service))
		shares[service] = c.seenShare(now, service, c.members.scheduler(now, service) == nil)
	}
	return unseen, shares
}

// speedFactors returns, by server, the factors by which servers are slower than expected.
func (c *control) speedFactors(now time.Time) map[string]float64 {
	out := make(map[string]float64)
	for _, service := range c.cache.services() {
		maps.Copy(out, c.scheduler.SpeedFactors(now, service))
	}
	return out
}

// speedLogInterval is how often changes of the servers' speeds are logged.
const speedLogInterval = time.Second

// logSpeeds logs servers that have become slow, and those that no longer are.
func (c *control) logSpeeds(now time.Time) {
	if now.Sub(c.speedsLogged) < speedLogInterval {
		return
	}
	c.speedsLogged = now
	factors := c.speedFactors(now)
	for _, server := range slices.Sorted(maps.Keys(factors)) {
		if !c.slowServers[server] {
			c.log.Info("server slow", "server", server, "factor", factors[server])
			c.slowServers[server] = true
		}
	}
	for _, server := range slices.Sorted(maps.Keys(c.slowServers)) {
		if _, slow := factors[server]; !slow {
			c.log.Info("server no longer slow", "server", server)
			delete(c.slowServers, server)
		}
	}
}
