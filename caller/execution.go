package caller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/quarantine"
)

const (
	// maxAttempts is the number of slots that one request may use.
	maxAttempts = 8
	// cancelTimeout is how long a server may take to acknowledge a cancel.
	cancelTimeout = 5 * time.Second
	// serverRetryAfter is the Retry-After time after server failures.
	serverRetryAfter = time.Second
	// firstTokenTimeDivisor is the divisor of the time left that gives the time
	// a server may take to its first token.
	firstTokenTimeDivisor = 2
)

// execution sends one request to a server, and to another after a failure,
// until the response is whole or the request fails.
type execution struct {
	request    *request
	workload   backend.Workload
	cost       backend.Cost
	prefix     uint64
	deadline   time.Time
	body       []byte
	method     string
	path       string
	header     http.Header
	idempotent bool
	delivery   delivery
	// fingerprint identifies the request if it comes again.
	fingerprint quarantine.Fingerprint

	// sendCtx is the context of the attempts.
	sendCtx        context.Context
	backupsRunning sync.WaitGroup
	// mu guards the fields below and the request's tokens and attempts while a
	// backup may run.
	mu          sync.Mutex
	current     *attempt // whose response is delivered, nil between attempts
	ready       *attempt // the backup that takes over from it
	backups     []*backup
	avoid       []string
	mayHaveRun  bool
	retrying    bool
	retryAfter  time.Duration
	lastFailure *Failure
}

// run returns nil once the response is whole.
func (e *execution) run(ctx context.Context) *Failure {
	e.sendCtx = ctx
	if !e.idempotent {
		// The result must be recorded even if the caller disconnects.
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.deadline)
		defer cancel()
		e.sendCtx = detached
	}
	for a := (*attempt)(nil); a != nil || e.request.attempts < maxAttempts; {
		if a == nil {
			slot, failure := e.acquire(ctx)
			if failure != nil {
				return failure
			}
			if e.retrying && !e.request.server.serverBudgets.spend(slot.Server(), serverBudgetSize) {
				e.request.server.slots.Release(slot, backend.OutcomeNotStarted)
				e.avoidServer(slot)
				continue
			}
			a = e.attemptFor(e.sendCtx, slot)
		}
		err := e.deliver(a)
		a.reportSurvival(err)
		a.close()
		next := e.awaitBackup(err)
		if err == nil {
			e.request.server.slots.Release(a.slot, backend.OutcomeFinished)
			return e.writeBuffered()
		}
		if next != nil {
			e.releaseReplaced(a.slot, err)
		} else if failure := e.handleAttemptError(ctx, a.slot, err); failure != nil {
			return failure
		}
		a = next
	}
	return e.attemptsExhausted()
}

// acquire requests a slot for the next attempt.
func (e *execution) acquire(ctx context.Context) (backend.Slot, *Failure) {
	slot, err := e.request.server.slots.Acquire(ctx, e.slotRequest())
	if err != nil {
		return backend.Slot{}, e.slotFailure(ctx, err)
	}
	e.request.logRoute(slot)
	return slot, nil
}

// slotRequest returns the slot request of the next attempt.
func (e *execution) slotRequest() backend.SlotRequest {
	q := e.request
	q.attempts++
	id := backend.AttemptID(q.snapshot.Self(), q.uniqueID, q.attempts)
	return backend.NewSlotRequest(id, q.snapshot.Self(), q.access.account.Name(), e.workload, e.cost, e.deadline).
		WithPrefix(e.prefix).
		WithPriority(q.access.document.Priority()).
		WithShare(q.access.account.Share()).
		WithFingerprint(e.fingerprint).
		Avoiding(e.avoid...)
}

// attemptFor returns the attempt to send with the slot, which may get backups.
func (e *execution) attemptFor(ctx context.Context, slot backend.Slot) *attempt {
	e.request.server.serverBudgets.credit(slot.Server())
	a := e.newAttempt(ctx, slot, e.outgoing(slot))
	a.outgoing = a.outgoing.OnSilence(func() { e.serverSilent(a) })
	return a
}

// outgoing returns what to send to the slot's server.
func (e *execution) outgoing(slot backend.Slot) backend.Attempt {
	attempt := backend.NewAttempt(slot, e.method, e.path, e.header, e.body, e.deadline)
	limits := e.request.server.limits
	switch e.delivery.(type) {
	case *streamDelivery:
		remaining := e.deadline.Sub(e.request.server.timers.Now())
		attempt = attempt.WithTimeouts(remaining/firstTokenTimeDivisor, limits.EventStallTimeout()).ResumingFrom(e.request.tokens)
	case *completionDelivery:
		attempt = attempt.WithTimeouts(0, limits.EventStallTimeout())
	case *plainDelivery:
		return e.plainAttempt(attempt)
	}
	return attempt.WithClassPriority(e.cost.Class())
}

func (e *execution) plainAttempt(attempt backend.Attempt) backend.Attempt {
	attempt = attempt.ToPlainService()
	if !e.idempotent {
		attempt = attempt.AtMostOnce()
	}
	return attempt
}

