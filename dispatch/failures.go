package dispatch

import (
	"maps"
	"slices"
	"time"
)

// Failures is what the outcomes of requests say about a server. Its zero value says nothing.
type Failures struct {
	// at is when the last outcome was recorded.
	at             time.Time
	suspendedUntil time.Time
	refusedUntil   time.Time
	consecutive    int
	unresponsive   bool
	rate           float64
	blamers        []string
}

// NewFailures returns the failures as of the last outcome: the number of consecutive ones,
// the entries that reported these, the moving average, and whether the server did not
// respond at the last attempt.
func NewFailures(at time.Time, consecutive int, blamers []string, rate float64, unresponsive bool) Failures {
	return Failures{at: at, consecutive: consecutive, blamers: blamers, rate: rate, unresponsive: unresponsive}
}

// WithSuspension returns the failures with the times until which the server gets no
// requests because of failures, and because it rejected one, zero for never.
func (f Failures) WithSuspension(suspendedUntil, refusedUntil time.Time) Failures {
	f.suspendedUntil, f.refusedUntil = suspendedUntil, refusedUntil
	return f
}

// At returns when the last outcome was recorded, zero if none was.
func (f Failures) At() time.Time { return f.at }

// Consecutive returns the number of consecutive failures.
func (f Failures) Consecutive() int { return f.consecutive }

// Blamers returns the entries that reported the consecutive failures, in ascending order.
func (f Failures) Blamers() []string { return f.blamers }

// Rate returns the moving average of failures.
func (f Failures) Rate() float64 { return f.rate }

// Unresponsive reports whether the server did not respond at the last attempt.
func (f Failures) Unresponsive() bool { return f.unresponsive }

// SuspendedUntil returns until when the server gets no requests because of failures.
func (f Failures) SuspendedUntil() time.Time { return f.suspendedUntil }

// RefusedUntil returns until when the server gets no requests because it rejected one.
func (f Failures) RefusedUntil() time.Time { return f.refusedUntil }

// failures returns what the outcomes of requests say about the server.
func (s *server) failures() Failures {
	return NewFailures(s.outcomeAt, s.consecutiveFailures, slices.Sorted(maps.Keys(s.blamers)), s.failureRate, s.unresponsive).
		WithSuspension(s.suspendedUntil, s.refusedUntil)
}

// mergeFailures takes over the failures that another scheduler knows if its last outcome is
// later: an outcome replaces what the ones before it said.
func (s *server) mergeFailures(other Failures) {
	if !other.at.After(s.outcomeAt) {
		return
	}
	s.outcomeAt, s.consecutiveFailures, s.failureRate, s.unresponsive = other.at, other.consecutive, other.rate, other.unresponsive
	s.suspendedUntil, s.refusedUntil = other.suspendedUntil, other.refusedUntil
	s.blamers = nil
	for _, entry := range other.blamers {
		if s.blamers == nil {
			s.blamers = make(map[string]bool)
		}
		s.blamers[entry] = true
	}
}
