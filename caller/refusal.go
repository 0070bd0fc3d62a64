package caller

import (
	"context"
	"errors"
	"net/http"

	"greengagedock.example/backend"
)

// slotFailure converts the error of a slot request into the failure returned to
// the caller.
func (e *execution) slotFailure(ctx context.Context, err error) *Failure {
	if failure := e.abortFailure(ctx); failure != nil {
		return failure
	}
	refusal, ok := errors.AsType[*backend.Refusal](err)
	if !ok {
		return newFailure(http.StatusServiceUnavailable, e.outcome(), ReasonBusy, "%v", err).withRetryAfter(e.retryDelay())
	}
	if refusal.Reason() == backend.ReasonNoServer && e.lastFailure != nil {
		return e.lastFailure.withOutcome(e.outcome())
	}
	status, reason, message := describeRefusal(refusal.Reason())
	return newFailure(status, e.outcome(), reason, "%s", message).withRetryAfter(refusal.RetryAfter())
}

func describeRefusal(reason backend.Reason) (int, Reason, string) {
	switch reason {
	case backend.ReasonNoServer:
		return http.StatusServiceUnavailable, ReasonNoServer, "no listed server carries the work"
	case backend.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge, ReasonTooLarge, "the request needs more memory than any server has"
	case backend.ReasonDeadline:
		return http.StatusGatewayTimeout, ReasonDeadline, "the deadline has passed"
	case backend.ReasonQuarantined:
		return http.StatusServiceUnavailable, ReasonQuarantined, "the same request has crashed several servers"
	case backend.ReasonDraining:
		return http.StatusServiceUnavailable, ReasonDraining, "the entry is shutting down: ask for another address"
	default:
		return http.StatusServiceUnavailable, ReasonBusy, "the work could not start in time for its deadline"
	}
}
