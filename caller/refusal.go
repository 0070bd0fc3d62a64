package caller

import (
	"context"
	"errors"
	"net/http"

	"greengagedock.example/backend"
)

// refused turns the refusal of a slot into the caller's failure.
func (e *execution) refused(ctx context.Context, err error) *Failure {
	if failure := e.overdue(ctx); failure != nil {
		return failure
	}
	refusal, ok := errors.AsType[*backend.Refusal](err)
	if !ok {
		return newFailure(http.StatusServiceUnavailable, e.outcome(), ReasonBusy, "%v", err).in(e.whenBack())
	}
	if refusal.Reason() == backend.ReasonNoServer && e.last != nil {
		return e.last.with(e.outcome())
	}
	status, reason, message := refusalTexts(refusal.Reason())
	return newFailure(status, e.outcome(), reason, "%s", message).in(refusal.RetryAfter())
}

func refusalTexts(reason backend.Reason) (int, Reason, string) {
	switch reason {
	case backend.ReasonNoServer:
		return http.StatusServiceUnavailable, ReasonNoServer, "no listed server carries the work"
	case backend.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge, ReasonTooLarge, "the request needs more memory than any server has"
	case backend.ReasonDeadline:
		return http.StatusGatewayTimeout, ReasonDeadline, "the deadline has passed"
	case backend.ReasonDraining:
		return http.StatusServiceUnavailable, ReasonDraining, "the entry is shutting down: ask for another address"
	default:
		return http.StatusServiceUnavailable, ReasonBusy, "the work could not start in time for its deadline"
	}
}
