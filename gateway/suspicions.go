package gateway

import (
	"fmt"
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
		out = append(out, suspicionMessages(now, service, c.scheduler.Suspicions(service))...)
	}
	return out
}

func suspicionMessages(now time.Time, service string, suspicions []quarantine.Suspicion) []suspicionMessage {
	var out []suspicionMessage
	for _, s := range suspicions {
		out = append(out, suspicionMessage{
			Service: service, Parts: s.Parts(), Crashes: s.Crashes(), FailedProbes: s.FailedProbes(),
			CrashAge: ageOf(now, s.LastCrash()), ClearedAge: ageOf(now, s.ClearedAt()), ProbeAge: ageOf(now, s.ProbedAt()),
		})
	}
	return out
}

func (m suspicionMessage) decode(now time.Time) quarantine.Suspicion {
	return quarantine.NewSuspicion(m.Parts, m.Crashes, timeOf(now, m.CrashAge)).
		WithCleared(timeOf(now, m.ClearedAge)).
		WithProbes(m.FailedProbes, timeOf(now, m.ProbeAge))
}

// ageOf returns the time since a time, negative if that is zero.
func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return max(0, now.Sub(at))
}

// timeOf returns the time with an age, zero if the age is negative.
func timeOf(now time.Time, age time.Duration) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

// mergeSuspicions adds what another entry suspects.
func (c *control) mergeSuspicions(now time.Time, suspicions []suspicionMessage) {
	for _, m := range suspicions {
		c.scheduler.MergeSuspicions(now, m.Service, []quarantine.Suspicion{m.decode(now)})
	}
}

// logSuspicions logs the suspicions that changed since the last call.
func (c *control) logSuspicions(now time.Time) {
	digest := c.suspicionsDigest()
	if digest == c.suspicionsLogged {
		return
	}
	c.suspicionsLogged = digest
	logged := make(map[string]bool)
	for _, service := range c.cache.services() {
		for _, s := range c.scheduler.Suspicions(service) {
			state := fmt.Sprint(service, s.Parts(), s.Crashes(), s.Active())
			logged[state] = true
			if c.loggedSuspicions[state] {
				continue
			}
			c.log.Warn("prompt parts crash servers", "service", service, "parts", s.Parts(), "crashes", s.Crashes(), "failed_probes", s.FailedProbes(),
				"quarantined", s.Active(), "released_in", s.ReleasedAt().Sub(now))
		}
	}
	c.loggedSuspicions = logged
}
