package caller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"greengagedock.example/backend"
)

const (
	// maxAttempts is the number of slots that one request may use.
	maxAttempts = 8
	// cancelBound is how long a server is asked to cancel an attempt.
	cancelBound = 5 * time.Second
	// serverComeBack is when a caller may come back after its servers failed.
	serverComeBack = time.Second
	// firstWaitPart is the part of the time left that one server may take to
	// its first token, as a divisor.
	firstWaitPart = 2
)

// execution carries one request to one server after the other until an answer
// is whole or the request must fail.
type execution struct {
	request    *request
	work       backend.Workload
	cost       backend.Cost
	prefix     uint64
	deadline   time.Time
	body       []byte
	method     string
	path       string
	header     http.Header
	repeatable bool
	delivery   delivery

	avoid    []string
	begun    bool
	failed   bool
	comeBack time.Duration
	last     *Failure
}

// run returns nil once the answer is whole.
func (e *execution) run(ctx context.Context) *Failure {
	for range maxAttempts {
		slot, failure := e.acquire(ctx)
		if failure != nil {
			return failure
		}
		if e.failed && !e.request.server.serverBudgets.spend(slot.Server(), serverBudget) {
			e.request.server.slots.Release(slot, backend.OutcomeNotStarted)
			e.avoidServer(slot)
			continue
		}
		err := e.try(ctx, slot)
		if err == nil {
			return e.handOver()
		}
		if failure := e.judge(ctx, slot, err); failure != nil {
			return failure
		}
	}
	return e.exhausted()
}

// acquire asks for a slot for the next attempt.
func (e *execution) acquire(ctx context.Context) (backend.Slot, *Failure) {
	q := e.request
	q.attempts++
	id := backend.AttemptID(q.view.Self(), q.serial, q.attempts)
	want := backend.NewSlotRequest(id, q.view.Self(), q.access.account.Name(), e.work, e.cost, e.deadline).
		WithPrefix(e.prefix).
		WithPriority(q.access.document.Priority()).
		WithShare(q.access.account.Share()).
		Avoiding(e.avoid...)
	slot, err := q.server.slots.Acquire(ctx, want)
	if err != nil {
		return backend.Slot{}, e.refused(ctx, err)
	}
	q.logRoute(slot)
	return slot, nil
}

// try sends one attempt and delivers its answer; its slot stays open if it fails.
func (e *execution) try(ctx context.Context, slot backend.Slot) error {
	if !e.repeatable {
		// Once begun, the call's end must be learnt even if its caller leaves.
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.deadline)
		defer cancel()
		ctx = detached
	}
	e.request.server.serverBudgets.earn(slot.Server())
	answer, err := e.request.server.client.Send(ctx, e.attempt(slot))
	if err != nil {
		return err
	}
	defer answer.Close()
	if !answer.MatchesAttempt() {
		return answer.RecordFault(backend.FaultCrossed)
	}
	if err := e.deliver(answer); err != nil {
		return err
	}
	e.request.server.slots.Release(slot, backend.OutcomeFinished)
	return nil
}

// attempt returns what is sent under the slot.
func (e *execution) attempt(slot backend.Slot) backend.Attempt {
	attempt := backend.NewAttempt(slot, e.method, e.path, e.header, e.body, e.deadline)
	limits := e.request.server.limits
	switch e.delivery.(type) {
	case *relay:
		left := e.deadline.Sub(e.request.server.timers.Now())
		attempt = attempt.WithTimeouts(left/firstWaitPart, limits.EventStallTimeout()).ResumingFrom(e.request.tokens)
	case *wholeAnswer:
		attempt = attempt.WithTimeouts(0, limits.EventStallTimeout())
	case *plainDelivery:
		return e.plain(attempt)
	}
	return attempt.WithClassPriority(e.cost.Class())
}

func (e *execution) plain(attempt backend.Attempt) backend.Attempt {
	attempt = attempt.ToPlainService()
	if !e.repeatable {
		attempt = attempt.AtMostOnce()
	}
	return attempt
}

