package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

// Errors of one send.
var (
	errSilent = eris.New("ingress: server fell silent")
	errSpoilt = eris.New("ingress: answer broke off")
	errNotRun = eris.New("ingress: server did not run the request")
	errFailed = eris.New("ingress: server failed the request")
)

const (
	// maxKeptBytes bounds an answer that is read whole before it is passed on.
	maxKeptBytes = 256 << 10
	// silentLeast is the least time for which a server's silence is borne: a
	// pass over a full engine's reading, and less than callers bear.
	silentLeast = 1250 * time.Millisecond
	// stallMargin is added to the time after which a server tells of a dead helper.
	stallMargin = 150 * time.Millisecond
	// silentFactor is how many times the expected time a server may take.
	silentFactor = 3
	// silentPart is the part of the time left that a plain call may take
	// before it is tried elsewhere.
	silentPart = 0.5
)

// keptAnswer is a whole answer of a server.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// write passes the answer on.
func (k *keptAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), k.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	w.WriteHeader(k.status)
	_, _ = w.Write(k.body) // the caller is gone if this fails
}

// copyHeader sets an answer's header and keeps net/http from adding a type of its own.
func copyHeader(to, from http.Header) {
	maps.Copy(to, from)
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil
	}
}

// send sends the request to the server of a grant and passes its answer on.
func (q *request) send(ctx context.Context, grant dispatch.Grant) (dispatch.Outcome, error) {
	q.lastSent = grant
	now := q.server.timers.Now()
	if q.sends == 1 {
		q.server.budget.first(now, q.service.Name())
	}
	reserved, err := q.reserve(ctx, grant)
	if err != nil {
		return dispatch.OutcomeRejected, err
	}
	defer reserved.release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(time.Hour, func() { cancel(errSilent) })
	defer watch.Stop()
	if patience := q.patience(grant, now); patience < q.limit.Sub(now) {
		watch.Reset(patience)
	}
	delivery := upstream.NewRequestMetadata(grant.Server(), q.account.Name(), q.limit.Sub(now)).WithLastEventID(q.lastEvent())
	answer, err := q.server.client.Send(ctx, grant.Address(), q.out, delivery.WithPrefillWorkers(reserved.helpers(grant)...))
	if err != nil {
		return sendOutcome(ctx, err), err
	}
	defer answer.Close()
	if answer.Metadata().NotRun() {
		return q.notRun(grant, answer)
	}
	if q.route.Kind() == routing.KindStream && answer.Status() == http.StatusOK {
		return q.stream(ctx, watch, grant, answer)
	}
	return q.passWhole(ctx, answer)
}

// patience returns how long the server may take to its first byte.
func (q *request) patience(grant dispatch.Grant, now time.Time) time.Duration {
	left := q.limit.Sub(now)
	if !q.route.Repeatable() || q.ran+1 >= q.route.MaxAttempts() {
		return left
	}
	if q.service.Engine() == nil {
		return time.Duration(silentPart * float64(left))
	}
	bears := silentLeast
	if len(grant.PrefillWorkers()) > 0 {
		// A server that waits for a dead helper tells which one it is.
		bears = max(bears, q.server.stall+stallMargin)
	}
	return min(left, bears+silentFactor*grant.TimeToFirstToken())
}

func (q *request) lastEvent() string {
	if q.events.last != "" {
		return q.events.last
	}
	return q.order.lastEvent
}

// sendOutcome returns the outcome of a send without an answer.
func sendOutcome(ctx context.Context, err error) dispatch.Outcome {
	if errors.Is(err, upstream.ErrNotSent) {
		return dispatch.OutcomeUnreachable
	}
	return brokenOutcome(ctx)
}

// notRun returns the outcome of a request that a server refused.
func (q *request) notRun(grant dispatch.Grant, answer *upstream.Response) (dispatch.Outcome, error) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxKeptBytes)) // a broken rest closes the connection
	notice := answer.Metadata()
	outcome := dispatch.OutcomeRejected
	if notice.Misdirected() {
		outcome = dispatch.OutcomeReplaced
	}
	err := eris.Wrapf(errNotRun, "status %d, at fault %q", answer.Status(), notice.FaultAddress())
	if fault := notice.FaultAddress(); fault != "" && fault != grant.Address() {
		q.server.scheduler.Fault(q.service.Name(), fault, dispatch.OutcomeStalled)
		return dispatch.OutcomeRejected, err
	}
	return outcome, err
}

