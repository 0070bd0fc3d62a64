package ingress

import (
	"context"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

// Views provides the current configuration and the known backend servers.
type Views interface {
	// View returns the newest view, never nil.
	View() *routing.View
	// Entries returns the number of entries that share limits such as the retry budget.
	Entries() int
	// StoreAway reports whether the first configuration is unlikely to arrive soon.
	StoreAway() bool
}

// Scheduler places requests on backend servers.
type Scheduler interface {
	// Acquire waits for a placement and returns it, or a *Refusal as the error.
	Acquire(ctx context.Context, request dispatch.Request) (dispatch.Grant, error)
	// Started reports that the first event of a request arrived.
	Started(service, id string)
	// Ended reports the outcome of a request and ends its placement.
	Ended(service, id string, outcome dispatch.Outcome)
	// Fault reports that a request failed because of a server other than the one it was sent to.
	Fault(service, address string, outcome dispatch.Outcome)
	// Notice reports what a server of the service stated about itself. When it returns,
	// the views take it into account.
	Notice(service string, notice routing.Notice)
}

// KVReserver reserves KV memory on model engines. The metadata are those of the engine's
// response, also of one with an error; they are zero without a response.
type KVReserver interface {
	// Reserve reserves KV memory for a number of tokens on the engine at address
	// for the hold time; calling it again with the same id renews the reservation.
	Reserve(ctx context.Context, address, id string, tokens int, hold time.Duration) (upstream.ResponseMetadata, error)
	// Release ends the reservation with that id.
	Release(ctx context.Context, address, id string) (upstream.ResponseMetadata, error)
}

// Refusal is the error of a request that could not be placed; it has not run.
type Refusal struct {
	reason      dispatch.Reason
	retryAfter  time.Duration
	explanation string
}

// NewRefusal returns a refusal with the time after which to retry.
func NewRefusal(reason dispatch.Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{reason: reason, retryAfter: retryAfter}
}

// WithExplanation returns the refusal with the figures that decided, for the log.
func (r *Refusal) WithExplanation(explanation string) *Refusal {
	r.explanation = explanation
	return r
}

// Error returns a message with the reason.
func (r *Refusal) Error() string { return "ingress: refused: " + string(r.reason) }

// Reason returns why the request was not placed.
func (r *Refusal) Reason() dispatch.Reason { return r.reason }

// RetryAfter returns the time after which to retry.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Recorder records the results and times of requests.
type Recorder interface {
	// Ended records a request's route kind, its result, the time to the first event
	// or whole response, 0 if there was none, and the total time.
	Ended(kind routing.Kind, result Result, first, total time.Duration)
}

// Result is the result of a request.
type Result string

// The results.
const (
	// ResultServed: the whole response of a server was forwarded.
	ResultServed Result = "served"
	// ResultRefused: the request was refused and has not run.
	ResultRefused Result = "refused"
	// ResultInvalid: the request was invalid or not allowed.
	ResultInvalid Result = "invalid"
	// ResultUnknown: the request may have run, but there is no response.
	ResultUnknown Result = "unknown"
	// ResultTruncated: the response ended early.
	ResultTruncated Result = "cut"
	// ResultCallerGone: the caller disconnected.
	ResultCallerGone Result = "left"
)
