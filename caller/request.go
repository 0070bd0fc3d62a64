package caller

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"greengagedock.example/backend"
)

// Headers of the caller API.
const (
	headerRequestID   = "X-Request-Id"
	headerTimeLeft    = "X-Time-Left"
	headerForwardedBy = "X-Forwarded-By"
)

// request is the state of one caller's request.
type request struct {
	server        *Server
	w             http.ResponseWriter
	r             *http.Request
	control       *http.ResponseController
	identity      *identity
	snapshot      Snapshot
	id            string
	uniqueID      string
	start         time.Time
	timeLeft      time.Duration
	writeDeadline time.Time
	access        access
	model         string
	attempts      int
	tokens        int
}

// newRequest reads the headers that all requests have in common.
func (s *Server) newRequest(w http.ResponseWriter, r *http.Request, identity *identity, snapshot Snapshot) (*request, *Failure) {
	q := &request{
		server: s, w: w, r: r, identity: identity, snapshot: snapshot,
		control:  http.NewResponseController(w),
		uniqueID: s.newUniqueID(snapshot.Self()),
		start:    s.timers.Now(),
	}
	q.id = q.uniqueID
	if id := r.Header.Get(headerRequestID); id != "" {
		if !validRequestID(id) {
			return q, badRequest("X-Request-Id must be 1 to %d letters, digits or -_.:~", maxRequestIDLength)
		}
		q.id = id
	}
	if text := r.Header.Get(headerTimeLeft); text != "" {
		remaining, err := time.ParseDuration(text)
		if err != nil {
			return q, badRequest("X-Time-Left must be a duration such as 1.5s")
		}
		if remaining <= 0 {
			return q, newFailure(http.StatusGatewayTimeout, OutcomeNotRun, ReasonDeadline, "no time is left")
		}
		q.timeLeft = remaining
	}
	return q, nil
}

// deadline returns when the response must have ended: after the timeout in the
// service's document, or the caller's if that is shorter.
func (q *request) deadline(timeout time.Duration) time.Time {
	remaining := timeout
	if q.timeLeft > 0 && (remaining <= 0 || q.timeLeft < remaining) {
		remaining = q.timeLeft
	}
	return q.start.Add(remaining)
}

// fail writes the failure as the response.
func (q *request) fail(f *Failure) {
	q.extendWriteDeadline()
	f.write(q.w, q.id)
	q.log(f)
}

// log writes the log line of a request's end; f is nil for a whole response.
func (q *request) log(f *Failure) {
	outcome, reason := "answered", Reason("")
	if f != nil {
		outcome, reason = string(f.outcome), f.reason
	}
	args := append(q.logArgs(),
		"attempts", q.attempts, "tokens", q.tokens, "outcome", outcome, "reason", string(reason),
		"duration", q.server.timers.Now().Sub(q.start))
	q.server.log.Info("ended", args...)
}

// logRoute writes the log line of a routing decision.
func (q *request) logRoute(slot backend.Slot) {
	if q.server.log.GetLevel() > hclog.Info {
		return
	}
	args := append(q.logArgs(), "server", slot.Server(), "attempt", slot.ID(), "keeper", slot.Keeper())
	q.server.log.Info("routed", args...)
}

func (q *request) logArgs() []any {
	args := []any{"request_id", q.id, "account", q.identity.name}
	if q.access.document != nil {
		args = append(args, "service", q.access.document.Service(), "version", q.access.document.Version())
	}
	if q.model != "" {
		args = append(args, "model", q.model)
	}
	return args
}

// extendWriteDeadline gives the caller the write stall timeout from now to read
// what is written next. A deadline that is shorter by less than an eighth is
// left in place, so that not every token resets the timer.
func (q *request) extendWriteDeadline() {
	now := time.Now()
	stall := q.server.limits.WriteStallTimeout()
	if q.writeDeadline.Sub(now) > stall-stall/8 {
		return
	}
	q.writeDeadline = now.Add(stall)
	q.control.SetWriteDeadline(q.writeDeadline)
}

// write writes the body in chunks, each of which the caller must read within
// the write stall timeout.
func (q *request) write(body []byte) *Failure {
	for len(body) > 0 {
		chunk := body[:min(len(body), writeChunkBytes)]
		q.extendWriteDeadline()
		if _, err := q.w.Write(chunk); err != nil {
			return q.classifyWriteError(err)
		}
		body = body[len(chunk):]
	}
	return nil
}

// writeChunkBytes is the number of bytes that a caller must read within the
// write stall timeout.
const writeChunkBytes = 64 << 10

// classifyWriteError returns why a write to the caller failed.
func (q *request) classifyWriteError(err error) *Failure {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return slowReader
	}
	return callerGone
}

// callerLeft reports whether the caller has closed its connection.
func (q *request) callerLeft() bool { return q.r.Context().Err() != nil }

// Failures of requests whose callers can no longer be sent a response. The
// status is never sent.
var (
	callerGone = newFailure(statusClientClosed, OutcomeUnknown, ReasonCallerGone, "the caller closed its connection")
	slowReader = newFailure(statusClientClosed, OutcomeRan, ReasonSlowReader, "the caller did not read its answer in time")
)

// statusClientClosed is the status of a request whose caller no longer waits
// for a response.
const statusClientClosed = 499
