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
	// minQuarantine is the time of a quarantine after minCrashes ends of servers. It
	// doubles with each further end.
	minQuarantine = 15 * time.Second
	// maxQuarantine bounds the doubling.
	maxQuarantine = 10 * time.Minute
	// probeTime is how long a request that is let through after a quarantine may take
	// to settle or to crash its server, before another one is let through.
	probeTime = 15 * time.Second
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
	parts     []Part
	crashes   int
	cleared   int
	lastCrash time.Time
	// probedAt is when a request was last let through.
	probedAt time.Time
	// derived is set while it follows from the evidence of this registry alone.
	derived bool
}

// NewSuspicion returns the suspicion against parts in ascending order that were seen in
// a number of crashes, the last one at a time. As many as cleared of the crashes were
// before a request with all parts settled.
func NewSuspicion(parts []Part, crashes, cleared int, lastCrash time.Time) Suspicion {
	return Suspicion{parts: parts, crashes: crashes, cleared: cleared, lastCrash: lastCrash}
}

// Parts returns the parts in ascending order.
func (s Suspicion) Parts() []Part { return s.parts }

// Crashes returns the number of crashes, the cleared ones included.
func (s Suspicion) Crashes() int { return s.crashes }

// Cleared returns the number of crashes before a request with all parts last settled.
func (s Suspicion) Cleared() int { return s.cleared }

// LastCrash returns the time of the last crash.
func (s Suspicion) LastCrash() time.Time { return s.lastCrash }

// Active reports whether requests with all parts may be refused.
func (s Suspicion) Active() bool { return s.crashes > s.cleared }

// ReleasedAt returns when the quarantine ends.
func (s Suspicion) ReleasedAt() time.Time {
	duration := minQuarantine
	for n := minCrashes; n < s.crashes-s.cleared && duration < maxQuarantine; n++ {
		duration *= 2
	}
	return s.lastCrash.Add(min(duration, maxQuarantine))
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
