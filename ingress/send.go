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
	errServerTimeout = eris.New("ingress: server sent nothing in time")
	errTruncated     = eris.New("ingress: response truncated")
	errNotRun        = eris.New("ingress: server did not run the request")
	errServerError   = eris.New("ingress: server returned an error")
)

const (
	// maxBufferedBytes bounds a response that is read whole before it is forwarded.
	maxBufferedBytes = 256 << 10
	// minSilenceTimeout is the shortest time without data after which a send is
	// abandoned: longer than one prefill pass of a fully loaded engine, and
	// shorter than callers wait.
	minSilenceTimeout = 1250 * time.Millisecond
	// silenceFactor is how many times the expected time to first token a server may take.
	silenceFactor = 3
	// silenceFraction is the fraction of the time left that a call to a plain
	// service may take before it is retried elsewhere.
	silenceFraction = 0.5
)

// bufferedResponse is a whole response of a server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write forwards the response.
func (b *bufferedResponse) write(w http.ResponseWriter) {
	copyHeader(w.Header(), b.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body) // fails only if the caller has disconnected
}

// copyHeader sets a response's header and keeps net/http from adding a detected Content-Type.
func copyHeader(to, from http.Header) {
	maps.Copy(to, from)
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil
	}
}

// send sends the request to the server of a grant and forwards the response.
func (q *request) send(ctx context.Context, grant dispatch.Grant) (dispatch.Outcome, error) {
	q.lastGrant = grant
	now := q.server.timers.Now()
	if q.sends == 1 {
		q.server.retryLimiter.recordFirstSend(now, q.service.Name())
	}
	reserved, err := q.reserve(ctx, grant)
	if err != nil {
		return dispatch.OutcomeRejected, err
	}
	defer reserved.release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(time.Hour, func() { cancel(errServerTimeout) })
	defer silenceTimer.Stop()
	if silenceTimeout := q.silenceTimeout(grant, now); silenceTimeout < q.deadline.Sub(now) {
		silenceTimer.Reset(silenceTimeout)
	}
	metadata := upstream.NewRequestMetadata(grant.Server(), q.account.Name(), q.deadline.Sub(now)).WithLastEventID(q.lastEventID())
	response, err := q.server.client.Send(ctx, grant.Address(), q.outgoing, metadata.WithPrefillWorkers(reserved.prefillWorkers(grant)...))
	if err != nil {
		return sendOutcome(ctx, err), err
	}
	defer response.Close()
	if response.Metadata().NotRun() {
		return q.notRun(grant, response)
	}
	if q.route.Kind() == routing.KindStream && response.Status() == http.StatusOK {
		return q.forwardStream(ctx, silenceTimer, grant, response)
	}
	return q.forwardBuffered(ctx, response)
}

// silenceTimeout returns how long the server may take until its first byte.
func (q *request) silenceTimeout(grant dispatch.Grant, now time.Time) time.Duration {
	left := q.deadline.Sub(now)
	if !q.route.Repeatable() || q.ran+1 >= q.route.MaxAttempts() {
		return left
	}
	if q.service.Engine() == nil {
		return time.Duration(silenceFraction * float64(left))
	}
	timeout := minSilenceTimeout
	if len(grant.PrefillWorkers()) > 0 {
		// A server that waits for a dead prefill worker reports which one it is.
		timeout = max(timeout, q.server.workerStall)
	}
	return min(left, timeout+silenceFactor*grant.TimeToFirstToken())
}

func (q *request) lastEventID() string {
	if q.stream.lastID != "" {
		return q.stream.lastID
	}
	return q.metadata.lastEventID
}

// sendOutcome returns the outcome of a send without a response.
func sendOutcome(ctx context.Context, err error) dispatch.Outcome {
	if errors.Is(err, upstream.ErrNotSent) {
		return dispatch.OutcomeUnreachable
	}
	return brokenOutcome(ctx)
}

// notRun returns the outcome of a request that a server did not run.
func (q *request) notRun(grant dispatch.Grant, response *upstream.Response) (dispatch.Outcome, error) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxBufferedBytes)) // after an error Close closes the connection
	metadata := response.Metadata()
	outcome := dispatch.OutcomeRejected
	if metadata.Misdirected() {
		outcome = dispatch.OutcomeReplaced
	}
	err := eris.Wrapf(errNotRun, "status %d, at fault %q", response.Status(), metadata.FaultAddress())
	if fault := metadata.FaultAddress(); fault != "" && fault != grant.Address() {
		q.server.scheduler.Fault(q.service.Name(), fault, dispatch.OutcomeStalled)
		return dispatch.OutcomeRejected, err
	}
	return outcome, err
}