// judge settles a failed attempt's slot and returns nil if another attempt may follow.
func (e *execution) judge(ctx context.Context, slot backend.Slot, err error) *Failure {
	sent, isAttempt := errors.AsType[*backend.AttemptError](err)
	if !isAttempt {
		e.begun = true
		e.settle(slot, backend.OutcomeFailed)
		return e.broken(ctx, slot, err)
	}
	e.settle(slot, sent.Outcome())
	switch outcome := sent.Outcome(); {
	case outcome == backend.OutcomeNotStarted && errors.Is(err, backend.ErrStartByPassed):
		return e.overdue(ctx)
	case outcome == backend.OutcomeNotStarted:
		e.note(slot, sent)
		return e.overdue(ctx)
	case !e.repeatable:
		e.begun = true
		return e.broken(ctx, slot, err)
	case outcome != backend.OutcomeFailed:
		e.note(slot, sent)
		return e.overdue(ctx)
	}
	e.begun = true
	if rejected(sent.Status()) {
		return newFailure(http.StatusBadRequest, e.outcome(), ReasonRejected, "the server rejected the request with status %d", sent.Status())
	}
	return e.broken(ctx, slot, err)
}

// rejected reports whether a server's status says that the request itself was
// wrong; a server that lacks the model says nothing of others.
func rejected(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusNotFound
}

// broken decides on an attempt that a server may have worked on.
func (e *execution) broken(ctx context.Context, slot backend.Slot, err error) *Failure {
	if ended, ok := errors.AsType[*Failure](err); ok {
		return ended
	}
	if failure := e.overdue(ctx); failure != nil {
		return failure
	}
	e.failed = true
	e.last = e.serverFailure(err)
	if !e.repeatable {
		return e.last
	}
	if !e.request.server.accountBudgets.spend(e.request.access.key(), accountBudget) {
		return newFailure(http.StatusBadGateway, e.outcome(), ReasonRetryBudget, "the account's retry budget is spent: %v", err).in(serverComeBack)
	}
	e.avoidServer(slot)
	return nil
}

func (e *execution) serverFailure(err error) *Failure {
	reason := ReasonServerFailed
	if _, ok := errors.AsType[*backend.FaultError](err); ok {
		reason = ReasonTruncated
	}
	return newFailure(http.StatusBadGateway, e.outcome(), reason, "%v", err).in(serverComeBack)
}

// overdue returns the failure of a request whose caller or time is gone.
func (e *execution) overdue(ctx context.Context) *Failure {
	if e.request.gone() {
		return callerGone.with(e.outcome())
	}
	if ctx.Err() != nil || !e.request.server.timers.Now().Before(e.deadline) {
		return newFailure(http.StatusGatewayTimeout, e.outcome(), ReasonDeadline, "the deadline has passed")
	}
	return nil
}

// outcome says whether any attempt of the request has run.
func (e *execution) outcome() Outcome {
	switch {
	case e.request.tokens > 0:
		return OutcomeRan
	case e.begun:
		return OutcomeUnknown
	default:
		return OutcomeNotRun
	}
}

// note remembers a server that certainly did not take the attempt.
func (e *execution) note(slot backend.Slot, err *backend.AttemptError) {
	e.avoidServer(slot)
	e.comeBack = err.RetryAfter()
	e.last = newFailure(http.StatusServiceUnavailable, e.outcome(), ReasonBusy, "no server took the request: %v", err).in(e.whenBack())
}

func (e *execution) avoidServer(slot backend.Slot) {
	if !slices.Contains(e.avoid, slot.Server()) {
		e.avoid = append(e.avoid, slot.Server())
	}
}

func (e *execution) whenBack() time.Duration { return max(e.comeBack, serverComeBack) }

// exhausted returns the failure of a request that has used all its attempts.
func (e *execution) exhausted() *Failure {
	if e.last != nil {
		return e.last.with(e.outcome())
	}
	return newFailure(http.StatusServiceUnavailable, e.outcome(), ReasonBusy, "no attempt could be started in time").in(e.whenBack())
}

// settle gives the slot of a failed attempt back: at once if the server holds
// nothing, else once the server has acknowledged a cancel, or as failed.
func (e *execution) settle(slot backend.Slot, outcome backend.Outcome) {
	server := e.request.server
	if _, plain := e.delivery.(*plainDelivery); plain || outcome != backend.OutcomeFailed {
		server.slots.Release(slot, outcome)
		return
	}
	server.open.hold()
	go server.cancel(slot)
}

func (s *Server) cancel(slot backend.Slot) {
	defer s.open.letGo()
	ctx, stop := context.WithTimeout(context.Background(), cancelBound)
	defer stop()
	if err := s.client.Cancel(ctx, slot); err != nil {
		s.log.Warn("cancel failed", "attempt", slot.ID(), "server", slot.Server(), "error", err)
		s.slots.Release(slot, backend.OutcomeFailed)
		return
	}
	s.slots.Release(slot, backend.OutcomeCancelled)
}
