package caller

import (
	"net/http"
	"time"

	"greengagedock.example/backend"
)

// serveNonIdempotent runs a call at most once, on the entry that owns it.
func (s *Server) serveNonIdempotent(q *request, call plainCall) {
	id, ok := parseCallID(q.r.Header.Get(headerRequestID))
	if !ok {
		q.fail(missingIDFailure(call))
		return
	}
	owner, listed := q.snapshot.Entry(id.owner.Entry())
	forwarded := q.r.Header.Get(headerForwardedBy) != ""
	switch routeCall(id, q.snapshot.Self(), listed, forwarded) {
	case routeForward:
		s.forward(q, owner, call)
	case routeLocal:
		s.serveOwned(q, id, call)
	default:
		q.fail(ownerLost)
	}
}

// missingIDFailure returns the failure of a call without the ID of an owner.
func missingIDFailure(call plainCall) *Failure {
	if !call.listed {
		return unknownCall
	}
	return idNeeded
}

// callRoute is where a non-idempotent call is decided.
type callRoute string

const (
	routeLocal   callRoute = "home"
	routeForward callRoute = "forward"
	routeLost    callRoute = "lost"
)

// routeCall returns where a call is decided. Only the entry incarnation that
// its ID names may run it, and a forwarded call is not forwarded again.
func routeCall(id callID, self backend.Owner, listed, forwarded bool) callRoute {
	switch {
	case id.owner == self:
		return routeLocal
	case id.owner.Entry() == self.Entry() || !listed || forwarded:
		return routeLost
	default:
		return routeForward
	}
}

func (s *Server) serveOwned(q *request, id callID, call plainCall) {
	begun := s.tracker.begin()
	if begun {
		defer s.tracker.end()
	}
	result := s.runAtMostOnce(q, id, call, begun)
	if result.failure != nil {
		q.endWithFailure(result.failure)
		return
	}
	q.writePlain(result.response)
}

// runAtMostOnce runs the call if the deduplication table allows it, and returns
// its result.
func (s *Server) runAtMostOnce(q *request, id callID, call plainCall, begun bool) callResult {
	switch d := s.beginCall(q, id).(type) {
	case runNow:
		result := q.runOnce(call, begun)
		s.finishCall(q, id, result)
		return result
	case inProgress:
		return q.awaitCall(d.record, call)
	case completed:
		return duplicateResult(d.result)
	case rejected:
		return callResult{failure: d.failure}
	case indeterminate:
		return callResult{failure: d.failure}
	default:
		return callResult{failure: ownerLost}
	}
}

func (q *request) runOnce(call plainCall, begun bool) callResult {
	if !begun {
		return callResult{failure: idConsumed(draining)}
	}
	response, failure := q.callService(call, false)
	if failure != nil {
		return callResult{failure: idConsumed(failure)}
	}
	return callResult{response: response}
}

func (s *Server) beginCall(q *request, id callID) callDecision {
	s.dedupMu.Lock()
	defer s.dedupMu.Unlock()
	return s.dedup.begin(s.timers.Now(), q.snapshot.Self(), q.access.key(), id, s.limits.MaxCallRecords())
}

func (s *Server) finishCall(q *request, id callID, result callResult) {
	s.dedupMu.Lock()
	defer s.dedupMu.Unlock()
	s.dedup.finish(s.timers.Now(), q.access.key(), id, result)
}

func (s *Server) callIDPrefix(self backend.Owner) string {
	s.dedupMu.Lock()
	defer s.dedupMu.Unlock()
	return s.dedup.prefix(s.timers.Now(), self)
}

// awaitCall waits for a running call with the same ID.
func (q *request) awaitCall(r *callRecord, call plainCall) callResult {
	timeout := time.NewTimer(q.deadline(call.call.Deadline()).Sub(q.server.timers.Now()))
	defer timeout.Stop()
	select {
	case <-r.done:
		return duplicateResult(r.result)
	case <-timeout.C:
		return callResult{failure: stillRunning}
	case <-q.r.Context().Done():
		return callResult{failure: callerGone}
	}
}

// duplicateResult returns the result for later calls with the same ID.
func duplicateResult(result callResult) callResult {
	if result.failure != nil && result.failure.status == statusClientClosed {
		return callResult{failure: newFailure(http.StatusConflict, result.failure.outcome, ReasonIDUsed,
			"the call's first caller left: %s", result.failure.message)}
	}
	return result
}
