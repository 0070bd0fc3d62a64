package backend

import (
	"fmt"
	"net/http"
	"time"
)

// Attempt is one HTTP request to the server that a slot names.
type Attempt struct {
	slot       Slot
	method     string
	path       string
	header     http.Header
	body       []byte
	deadline   time.Time
	firstWait  time.Duration
	eventWait  time.Duration
	priority   int
	resumeFrom int
	plain      bool
	single     bool
}

// NewAttempt returns the attempt to send a request under a slot; the body is
// shared, not copied.
func NewAttempt(slot Slot, method, path string, header http.Header, body []byte, deadline time.Time) Attempt {
	return Attempt{slot: slot, method: method, path: path, header: header, body: body, deadline: deadline}
}

// WithTimeouts returns the attempt that fails when the first part of the
// answer's body, or one of its later parts, takes longer than this; 0 waits to
// the deadline.
func (a Attempt) WithTimeouts(first, next time.Duration) Attempt {
	a.firstWait = first
	a.eventWait = next
	return a
}

// ResumingFrom returns the attempt that asks for the answer after its first tokens.
func (a Attempt) ResumingFrom(tokens int) Attempt {
	a.resumeFrom = tokens
	return a
}

// ToPlainService returns the attempt at a plain service, whose answers are
// its own but for the word that it is leaving.
func (a Attempt) ToPlainService() Attempt {
	a.plain = true
	return a
}

// AtMostOnce returns the attempt that never shares a connection, so that its
// bytes are written at most once.
func (a Attempt) AtMostOnce() Attempt {
	a.single = true
	return a
}

// WithClassPriority returns the attempt with the priority of a class of prompts.
func (a Attempt) WithClassPriority(class Class) Attempt {
	a.priority = classPriority(class)
	return a
}

// The priorities that engines are given for the classes of prompts.
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

// AttemptError is the end of an attempt that brought no answer.
type AttemptError struct {
	outcome  Outcome
	status   int
	comeBack time.Duration
	err      error
}

// Outcome returns how the attempt ended; OutcomeNotStarted says that no byte left.
func (e *AttemptError) Outcome() Outcome { return e.outcome }

// Status returns the server's HTTP status, 0 without one.
func (e *AttemptError) Status() int { return e.status }

// RetryAfter returns the time after which the server may take another try, 0 if it did not say.
func (e *AttemptError) RetryAfter() time.Duration { return e.comeBack }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.err }

// Error returns the outcome and its cause.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("backend: attempt %s: %v", e.outcome, e.err)
}
