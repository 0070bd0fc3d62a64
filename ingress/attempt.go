package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

// attempt is one send of a request to a backend server, from its placement to the end
// of its response.
type attempt struct {
	request     *request
	number      int
	placement   dispatch.Request
	lastEventID string
	// continues is whether the caller already has the header of a stream.
	continues bool
	parent    context.Context // of the request
	ctx       context.Context
	cancel    context.CancelCauseFunc
	sent      bool // guarded by the request's mutex

	grant    dispatch.Grant
	server   routing.Incarnation // to which the request is sent
	reserved *reservations
	response *upstream.Response
	// opened is whether the response can be forwarded. A stream then has events and its
	// first event, or the error of reading it; any other response has a body.
	opened     bool
	events     *eventReader
	firstEvent event
	firstErr   error
	body       *bufferedResponse

	silence silenceTimer
	closed  bool
}

// newAttempt returns an attempt that continues the response where it is now; q.mu must
// be held.
func (q *request) newAttempt(ctx context.Context) *attempt {
	a := &attempt{request: q, number: q.sends, placement: q.placementRequest(), lastEventID: q.lastEventID(), continues: q.stream.count > 0, parent: ctx}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

func (q *request) lastEventID() string {
	if q.stream.lastID != "" {
		return q.stream.lastID
	}
	return q.metadata.lastEventID
}

// acquire gets a placement whose servers are still usable when it is granted.
func (a *attempt) acquire() error {
	q := a.request
	ctx, cancel := a.limitWait()
	defer cancel()
	for try := 0; ; try++ {
		grant, err := q.server.scheduler.Acquire(ctx, a.placement)
		if err != nil && isStopping(ctx, err) {
			return errStopping
		}
		if err != nil {
			return err
		}
		q.server.log.Info("placed", "id", q.id, "send", a.number, "service", q.service.Name(), "server", grant.Server(),
			"helpers", workerIDs(grant), "prompt", a.placement.Prompt(), "expected", grant.TimeToFirstToken(), "waited", grant.Waited(), "why", grant.Explanation(),
			"revision", q.server.views.View().Revision())
		if !a.canFinish(grant) {
			q.server.scheduler.Ended(q.service.Name(), grant.ID(), dispatch.OutcomeCancelled)
			return errStopping
		}
		unusable := q.unusable(grant)
		if len(unusable) == 0 {
			a.grant = grant
			return nil
		}
		q.server.scheduler.Ended(q.service.Name(), grant.ID(), dispatch.OutcomeCancelled)
		if try >= maxSends {
			return NewRefusal(dispatch.ReasonNoServer, defaultRetryAfter)
		}
		q.mu.Lock()
		q.exclude = append(q.exclude, unusable...)
		a.placement = q.placementRequest()
		q.mu.Unlock()
	}
}

// open sends the request and reads its response up to the first event of a stream, or
// to the end of another one of up to maxBufferedBytes. Without an error the response
// can be forwarded.
func (a *attempt) open() (dispatch.Outcome, error) {
	q := a.request
	now := q.server.timers.Now()
	if a.number == 1 {
		q.server.retryLimiter.recordFirstSend(now, q.service.Name())
	}
	var err error
	if a.reserved, err = q.reserve(a.ctx, a.grant); err != nil {
		return dispatch.OutcomeRejected, err
	}
	if len(q.unusable(a.grant)) > 0 {
		// A server began to leave while memory was reserved.
		return dispatch.OutcomeWithdrawn, errNotSent
	}
	a.server = q.incarnation(a.grant.Server())
	a.silence.start(a, now)
	metadata := upstream.NewRequestMetadata(a.grant.Server(), q.account.Name(), q.deadline.Sub(now)).WithLastEventID(a.lastEventID)
	a.response, err = q.server.client.Send(a.ctx, a.grant.Address(), q.outgoing, metadata.WithPrefillWorkers(a.reserved.prefillWorkers(a.grant)...))
	if err != nil {
		return sendOutcome(a.ctx, err), err
	}
	q.server.noteResponse(q.id, q.service.Name(), a.server, a.response.Metadata())
	q.server.noteLoad(q.service.Name(), a.server, a.response.Metadata())
	q.server.noteUnlimited(q.id, q.service.Name(), a.server, now, a.response.Metadata())
	if a.response.Metadata().NotRun() {
		return a.notRun()
	}
	if status := a.response.Status(); promisesNotRun(status) {
		return dispatch.OutcomeServerError, eris.Wrapf(errFalsePromise, "status %d", status)
	}
	a.silence.received()
	if a.continues && q.streamType != "" && mediaType(a.response.Header()) != q.streamType {
		return dispatch.OutcomeServerError, eris.Wrapf(errOtherType, "status %d, %q", a.response.Status(), mediaType(a.response.Header()))
	}
	if q.route.Kind() == routing.KindStream && a.response.Status() == http.StatusOK {
		a.events = newEventReader(a.ctx, a.response, &q.server.answerMemory, func() { a.cancel(errEventMemory) })
		a.firstEvent, a.firstErr = a.events.next()
		return a.checkFirstEvent()
	}
	return a.readBody()
}

// checkFirstEvent reports a stream whose first event arrived, or that is empty, as opened.
func (a *attempt) checkFirstEvent() (dispatch.Outcome, error) {
	switch {
	case a.firstErr == nil:
		a.request.server.scheduler.Started(a.request.service.Name(), a.grant.ID())
	case a.firstErr != io.EOF:
		return a.brokenOutcome(), eris.Wrapf(errTruncated, "after event %q: %v", a.lastEventID, a.firstErr)
	case a.events.partial():
		return dispatch.OutcomeBroken, eris.Wrap(errTruncated, "ended within an event")
	}
	a.opened = true
	return dispatch.OutcomeComplete, nil
}

// readBody reads the body of a response that is no stream, up to maxBufferedBytes.
func (a *attempt) readBody() (dispatch.Outcome, error) {
	body, more, err := a.request.answer.readWhole(a.ctx, a.response)
	if err != nil {
		return a.brokenOutcome(), eris.Wrapf(errTruncated, "%v", err)
	}
	status := a.response.Status()
	a.body = &bufferedResponse{status: status, header: a.response.Header(), body: body, more: more}
	failed := status >= http.StatusInternalServerError && !more && a.request.route.Repeatable()
	if failed || a.continues {
		return dispatch.OutcomeServerError, eris.Wrapf(errServerError, "status %d", status)
	}
	a.opened = true
	return dispatch.OutcomeComplete, nil
}

// close ends the attempt and its placement, unless it was closed before.
func (a *attempt) close(outcome dispatch.Outcome) {
	if a.closed {
		return
	}
	a.closed = true
	a.silence.stop()
	if a.events != nil {
		a.events.release()
	}
	if a.response != nil {
		a.response.Close()
	}
	if a.reserved != nil {
		a.reserved.release()
	}
	a.cancel(nil)
	if outcome == dispatch.OutcomeStalled && a.silence.fired >= maxSilences {
		outcome = dispatch.OutcomeCancelled // the silence was reported already
	}
	a.request.server.scheduler.Ended(a.request.service.Name(), a.grant.ID(), outcome)
}

// silenceTimer calls for a backup while an attempt's server sends nothing. It is
// guarded by the request's mutex. The zero value never does.
type silenceTimer struct {
	timer   *time.Timer
	timeout time.Duration
	// lastData is when the server last sent an event, or the request was sent.
	lastData time.Time
	// fired counts how often the timer fired since then.
	fired int
	// doubt has the way to the server checked if nothing arrives for a while.
	doubt *time.Timer
}

// doubtTimeout is how long a plain service may take until the way to its server is checked, and
// an engine beyond several times the expected time; maxDoubtFraction is the fraction of the time
// left that this may be for a plain service.
const (
	doubtTimeout     = 500 * time.Millisecond
	maxDoubtFraction = 0.5
)

// start starts the timers of an attempt that is sent now: that of the way to its server, and
// that of a backup if it may have one.
func (t *silenceTimer) start(a *attempt, now time.Time) {
	q := a.request
	q.mu.Lock()
	defer q.mu.Unlock()
	a.sent = true
	t.lastData = now
	t.doubt = time.AfterFunc(q.doubtTimeout(a.grant, now), func() { q.server.client.Doubt(a.grant.Address()) })
	t.timeout = q.silenceTimeout(a.grant, now)
	if t.timeout < q.deadline.Sub(now) {
		t.timer = time.AfterFunc(t.timeout, func() { q.serverSilent(a) })
	}
}

func (t *silenceTimer) stop() {
	t.received()
	if t.timer != nil {
		t.timer.Stop()
	}
}

// received ends the doubt about the way to the server: something arrived.
func (t *silenceTimer) received() {
	if t.doubt != nil {
		t.doubt.Stop()
	}
}

// doubtTimeout returns how long the server may take until its first byte before the way to
// it is checked.
func (q *request) doubtTimeout(grant dispatch.Grant, now time.Time) time.Duration {
	if q.service.Engine() == nil {
		return min(doubtTimeout, time.Duration(maxDoubtFraction*float64(q.deadline.Sub(now))))
	}
	return doubtTimeout + silenceFactor*grant.TimeToFirstToken()
}

// firstByteTimeout returns how long an engine may take until its first byte, by the time that
// was expected for the placement.
func (q *request) firstByteTimeout(grant dispatch.Grant) time.Duration {
	timeout := q.server.minSilence
	if len(grant.PrefillWorkers()) > 0 {
		// A server that waits for a dead prefill worker reports which one it is.
		timeout = max(timeout, q.server.workerStall)
	}
	return timeout + silenceFactor*grant.TimeToFirstToken()
}

// silenceTimeout returns how long the server may take until its first byte before the
// request is also sent to another one; q.mu must be held.
func (q *request) silenceTimeout(grant dispatch.Grant, now time.Time) time.Duration {
	left := q.deadline.Sub(now)
	if !q.route.Repeatable() || q.ran+1 >= q.route.MaxAttempts() {
		return left
	}
	if q.service.Engine() == nil {
		return time.Duration(silenceFraction * float64(left))
	}
	return min(left, q.firstByteTimeout(grant))
}

// mayResume reports whether the stream may resume at another server; q.mu must be held.
func (q *request) mayResume() bool {
	return q.route.Resumable() && q.ran+1 < q.route.MaxAttempts()
}

// errSuperseded is the cause with which an attempt is cancelled whose response another
// attempt takes over.
var errSuperseded = eris.New("ingress: superseded by another send")
