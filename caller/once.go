package caller

import (
	"net/http"
	"time"

	"greengagedock.example/backend"
)

// nonRepeatable carries out a call that may run at most once, at its home.
func (s *Server) nonRepeatable(q *request, call plainCall) {
	id, ok := parseCallID(q.r.Header.Get(headerRequestID))
	if !ok {
		q.fail(withoutID(call))
		return
	}
	home, listed := q.view.Entry(id.home.Entry())
	forwarded := q.r.Header.Get(headerForwardedBy) != ""
	switch routeCall(id, q.view.Self(), listed, forwarded) {
	case routeForward:
		s.forward(q, home, call)
	case routeHome:
		s.atHome(q, id, call)
	default:
		q.fail(homeLost)
	}
}

// withoutID returns the failure of a call that no home can remember.
func withoutID(call plainCall) *Failure {
	if !call.listed {
		return noCall
	}
	return idNeeded
}

// callRoute says where it is decided what becomes of a non-repeatable call.
type callRoute string

const (
	routeHome    callRoute = "home"
	routeForward callRoute = "forward"
	routeLost    callRoute = "lost"
)

// routeCall returns where a call is decided on: only the entry incarnation
// that its id names may run it, and a forwarded call goes no further.
func routeCall(id callID, self backend.Owner, listed, forwarded bool) callRoute {
	switch {
	case id.home == self:
		return routeHome
	case id.home.Entry() == self.Entry() || !listed || forwarded:
		return routeLost
	default:
		return routeForward
	}
}

func (s *Server) atHome(q *request, id callID, call plainCall) {
	entered := s.open.enter()
	if entered {
		defer s.open.leave()
	}
	end := s.once(q, id, call, entered)
	if end.failure != nil {
		q.end(end.failure)
		return
	}
	q.reply(end.answer)
}

// once runs the call if its home decides so, and returns how it ended.
func (s *Server) once(q *request, id callID, call plainCall, entered bool) ending {
	switch d := s.begin(q, id).(type) {
	case runNow:
		end := q.runOnce(call, entered)
		s.finish(q, id, end)
		return end
	case running:
		return q.await(d.record, call)
	case stored:
		return laterEnding(d.ending)
	case refused:
		return ending{failure: d.failure}
	case lost:
		return ending{failure: d.failure}
	default:
		return ending{failure: homeLost}
	}
}

func (q *request) runOnce(call plainCall, entered bool) ending {
	if !entered {
		return ending{failure: usedUp(draining)}
	}
	answer, failure := q.call(call, false)
	if failure != nil {
		return ending{failure: usedUp(failure)}
	}
	return ending{answer: answer}
}

func (s *Server) begin(q *request, id callID) decision {
	s.homeMu.Lock()
	defer s.homeMu.Unlock()
	return s.home.begin(s.timers.Now(), q.view.Self(), q.access.key(), id, s.limits.MaxCallRecords())
}

func (s *Server) finish(q *request, id callID, end ending) {
	s.homeMu.Lock()
	defer s.homeMu.Unlock()
	s.home.finish(s.timers.Now(), q.access.key(), id, end)
}

func (s *Server) prefix(self backend.Owner) string {
	s.homeMu.Lock()
	defer s.homeMu.Unlock()
	return s.home.prefix(s.timers.Now(), self)
}

// await waits for a call of the same id that is running.
func (q *request) await(r *record, call plainCall) ending {
	left := time.NewTimer(q.deadline(call.call.Deadline()).Sub(q.server.timers.Now()))
	defer left.Stop()
	select {
	case <-r.done:
		return laterEnding(r.ending)
	case <-left.C:
		return ending{failure: stillRunning}
	case <-q.r.Context().Done():
		return ending{failure: callerGone}
	}
}

// laterEnding returns what a later call of the same id is answered with.
func laterEnding(end ending) ending {
	if end.failure != nil && end.failure.status == statusClientClosed {
		return ending{failure: newFailure(http.StatusConflict, end.failure.outcome, ReasonIDUsed,
			"the call's first caller left: %s", end.failure.message)}
	}
	return end
}