// forwardBuffered reads a response to its end and forwards it; a response over
// maxBufferedBytes is forwarded as it arrives.
func (q *request) forwardBuffered(ctx context.Context, response *upstream.Response) (dispatch.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes+1))
	if err != nil {
		return brokenOutcome(ctx), eris.Wrapf(errTruncated, "%v", err)
	}
	q.firstResponse = q.server.timers.Now()
	buffered := &bufferedResponse{status: response.Status(), header: response.Header(), body: body}
	if len(body) > maxBufferedBytes {
		return q.forwardRest(response, buffered)
	}
	if response.Status() >= http.StatusInternalServerError {
		q.buffered = buffered
		if q.route.Repeatable() {
			return dispatch.OutcomeServerError, eris.Wrapf(errServerError, "status %d", response.Status())
		}
	}
	buffered.write(q.w)
	if buffered.status >= http.StatusInternalServerError {
		return dispatch.OutcomeServerError, nil
	}
	return dispatch.OutcomeComplete, nil
}

// forwardRest forwards a long response, of which start was read already, as it arrives.
func (q *request) forwardRest(response *upstream.Response, start *bufferedResponse) (dispatch.Outcome, error) {
	q.wroteHeader = true
	copyHeader(q.w.Header(), start.header)
	if response.ContentLength() >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength(), 10))
	}
	q.w.WriteHeader(start.status)
	if _, err := q.w.Write(start.body); err != nil {
		return dispatch.OutcomeCancelled, err
	}
	if _, err := io.Copy(q.w, response); err != nil {
		return dispatch.OutcomeBroken, eris.Wrapf(errTruncated, "%v", err)
	}
	return dispatch.OutcomeComplete, nil
}

// brokenOutcome returns the outcome of a request that was sent and got no complete response.
func brokenOutcome(ctx context.Context) dispatch.Outcome {
	if errors.Is(context.Cause(ctx), errServerTimeout) {
		return dispatch.OutcomeStalled
	}
	if ctx.Err() != nil {
		return dispatch.OutcomeCancelled
	}
	return dispatch.OutcomeBroken
}

// forwardStream forwards the events of a response as they arrive.
func (q *request) forwardStream(ctx context.Context, silenceTimer *time.Timer, grant dispatch.Grant, response *upstream.Response) (dispatch.Outcome, error) {
	control := http.NewResponseController(q.w)
	_ = control.SetWriteDeadline(q.deadline.Add(responseMargin)) // if it fails, a caller that stops reading is detected later
	reader := newEventReader(response)
	maxInterval := minSilenceTimeout + q.route.TokenIntervalObjective()
	started := false
	for {
		event, err := reader.next()
		if err == io.EOF {
			return q.finishStream(response, reader)
		}
		if err != nil {
			return brokenOutcome(ctx), eris.Wrapf(errTruncated, "after event %q: %v", q.stream.lastID, err)
		}
		if !started {
			started = true
			q.server.scheduler.Started(q.service.Name(), grant.ID())
			if q.firstResponse.IsZero() {
				q.firstResponse = q.server.timers.Now()
			}
		}
		if q.mayResume() {
			silenceTimer.Reset(maxInterval)
		} else {
			silenceTimer.Stop()
		}
		if !q.stream.accept(event) {
			continue
		}
		q.stream.forwarded(q.server.timers.Now())
		q.writeHeader(response)
		if _, err := q.w.Write(event.raw); err != nil {
			return dispatch.OutcomeCancelled, fmt.Errorf("caller: %w", err)
		}
		if !reader.buffered() {
			if err := control.Flush(); err != nil {
				return dispatch.OutcomeCancelled, fmt.Errorf("caller: %w", err)
			}
		}
	}
}

// mayResume reports whether the stream may resume at another server.
func (q *request) mayResume() bool {
	return q.route.Resumable() && q.ran+1 < q.route.MaxAttempts()
}

// finishStream returns the outcome of a stream whose body ended without an error.
func (q *request) finishStream(response *upstream.Response, reader *eventReader) (dispatch.Outcome, error) {
	if reader.partial() {
		return dispatch.OutcomeBroken, eris.Wrap(errTruncated, "ended within an event")
	}
	q.writeHeader(response)
	return dispatch.OutcomeComplete, nil
}

// writeHeader forwards the response header before the first event. Until then
// the stream may still fail with an error of this entry or start at another
// server, and must carry no headers of this one.
func (q *request) writeHeader(response *upstream.Response) {
	if q.wroteHeader {
		return
	}
	q.wroteHeader = true
	copyHeader(q.w.Header(), response.Header())
	q.w.WriteHeader(response.Status())
}
