package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/dispatch"
	"greengagedock.example/upstream"
)

// Errors of one send.
var (
	errServerTimeout  = eris.New("ingress: server sent nothing in time")
	errTruncated      = eris.New("ingress: response truncated")
	errNotRun         = eris.New("ingress: server did not run the request")
	errNotSent        = eris.New("ingress: a server of the placement takes no more requests")
	errServerError    = eris.New("ingress: server returned an error")
	errEndless        = eris.New("ingress: response goes on without end")
	errOtherType      = eris.New("ingress: response has another type than the stream that it continues")
	errSecondResponse = eris.New("ingress: another response within a stream")
	errFalsePromise   = eris.New("ingress: server may have run the request, and its status promises the opposite")
)

const (
	// maxBufferedBytes bounds a response that is read whole before it is forwarded.
	maxBufferedBytes = 256 << 10
	// maxUnframedBytes bounds a response that states no length.
	maxUnframedBytes = 16 << 20
	// maxIdleStreamBytes bounds what a server may send in a stream until the next event that
	// is new to the caller: a resumed stream may repeat those before.
	maxIdleStreamBytes = 256 << 10
	// minSilenceTimeout is the shortest time without data after which the request is
	// also sent to another server: longer than one prefill pass of a fully loaded
	// engine, and shorter than callers wait.
	minSilenceTimeout = 1250 * time.Millisecond
	// silenceFactor is how many times the expected time to first token a server may take.
	silenceFactor = 3
	// silenceFraction is the fraction of the time left that a call to a plain
	// service may take before it is also sent to another server.
	silenceFraction = 0.5
)

// bufferedResponse is a whole response of a server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// more is whether only the beginning was read.
	more bool
}

// write forwards the response.
func (b *bufferedResponse) write(w http.ResponseWriter, a *answer) {
	copyHeader(w.Header(), b.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(b.status)
	_, _ = newAnswerWriter(w, a).Write(b.body) // fails only if the caller has disconnected or reads nothing
}

// copyHeader sets a response's header and keeps net/http from adding a detected Content-Type.
func copyHeader(to, from http.Header) {
	maps.Copy(to, from)
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil
	}
}

// mediaType returns the type of a response without its parameters, "" if there is none.
func mediaType(header http.Header) string {
	value, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// promisesNotRun reports whether callers take a status as the promise that their request
// has not run and never will. A server that gives that promise says so beside the status;
// from one that does not, the status can't be passed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// sendOutcome returns the outcome of a send without a response.
func sendOutcome(ctx context.Context, err error) dispatch.Outcome {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return dispatch.OutcomeUnreachable
	case errors.Is(err, upstream.ErrNoPath):
		return dispatch.OutcomeWithdrawn
	case errors.Is(err, upstream.ErrPathLost):
		return dispatch.OutcomePathLost
	default:
		return brokenOutcome(ctx)
	}
}

// notRun returns the outcome of a request that a server did not run.
func (a *attempt) notRun() (dispatch.Outcome, error) {
	a.response.Discard()
	metadata := a.response.Metadata()
	outcome := dispatch.OutcomeRejected
	if metadata.Misdirected() {
		outcome = dispatch.OutcomeReplaced
	}
	err := eris.Wrapf(errNotRun, "status %d, at fault %q", a.response.Status(), metadata.FaultAddress())
	if fault := metadata.FaultAddress(); fault != "" && fault != a.grant.Address() {
		a.request.server.scheduler.Fault(a.request.service.Name(), fault, dispatch.OutcomeStalled)
		return dispatch.OutcomeRejected, err
	}
	return outcome, err
}

// forward forwards the response of an attempt, which a backup may have opened already.
func (q *request) forward(a *attempt) (dispatch.Outcome, error) {
	q.begin(a)
	if !a.opened {
		if outcome, err := a.open(); err != nil {
			return outcome, err
		}
	}
	switch {
	case a.events != nil:
		return q.forwardStream(a)
	case !q.progressed(a):
		return dispatch.OutcomeStalled, errServerTimeout
	default:
		return q.forwardBuffered(a)
	}
}

// forwardBuffered forwards a response of which the first part was read already; the
// rest of one over maxBufferedBytes is forwarded as it arrives.
func (q *request) forwardBuffered(a *attempt) (dispatch.Outcome, error) {
	q.firstResponse = q.server.timers.Now()
	if a.body.more {
		return q.forwardRest(a.response, a.body)
	}
	outcome := dispatch.OutcomeComplete
	if a.body.status >= http.StatusInternalServerError {
		outcome = dispatch.OutcomeServerError
	}
	a.close(outcome) // the server is free for others, however slowly the caller reads
	q.server.setClosing(q.w.Header())
	a.body.write(q.w, &q.answer)
	return outcome, nil
}

