package ingress

import (
	"context"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
)

// Views tells what is published.
type Views interface {
	// View returns the newest view, never nil.
	View() *routing.View
	// Entries returns how many entries share the bounds on all of them.
	Entries() int
}

// Scheduler hands out places on backend servers.
type Scheduler interface {
	// Acquire returns a place, or a Refusal.
	Acquire(ctx context.Context, want dispatch.Request) (dispatch.Grant, error)
	// Started tells that the first event of a request came.
	Started(service, id string)
	// Ended tells how a request ended.
	Ended(service, id string, outcome dispatch.Outcome)
	// Fault tells that a request failed through a server other than the one it went to.
	Fault(service, address string, outcome dispatch.Outcome)
}

// KVReserver reserves memory at model engines.
type KVReserver interface {
	// Reserve sets memory aside at an engine's address under a ticket for the
	// hold time; the same ticket again prolongs it.
	Reserve(ctx context.Context, address, ticket string, tokens int, hold time.Duration) error
	// Release frees the memory of a ticket.
	Release(ctx context.Context, address, ticket string) error
}

// Refusal tells that no place is to be had; the request has not run.
type Refusal struct {
	reason     dispatch.Reason
	retryAfter time.Duration
}

// NewRefusal returns a refusal with when to try again.
func NewRefusal(reason dispatch.Reason, comeBack time.Duration) *Refusal {
	return &Refusal{reason: reason, retryAfter: comeBack}
}

// Error returns the reason.
func (r *Refusal) Error() string { return "ingress: refused: " + string(r.reason) }

// Reason returns why there is no place.
func (r *Refusal) Reason() dispatch.Reason { return r.reason }

// RetryAfter returns when to try again.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Recorder counts what became of requests.
type Recorder interface {
	// Ended takes a request's route kind, result and times; first is 0 without an answer.
	Ended(kind routing.Kind, result Result, first, total time.Duration)
}

// Result says what became of a request.
type Result string

// The results.
const (
	// ResultServed: the server's answer was passed on whole.
	ResultServed Result = "served"
	// ResultRefused: it has not run.
	ResultRefused Result = "refused"
	// ResultInvalid: it is not allowed.
	ResultInvalid Result = "invalid"
	// ResultUnknown: it may have run, and there is no answer.
	ResultUnknown Result = "unknown"
	// ResultTruncated: its answer broke off.
	ResultTruncated Result = "cut"
	// ResultCallerGone: the caller left.
	ResultCallerGone Result = "left"
)
