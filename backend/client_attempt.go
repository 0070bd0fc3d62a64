package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Attempt is one HTTP request to the server of a slot.
type Attempt struct {
	slot         Slot
	method       string
	path         string
	header       http.Header
	body         []byte
	deadline     time.Time
	firstTimeout time.Duration
	eventTimeout time.Duration
	silent       func()
	reserve      func(bytes int64) bool
	priority     int
	resumeFrom   int
	plain        bool
	atMostOnce   bool
}

// NewAttempt returns an attempt under a slot. The body is shared, not copied.
func NewAttempt(slot Slot, method, path string, header http.Header, body []byte, deadline time.Time) Attempt {
	return Attempt{slot: slot, method: method, path: path, header: header, body: body, deadline: deadline}
}

// WithTimeouts returns the attempt with limits on the wait for the first part
// of the response's body and for each later one; 0 waits until the deadline.
func (a Attempt) WithTimeouts(first, later time.Duration) Attempt {
	a.firstTimeout = first
	a.eventTimeout = later
	return a
}

// OnSilence returns the attempt with a function to call when the limit on a wait
// has passed, and again after each later one, while the response is still waited
// for. Without one the attempt fails with ErrStalled.
func (a Attempt) OnSilence(silent func()) Attempt {
	a.silent = silent
	return a
}

// WithMemory returns the attempt with a function that reserves memory for more of its response's
// body, and reports false if there is none. Without one there is no bound.
func (a Attempt) WithMemory(reserve func(bytes int64) bool) Attempt {
	a.reserve = reserve
	return a
}

// ResumingFrom returns the attempt with a request to skip the answer's first
// tokens.
func (a Attempt) ResumingFrom(tokens int) Attempt {
	a.resumeFrom = tokens
	return a
}

// ToPlainService returns the attempt as one to a plain service, whose status
// codes belong to the application except for the protocol's refusals and the
// one by which it is leaving.
func (a Attempt) ToPlainService() Attempt {
	a.plain = true
	return a
}

// AtMostOnce returns the attempt as one that must not be repeated: it gets a
// connection of its own, so that its bytes are written at most once.
func (a Attempt) AtMostOnce() Attempt {
	a.atMostOnce = true
	return a
}

// WithClassPriority returns the attempt with the engine priority of a class
// of prompts.
func (a Attempt) WithClassPriority(class Class) Attempt {
	a.priority = classPriority(class)
	return a
}

// Engine priorities of the classes of prompts.
const (
	shortPriority  = 20
	mediumPriority = 10
	longPriority   = 0
)

func classPriority(class Class) int {
	switch class {
	case ClassShort:
		return shortPriority
	case ClassMedium:
		return mediumPriority
	default:
		return longPriority
	}
}

// Broken reports whether an attempt failed because its server closed the connection before
// its response was whole, as a server does that ends.
func Broken(err error) bool {
	if errors.Is(err, ErrStalled) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	if fault, ok := errors.AsType[*FaultError](err); ok {
		return fault.fault == FaultTruncated
	}
	attempt, ok := errors.AsType[*AttemptError](err)
	return ok && attempt.outcome == OutcomeFailed && attempt.status == 0
}

// AttemptError is the error of an attempt that got no answer.
type AttemptError struct {
	outcome    Outcome
	status     int
	retryAfter time.Duration
	err        error
}

// Outcome returns how the attempt ended; with OutcomeNotStarted no byte was
// sent.
func (e *AttemptError) Outcome() Outcome { return e.outcome }

// Status returns the server's HTTP status, 0 if there is none.
func (e *AttemptError) Status() int { return e.status }

// RetryAfter returns the time after which the server may accept a retry, 0 if
// unknown.
func (e *AttemptError) RetryAfter() time.Duration { return e.retryAfter }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.err }

// Error returns the outcome and its cause.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("backend: attempt %s: %v", e.outcome, e.err)
}