// handleAttemptError releases a failed attempt's slot and returns nil if
// another attempt may follow.
func (e *execution) handleAttemptError(ctx context.Context, slot backend.Slot, err error) *Failure {
	attemptErr, isAttempt := errors.AsType[*backend.AttemptError](err)
	if !isAttempt {
		e.mayHaveRun = true
		e.releaseFailed(slot, backend.OutcomeFailed)
		return e.handleServerFailure(ctx, slot, err)
	}
	e.releaseFailed(slot, attemptErr.Outcome())
	switch outcome := attemptErr.Outcome(); {
	case outcome == backend.OutcomeNotStarted && errors.Is(err, backend.ErrStartByPassed):
		return e.abortFailure(ctx)
	case outcome == backend.OutcomeNotStarted:
		e.recordRefusal(slot, attemptErr)
		return e.abortFailure(ctx)
	case !e.idempotent:
		e.mayHaveRun = true
		return e.handleServerFailure(ctx, slot, err)
	case outcome != backend.OutcomeFailed:
		e.recordRefusal(slot, attemptErr)
		return e.abortFailure(ctx)
	}
	e.mayHaveRun = true
	if isRejection(attemptErr.Status()) {
		return newFailure(http.StatusBadRequest, e.outcome(), ReasonRejected, "the server rejected the request with status %d", attemptErr.Status())
	}
	return e.handleServerFailure(ctx, slot, err)
}

// isRejection reports whether a server's status says that the request itself is
// invalid. 404 is excluded: it only says that this server lacks the model.
func isRejection(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusNotFound
}

// handleServerFailure returns nil if another attempt may follow one that a
// server may have worked on.
func (e *execution) handleServerFailure(ctx context.Context, slot backend.Slot, err error) *Failure {
	if deliveryFailure, ok := errors.AsType[*Failure](err); ok {
		return deliveryFailure
	}
	if failure := e.abortFailure(ctx); failure != nil {
		return failure
	}
	e.retrying = true
	e.lastFailure = e.serverFailure(err)
	if !e.idempotent {
		return e.lastFailure
	}
	if !e.request.server.accountBudgets.spend(e.request.access.key(), accountBudgetSize) {
		return newFailure(http.StatusBadGateway, e.outcome(), ReasonRetryBudget, "the account's retry budget is spent: %v", err).withRetryAfter(serverRetryAfter)
	}
	e.avoidServer(slot)
	return nil
}

func (e *execution) serverFailure(err error) *Failure {
	reason := ReasonServerFailed
	if _, ok := errors.AsType[*backend.FaultError](err); ok {
		reason = ReasonTruncated
	}
	return newFailure(http.StatusBadGateway, e.outcome(), reason, "%v", err).withRetryAfter(serverRetryAfter)
}

// abortFailure returns the failure of a request whose caller has left or whose
// deadline has passed, nil otherwise.
func (e *execution) abortFailure(ctx context.Context) *Failure {
	if e.request.callerLeft() {
		return callerGone.withOutcome(e.outcome())
	}
	if ctx.Err() != nil || !e.request.server.timers.Now().Before(e.deadline) {
		return newFailure(http.StatusGatewayTimeout, e.outcome(), ReasonDeadline, "the deadline has passed")
	}
	return nil
}

// outcome returns whether any attempt of the request has run.
func (e *execution) outcome() Outcome {
	switch {
	case e.request.tokens > 0:
		return OutcomeRan
	case e.mayHaveRun:
		return OutcomeUnknown
	default:
		return OutcomeNotRun
	}
}

// recordRefusal records that the server has certainly not run the attempt, and
// avoids it from now on.
func (e *execution) recordRefusal(slot backend.Slot, err *backend.AttemptError) {
	e.avoidServer(slot)
	e.retryAfter = err.RetryAfter()
	e.lastFailure = newFailure(http.StatusServiceUnavailable, e.outcome(), ReasonBusy, "no server took the request: %v", err).withRetryAfter(e.retryDelay())
}

func (e *execution) avoidServer(slot backend.Slot) {
	if !slices.Contains(e.avoid, slot.Server()) {
		e.avoid = append(e.avoid, slot.Server())
	}
}

func (e *execution) retryDelay() time.Duration { return max(e.retryAfter, serverRetryAfter) }

// attemptsExhausted returns the failure of a request that has used all its
// attempts.
func (e *execution) attemptsExhausted() *Failure {
	if e.lastFailure != nil {
		return e.lastFailure.withOutcome(e.outcome())
	}
	return newFailure(http.StatusServiceUnavailable, e.outcome(), ReasonBusy, "no attempt could be started in time").withRetryAfter(e.retryDelay())
}

// releaseFailed releases the slot of a failed attempt: at once if it was a
// plain call or the server holds nothing of it, otherwise after the server has
// acknowledged a cancel, or as failed.
func (e *execution) releaseFailed(slot backend.Slot, outcome backend.Outcome) {
	server := e.request.server
	if _, plain := e.delivery.(*plainDelivery); plain || outcome != backend.OutcomeFailed {
		server.slots.Release(slot, outcome)
		return
	}
	server.tracker.addWork()
	go server.cancelAndRelease(slot)
}

func (s *Server) cancelAndRelease(slot backend.Slot) {
	defer s.tracker.endWork()
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := s.client.Cancel(ctx, slot); err != nil {
		s.log.Warn("cancel failed", "attempt", slot.ID(), "server", slot.Server(), "error", err)
		s.slots.Release(slot, backend.OutcomeFailed)
		return
	}
	s.slots.Release(slot, backend.OutcomeCancelled)
}
