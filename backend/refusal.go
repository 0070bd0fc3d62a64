package backend

import (
	"fmt"
	"time"
)

// Reason is why a slot request was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonNoServer means that no listed server carries the workload.
	ReasonNoServer Reason = "no_server"
	// ReasonTooLarge means that the request needs more memory than any server
	// has.
	ReasonTooLarge Reason = "too_large"
	// ReasonBusy means that the request would miss its deadline, or that too
	// many requests are queued.
	ReasonBusy Reason = "busy"
	// ReasonDeadline means that the deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonQuarantined means that the same request has crashed several servers.
	ReasonQuarantined Reason = "quarantined"
	// ReasonDraining means that the entry is shutting down.
	ReasonDraining Reason = "draining"
)

// Refusal is the error of a slot request that no keeper granted; nothing of
// the request has run.
type Refusal struct {
	reason     Reason
	retryAfter time.Duration
}

// NewRefusal returns the refusal for a reason, with the time after which to
// retry.
func NewRefusal(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{reason: reason, retryAfter: retryAfter}
}

// Reason returns why the request was refused.
func (r *Refusal) Reason() Reason { return r.reason }

// RetryAfter returns the time after which a retry may succeed.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error returns the reason and the retry time.
func (r *Refusal) Error() string {
	return fmt.Sprintf("backend: refused: %s, retry after %v", r.reason, r.retryAfter)
}
