package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether the work of a request that was refused or failed has
// run.
type Outcome string

// The outcomes that a failure states.
const (
	// OutcomeNotRun is certain: the request has not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRan is work that ran, as a whole or in part, without a whole answer.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown is work that may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is why a request was refused or failed.
type Reason string

// The reasons of failures.
const (
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonBadRequest       Reason = "bad_request"
	ReasonNotFound         Reason = "not_found"
	ReasonMethodNotAllowed Reason = "method_not_allowed"
	ReasonLengthRequired   Reason = "length_required"
	ReasonTooLarge         Reason = "too_large"
	ReasonBodyTimeout      Reason = "body_timeout"
	ReasonAccountRequests  Reason = "account_requests"
	ReasonAccountTokens    Reason = "account_tokens"
	ReasonNoServer         Reason = "no_server"
	ReasonBusy             Reason = "busy"
	ReasonQuarantined      Reason = "quarantined"
	ReasonDeadline         Reason = "deadline"
	ReasonDraining         Reason = "draining"
	ReasonRejected         Reason = "rejected"
	ReasonServerFailed     Reason = "server_failed"
	ReasonTruncated        Reason = "truncated"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonSlowReader       Reason = "slow_reader"
	ReasonIDNeeded         Reason = "id_needed"
	ReasonIDUsed           Reason = "id_used"
	ReasonIDExpired        Reason = "id_expired"
	ReasonOwnerLost        Reason = "home_lost"
	ReasonOwnerUnreachable Reason = "home_unreached"
	ReasonOwnerFull        Reason = "home_full"
)

// Failure is the error returned to a caller.
type Failure struct {
	outcome    Outcome
	reason     Reason
	message    string
	retryAfter time.Duration
	status     int
}

func newFailure(status int, outcome Outcome, reason Reason, format string, args ...any) *Failure {
	return &Failure{status: status, outcome: outcome, reason: reason, message: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) *Failure {
	return newFailure(http.StatusBadRequest, OutcomeNotRun, ReasonBadRequest, format, args...)
}

func (f *Failure) withRetryAfter(retryAfter time.Duration) *Failure {
	changed := *f
	changed.retryAfter = retryAfter
	return &changed
}

func (f *Failure) withOutcome(outcome Outcome) *Failure {
	changed := *f
	changed.outcome = outcome
	return &changed
}

// Outcome returns whether the work has run.
func (f *Failure) Outcome() Outcome { return f.outcome }

// Reason returns why the request failed.
func (f *Failure) Reason() Reason { return f.reason }

// RetryAfter returns the time after which a retry may succeed, 0 if unknown.
func (f *Failure) RetryAfter() time.Duration { return f.retryAfter }

// Status returns the HTTP status.
func (f *Failure) Status() int { return f.status }

// Error returns the outcome, the reason and the message.
func (f *Failure) Error() string {
	return fmt.Sprintf("caller: %s: %s: %s", f.outcome, f.reason, f.message)
}

type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Outcome    Outcome `json:"outcome"`
	Reason     Reason  `json:"reason"`
	Message    string  `json:"message"`
	RetryAfter string  `json:"come_back,omitempty"`
	RequestID  string  `json:"request_id,omitempty"`
}

func (f *Failure) body(requestID string) []byte {
	detail := failureDetail{Outcome: f.outcome, Reason: f.reason, Message: f.message, RequestID: requestID}
	if f.retryAfter > 0 {
		detail.RetryAfter = f.retryAfter.String()
	}
	text, err := json.Marshal(failureBody{Error: detail})
	if err != nil {
		panic(err) // Strings always marshal.
	}
	return text
}

// write writes the failure as the response.
func (f *Failure) write(w http.ResponseWriter, requestID string) {
	body := f.body(requestID)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if requestID != "" {
		header.Set(headerRequestID, requestID)
	}
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	w.WriteHeader(f.status)
	w.Write(body)
}

// event returns the failure as the server-sent event that ends a truncated
// stream.
func (f *Failure) event(requestID string) []byte {
	text := append([]byte("event: error\ndata: "), f.body(requestID)...)
	return append(text, "\n\n"...)
}
