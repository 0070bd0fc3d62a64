package quarantine

import "time"

// Evidence is what a Registry has learned, for another one that goes on in its place. Its
// zero value is empty.
type Evidence struct {
	suspicions []Suspicion
}

// NewEvidence returns evidence with the suspicions that follow from it.
func NewEvidence(suspicions ...Suspicion) Evidence { return Evidence{suspicions: suspicions} }

// Suspicions returns the suspicions that follow from the evidence.
func (e Evidence) Suspicions() []Suspicion { return e.suspicions }

// IsEmpty reports whether there is no evidence.
func (e Evidence) IsEmpty() bool { return len(e.suspicions) == 0 }

// Evidence returns what the registry has learned.
func (r *Registry) Evidence(now time.Time) Evidence {
	return NewEvidence(r.Suspicions()...)
}

// MergeEvidence adds what another registry has learned.
func (r *Registry) MergeEvidence(now time.Time, evidence Evidence) {
	r.Merge(now, evidence.suspicions)
}
