package backend

import (
	"fmt"
	"time"
)

// Reason says why a want was refused.
type Reason string

// The reasons for which a want is refused.
const (
	// ReasonNoServer says that no listed server carries the work.
	ReasonNoServer Reason = "no_server"
	// ReasonTooLarge says that the request needs more memory than any server has.
	ReasonTooLarge Reason = "too_large"
	// ReasonBusy says that the work could not start in time for its deadline.
	ReasonBusy Reason = "busy"
	// ReasonDeadline says that the deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonDraining says that the entry is shutting down.
	ReasonDraining Reason = "draining"
)

// Refusal is the error of a want that no keeper granted: nothing of it has run.
type Refusal struct {
	reason   Reason
	comeBack time.Duration
}

// NewRefusal returns the refusal for a reason, with the time after which to come back.
func NewRefusal(reason Reason, comeBack time.Duration) *Refusal {
	return &Refusal{reason: reason, comeBack: comeBack}
}

// Reason returns why the want was refused.
func (r *Refusal) Reason() Reason { return r.reason }

// RetryAfter returns the time after which another try may succeed.
func (r *Refusal) RetryAfter() time.Duration { return r.comeBack }

// Error returns the reason and the time to come back.
func (r *Refusal) Error() string {
	return fmt.Sprintf("backend: refused: %s, come back in %v", r.reason, r.comeBack)
}
