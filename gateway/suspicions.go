package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedock.example/quarantine"
)

// The scheduler of a service learns which parts of prompts crash servers. Its suspicions
// spread with the responses to heartbeats, so that another entry that takes over knows
// them.

// suspicionsDigest returns a hash of what this entry suspects, 0 if nothing.
func (c *control) suspicionsDigest() uint64 {
	var out uint64
	for _, service := range c.cache.services() {
		if digest := c.scheduler.SuspicionsDigest(service); digest != 0 {
			out ^= digest ^ xxhash.Sum64String(service)
		}
	}
	return out
}

// quarantined returns the number of active suspicions.
func (c *control) quarantined() int {
	n := 0
	for _, service := range c.cache.services() {
		for _, s := range c.scheduler.Suspicions(service) {
			if s.Active() {
				n++
			}
		}
	}
	return n
}

// encodeSuspicions returns what this entry suspects.
func (c *control) encodeSuspicions(now time.Time) []suspicionMessage {
	var out []suspicionMessage
	for _, service := range c.cache.services() {
		for _, s := range c.scheduler.Suspicions(service) {
			out = append(out, suspicionMessage{Service: service, Parts: s.Parts(), Crashes: s.Crashes(), Cleared: s.Cleared(), Age: now.Sub(s.LastCrash())})
		}
	}
	return out
}

// mergeSuspicions adds what another entry suspects.
func (c *control) mergeSuspicions(now time.Time, suspicions []suspicionMessage) {
	for _, m := range suspicions {
		suspicion := quarantine.NewSuspicion(m.Parts, m.Crashes, m.Cleared, now.Add(-m.Age))
		c.scheduler.MergeSuspicions(now, m.Service, []quarantine.Suspicion{suspicion})
	}
}

// logSuspicions logs the suspicions that changed since the last call.
func (c *control) logSuspicions(now time.Time) {
	digest := c.suspicionsDigest()
	if digest == c.loggedDigest {
		return
	}
	c.loggedDigest = digest
	for _, service := range c.cache.services() {
		for _, s := range c.scheduler.Suspicions(service) {
			c.log.Warn("prompt parts crash servers", "service", service, "parts", s.Parts(), "crashes", s.Crashes(), "cleared", s.Cleared(),
				"quarantined", s.Active(), "released_in", s.ReleasedAt().Sub(now))
		}
	}
}
