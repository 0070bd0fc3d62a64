package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of a prompt that other prompts may share.
type Part uint64

const (
	// minQuarantine is the time of the first quarantine of a suspicion. It doubles with
	// each further end of a server after a quarantine.
	minQuarantine = 30 * time.Second
	// maxQuarantine bounds the doubling.
	maxQuarantine = 10 * time.Minute
	// probeTime is how long a request that is let through after a quarantine may take
	// to settle or to crash its server.
	probeTime = 15 * time.Second
	// clockSlack is how much later than another one a time must be that other entries
	// report: the messages take some time.
	clockSlack = 100 * time.Millisecond
)

// ParsePart returns the part with an id, which is usually a hexadecimal number.
func ParsePart(id string) Part {
	if number, err := strconv.ParseUint(id, 16, 64); err == nil {
		return Part(number)
	}
	return Part(xxhash.Sum64String(id))
}

// String returns the part as a hexadecimal number.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// Suspicion is a set of parts that crash the servers of requests with all of them.
type Suspicion struct {
	parts   []Part
	crashes int
	// failedProbes is the number of crashes after a quarantine.
	failedProbes int
	lastCrash    time.Time
	// clearedAt is when a request with all parts last settled, and probedAt when one
	// was last let through; zero for never.
	clearedAt time.Time
	probedAt  time.Time
	// derived is set while it follows from the evidence of this registry alone, and
	// doubted once it no longer does although no request settled.
	derived, doubted bool
}

// NewSuspicion returns the suspicion against parts in ascending order that were seen in
// a number of crashes, the last one at a time.
func NewSuspicion(parts []Part, crashes int, lastCrash time.Time) Suspicion {
	return Suspicion{parts: parts, crashes: crashes, lastCrash: lastCrash}
}

// WithCleared returns the suspicion with the time at which a request with all parts last
// settled, zero for never.
func (s Suspicion) WithCleared(at time.Time) Suspicion {
	s.clearedAt = at
	return s
}

// WithProbes returns the suspicion with the number of crashes after a quarantine, and the
// time at which a request was last let through, zero for never.
func (s Suspicion) WithProbes(failed int, last time.Time) Suspicion {
	s.failedProbes, s.probedAt = failed, last
	return s
}

// Parts returns the parts in ascending order.
func (s Suspicion) Parts() []Part { return s.parts }

// Crashes returns the number of crashes.
func (s Suspicion) Crashes() int { return s.crashes }

// FailedProbes returns the number of crashes after a quarantine.
func (s Suspicion) FailedProbes() int { return s.failedProbes }

// LastCrash returns the time of the last crash.
func (s Suspicion) LastCrash() time.Time { return s.lastCrash }

// ClearedAt returns when a request with all parts last settled, zero for never.
func (s Suspicion) ClearedAt() time.Time { return s.clearedAt }

// ProbedAt returns when a request was last let through after a quarantine, zero for never.
func (s Suspicion) ProbedAt() time.Time { return s.probedAt }

// Active reports whether requests with all parts are refused, or let through one at a time.
func (s Suspicion) Active() bool { return s.lastCrash.After(s.clearedAt) }

// ReleasedAt returns when the quarantine ends.
func (s Suspicion) ReleasedAt() time.Time { return s.lastCrash.Add(backoff(s.failedProbes)) }

// backoff returns the time of a quarantine after a number of failed probes.
func backoff(failed int) time.Duration {
	duration := minQuarantine
	for range failed {
		if duration >= maxQuarantine {
			break
		}
		duration *= 2
	}
	return min(duration, maxQuarantine)
}

// within reports whether the ascending parts are all among those of a prompt.
func within(parts, prompt []Part) bool {
	for _, part := range parts {
		if !slices.Contains(prompt, part) {
			return false
		}
	}
	return true
}

// without returns the parts that are not among those of a prompt.
func without(parts, prompt []Part) []Part {
	var out []Part
	for _, part := range parts {
		if !slices.Contains(prompt, part) {
			out = append(out, part)
		}
	}
	return out
}
