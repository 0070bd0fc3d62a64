package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedock.example/quarantine"
)

// Each entry knows the ends of servers under its own requests, and the scheduler of a
// service those of all entries. What they know spreads with the responses to heartbeats,
// also of a request under which a single server ended: the next end may be seen by another
// scheduler.

// repeatsDigest returns a hash of what this entry knows of requests that may come again, 0
// if nothing.
func (c *control) repeatsDigest() uint64 {
	var out uint64
	for _, service := range c.cache.services() {
		if digest := c.scheduler.RepeatsDigest(service); digest != 0 {
			out ^= digest ^ xxhash.Sum64String(service)
		}
	}
	return out
}

// refusedRepeats returns the number of requests that are refused since they crash servers.
func (c *control) refusedRepeats() int {
	n := 0
	for _, service := range c.cache.services() {
		n += len(c.scheduler.RefusedRepeats(service))
	}
	return n
}

// encodeRepeats returns what this entry knows of requests that may come again.
func (c *control) encodeRepeats(now time.Time) []repeatMessage {
	var out []repeatMessage
	for _, service := range c.cache.services() {
		for _, r := range c.scheduler.Repeats(service) {
			m := repeatMessage{
				Service: service, Fingerprint: r.Fingerprint(), Probes: r.Probes(),
				SettledAge: ageOf(now, r.SettledAt()), AskedAge: ageOf(now, r.AskedAt()), ProbeAge: ageOf(now, r.ProbedAt()),
			}
			for _, end := range r.Ends() {
				m.Ends = append(m.Ends, repeatEndMessage{Server: end.Server(), Age: ageOf(now, end.At()), SentAge: ageOf(now, end.SentAt())})
			}
			out = append(out, m)
		}
	}
	return out
}

func (m repeatMessage) decode(now time.Time) quarantine.Repeat {
	var ends []quarantine.End
	for _, end := range m.Ends {
		ends = append(ends, quarantine.NewEnd(end.Server, timeOf(now, end.SentAge), timeOf(now, end.Age)))
	}
	return quarantine.NewRepeat(m.Fingerprint, ends...).
		WithSettled(timeOf(now, m.SettledAge)).
		WithAsked(timeOf(now, m.AskedAge)).
		WithProbes(m.Probes, timeOf(now, m.ProbeAge))
}

// mergeRepeats adds what another entry knows of requests that may come again.
func (c *control) mergeRepeats(now time.Time, repeats []repeatMessage) {
	for _, m := range repeats {
		c.scheduler.MergeRepeats(now, m.Service, []quarantine.Repeat{m.decode(now)})
	}
}

// logRepeats logs the requests that are refused since the last call, and those that no
// longer are.
func (c *control) logRepeats() {
	for _, service := range c.cache.services() {
		refused, released := c.scheduler.RepeatChanges(service)
		for _, r := range refused {
			c.log.Warn("request crashes servers", "service", service, "fingerprint", r.Fingerprint(), "servers", r.Servers())
		}
		for _, fingerprint := range released {
			c.log.Info("request no longer refused", "service", service, "fingerprint", fingerprint)
		}
	}
}