// forwardRest forwards a long response, of which start was read already, as it arrives.
func (q *request) forwardRest(response *upstream.Response, start *bufferedResponse) (dispatch.Outcome, error) {
	q.wroteHeader, q.committed = true, true
	copyHeader(q.w.Header(), start.header)
	if response.ContentLength() >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength(), 10))
	}
	q.server.setClosing(q.w.Header())
	q.w.WriteHeader(start.status)
	to := newAnswerWriter(q.w, &q.answer)
	if _, err := to.Write(start.body); err != nil {
		return dispatch.OutcomeCancelled, err
	}
	if err := copyRest(to, response, int64(len(start.body))); err != nil {
		return dispatch.OutcomeBroken, eris.Wrapf(errTruncated, "%v", err)
	}
	return dispatch.OutcomeComplete, nil
}

// copyRest forwards the body of a response after the bytes that were forwarded already.
func copyRest(to io.Writer, response *upstream.Response, forwarded int64) error {
	if response.ContentLength() >= 0 {
		_, err := io.Copy(to, response)
		return err
	}
	n, err := io.Copy(to, io.LimitReader(response, maxUnframedBytes-forwarded))
	if err == nil && forwarded+n == maxUnframedBytes {
		err = errEndless
	}
	return err
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

// brokenOutcome returns the outcome of an attempt whose response is not complete.
func (a *attempt) brokenOutcome() dispatch.Outcome {
	outcome := brokenOutcome(a.ctx)
	if outcome != dispatch.OutcomeCancelled && a.response.PathLost() {
		return dispatch.OutcomePathLost
	}
	return outcome
}

// forwardStream forwards the events of a stream, from its first one on, as they arrive.
func (q *request) forwardStream(a *attempt) (dispatch.Outcome, error) {
	control := http.NewResponseController(q.w)
	_ = control.SetWriteDeadline(q.deadline.Add(responseMargin)) // if it fails, a caller that stops reading is detected later
	idle := 0
	for first := true; ; first = false {
		next, err := a.firstEvent, a.firstErr
		if !first {
			q.awaitEvent(a)
			next, err = a.events.next()
		}
		switch {
		case err == io.EOF && a.events.partial():
			return dispatch.OutcomeBroken, eris.Wrapf(errTruncated, "ended within an event after event %q", q.stream.lastID)
		case err != nil && err != io.EOF:
			return a.brokenOutcome(), eris.Wrapf(errTruncated, "after event %q: %v", q.stream.lastID, err)
		}
		if !q.progressed(a) {
			return dispatch.OutcomeStalled, errServerTimeout
		}
		if err == io.EOF {
			q.writeHeader(a.response)
			return dispatch.OutcomeComplete, nil
		}
		if q.firstResponse.IsZero() {
			q.firstResponse = q.server.timers.Now()
		}
		isNew := q.acceptEvent(next)
		if isNew && next.id != "" {
			idle = 0
		} else if idle += len(next.raw); idle > maxIdleStreamBytes {
			return dispatch.OutcomeBroken, eris.Wrapf(errEndless, "after event %q", q.stream.lastID)
		}
		if !isNew {
			continue
		}
		q.writeHeader(a.response)
		if _, err := q.w.Write(next.raw); err != nil {
			return dispatch.OutcomeCancelled, fmt.Errorf("caller: %w", err)
		}
		if !a.events.buffered() {
			if err := control.Flush(); err != nil {
				return dispatch.OutcomeCancelled, fmt.Errorf("caller: %w", err)
			}
		}
	}
}

// acceptEvent reports whether an event is new to the caller, and counts it if so.
func (q *request) acceptEvent(next event) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.stream.accept(next) {
		return false
	}
	q.stream.forwarded(q.server.timers.Now())
	return true
}

// writeHeader forwards the response header before the first event. Until then
// the stream may still fail with an error of this entry or start at another
// server, and must carry no headers of this one.
func (q *request) writeHeader(response *upstream.Response) {
	if q.wroteHeader {
		return
	}
	q.wroteHeader = true
	q.streamType = mediaType(response.Header())
	copyHeader(q.w.Header(), response.Header())
	q.server.setClosing(q.w.Header())
	q.w.WriteHeader(response.Status())
}
