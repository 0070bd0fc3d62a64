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

// request is one caller's request from its header to its end.
type request struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	who      *identity
	view     Snapshot
	id       string
	serial   string
	began    time.Time
	timeLeft time.Duration
	writeBy  time.Time
	access   access
	model    string
	attempts int
	tokens   int
}

// newRequest reads the headers that all requests share.
func (s *Server) newRequest(w http.ResponseWriter, r *http.Request, who *identity, view Snapshot) (*request, *Failure) {
	q := &request{
		server: s, w: w, r: r, who: who, view: view,
		control: http.NewResponseController(w),
		serial:  s.serial(view.Self()),
		began:   s.timers.Now(),
	}
	q.id = q.serial
	if id := r.Header.Get(headerRequestID); id != "" {
		if !validRequestID(id) {
			return q, badRequest("X-Request-Id must be 1 to %d letters, digits or -_.:~", maxRequestID)
		}
		q.id = id
	}
	if text := r.Header.Get(headerTimeLeft); text != "" {
		left, err := time.ParseDuration(text)
		if err != nil {
			return q, badRequest("X-Time-Left must be a duration such as 1.5s")
		}
		if left <= 0 {
			return q, newFailure(http.StatusGatewayTimeout, OutcomeNotRun, ReasonDeadline, "no time is left")
		}
		q.timeLeft = left
	}
	return q, nil
}

// deadline returns when the answer must have ended: the document's time, or
// the caller's if that is less.
func (q *request) deadline(document time.Duration) time.Time {
	left := document
	if q.timeLeft > 0 && (left <= 0 || q.timeLeft < left) {
		left = q.timeLeft
	}
	return q.began.Add(left)
}

// fail answers with the failure.
func (q *request) fail(f *Failure) {
	q.allowWrite()
	f.write(q.w, q.id)
	q.log(f)
}

// log writes the one line that a request's end has; f is nil for a whole answer.
func (q *request) log(f *Failure) {
	outcome, reason := "answered", Reason("")
	if f != nil {
		outcome, reason = string(f.outcome), f.reason
	}
	args := append(q.logArgs(),
		"attempts", q.attempts, "tokens", q.tokens, "outcome", outcome, "reason", string(reason),
		"duration", q.server.timers.Now().Sub(q.began))
	q.server.log.Info("ended", args...)
}

// logRoute writes the one line that each routing decision has.
func (q *request) logRoute(slot backend.Slot) {
	if q.server.log.GetLevel() > hclog.Info {
		return
	}
	args := append(q.logArgs(), "server", slot.Server(), "attempt", slot.ID(), "keeper", slot.Keeper())
	q.server.log.Info("routed", args...)
}

func (q *request) logArgs() []any {
	args := []any{"request_id", q.id, "account", q.who.name}
	if q.access.document != nil {
		args = append(args, "service", q.access.document.Service(), "version", q.access.document.Version())
	}
	if q.model != "" {
		args = append(args, "model", q.model)
	}
	return args
}

// allowWrite gives the caller its time to read what is written next, less an
// eighth at most, so that not each token sets a timer.
func (q *request) allowWrite() {
	now := time.Now()
	stall := q.server.limits.WriteStallTimeout()
	if q.writeBy.Sub(now) > stall-stall/8 {
		return
	}
	q.writeBy = now.Add(stall)
	q.control.SetWriteDeadline(q.writeBy)
}

// write sends bytes piece by piece, each of which the caller must read in time.
func (q *request) write(body []byte) *Failure {
	for len(body) > 0 {
		piece := body[:min(len(body), pieceBytes)]
		q.allowWrite()
		if _, err := q.w.Write(piece); err != nil {
			return q.writeFailure(err)
		}
		body = body[len(piece):]
	}
	return nil
}

// pieceBytes is what a caller must read within the write stall, in bytes.
const pieceBytes = 64 << 10

// writeFailure returns why the caller could not be written to.
func (q *request) writeFailure(err error) *Failure {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return slowReader
	}
	return callerGone
}

// gone reports whether the caller has closed its connection.
func (q *request) gone() bool { return q.r.Context().Err() != nil }

// The ends of requests whose callers can't be answered any more; the status
// is for the log only.
var (
	callerGone = newFailure(statusClientClosed, OutcomeUnknown, ReasonCallerGone, "the caller closed its connection")
	slowReader = newFailure(statusClientClosed, OutcomeRan, ReasonSlowReader, "the caller did not read its answer in time")
)

// statusClientClosed stands for an answer that nobody waits for.
const statusClientClosed = 499