// passWhole reads an answer to its end and passes it on; an answer over
// maxKeptBytes is passed on as it comes.
func (q *request) passWhole(ctx context.Context, answer *upstream.Response) (dispatch.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxKeptBytes+1))
	if err != nil {
		return brokenOutcome(ctx), eris.Wrapf(errSpoilt, "%v", err)
	}
	q.first = q.server.timers.Now()
	kept := &keptAnswer{status: answer.Status(), header: answer.Header(), body: body}
	if len(body) > maxKeptBytes {
		return q.passOn(answer, kept)
	}
	if answer.Status() >= http.StatusInternalServerError {
		q.kept = kept
		if q.route.Repeatable() {
			return dispatch.OutcomeServerError, eris.Wrapf(errFailed, "status %d", answer.Status())
		}
	}
	kept.write(q.w)
	if kept.status >= http.StatusInternalServerError {
		return dispatch.OutcomeServerError, nil
	}
	return dispatch.OutcomeComplete, nil
}

// passOn passes a long answer on as it comes.
func (q *request) passOn(answer *upstream.Response, begun *keptAnswer) (dispatch.Outcome, error) {
	q.wrote = true
	copyHeader(q.w.Header(), begun.header)
	if answer.ContentLength() >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength(), 10))
	}
	q.w.WriteHeader(begun.status)
	if _, err := q.w.Write(begun.body); err != nil {
		return dispatch.OutcomeCancelled, err
	}
	if _, err := io.Copy(q.w, answer); err != nil {
		return dispatch.OutcomeBroken, eris.Wrapf(errSpoilt, "%v", err)
	}
	return dispatch.OutcomeComplete, nil
}

// brokenOutcome returns the outcome of a request that was sent and got no whole answer.
func brokenOutcome(ctx context.Context) dispatch.Outcome {
	if errors.Is(context.Cause(ctx), errSilent) {
		return dispatch.OutcomeStalled
	}
	if ctx.Err() != nil {
		return dispatch.OutcomeCancelled
	}
	return dispatch.OutcomeBroken
}

// stream passes the events of an answer on as they come.
func (q *request) stream(ctx context.Context, watch *time.Timer, grant dispatch.Grant, answer *upstream.Response) (dispatch.Outcome, error) {
	control := http.NewResponseController(q.w)
	_ = control.SetWriteDeadline(q.limit.Add(endMargin)) // without it the caller's silence is borne longer
	reader := newEventReader(answer)
	pause := silentLeast + q.route.TokenIntervalObjective()
	started := false
	for {
		event, err := reader.next()
		if err == io.EOF {
			return q.streamEnd(answer, reader)
		}
		if err != nil {
			return brokenOutcome(ctx), eris.Wrapf(errSpoilt, "after event %q: %v", q.events.last, err)
		}
		if !started {
			started = true
			q.server.scheduler.Started(q.service.Name(), grant.ID())
			if q.first.IsZero() {
				q.first = q.server.timers.Now()
			}
		}
		if q.mayResume() {
			watch.Reset(pause)
		} else {
			watch.Stop()
		}
		if !q.events.accept(event) {
			continue
		}
		q.events.passed(q.server.timers.Now())
		q.begin(answer)
		if _, err := q.w.Write(event.text); err != nil {
			return dispatch.OutcomeCancelled, fmt.Errorf("caller: %w", err)
		}
		if !reader.buffered() {
			if err := control.Flush(); err != nil {
				return dispatch.OutcomeCancelled, fmt.Errorf("caller: %w", err)
			}
		}
	}
}

// mayResume reports whether the stream may go on at one more server.
func (q *request) mayResume() bool {
	return q.route.Resumable() && q.ran+1 < q.route.MaxAttempts()
}

// streamEnd returns the outcome of a stream whose body ended whole.
func (q *request) streamEnd(answer *upstream.Response, reader *eventReader) (dispatch.Outcome, error) {
	if reader.partial() {
		return dispatch.OutcomeBroken, eris.Wrap(errSpoilt, "ended within an event")
	}
	q.begin(answer)
	return dispatch.OutcomeComplete, nil
}

// begin passes on the header of the answer that the caller's stream begins
// with. Until its first event the stream may end as a failure of this entry, or
// begin at another server, and then bears nothing of this one.
func (q *request) begin(answer *upstream.Response) {
	if q.wrote {
		return
	}
	q.wrote = true
	copyHeader(q.w.Header(), answer.Header())
	q.w.WriteHeader(answer.Status())
}
