package ingress

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/dispatch"
)

// errStopping is the cause with which a stopping server ends what it can't finish.
var errStopping = eris.New("ingress: server stops")

// Grace is the time that a server has left before it stops as planned.
type Grace struct {
	lateAt     time.Time
	cutAt      time.Time
	retryAfter func() time.Duration
}

// NewGrace returns the time left of a server that stops: from lateAt on, callers should know,
// and a request is taken only if it ends in any case before cutAt, when all that are open are
// ended. retryAfter returns when a caller that is refused may retry.
func NewGrace(lateAt, cutAt time.Time, retryAfter func() time.Duration) Grace {
	return Grace{lateAt: lateAt, cutAt: cutAt, retryAfter: retryAfter}
}

// graceLimits ends, at the latest time that the grace of a stop leaves for it, what the
// requests of a server do. Its zero value belongs to a server that does not stop.
type graceLimits struct {
	mu     sync.Mutex
	grace  *Grace // nil while the server does not stop
	limits map[*graceLimit]struct{}
}

// graceLimit is the limit of one step of a request.
type graceLimit struct {
	latest func(Grace) time.Time
	end    func()
	timer  *time.Timer
}

// begin sets the grace, which applies to all that runs.
func (l *graceLimits) begin(grace Grace, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grace = &grace
	for limit := range l.limits {
		limit.start(grace, now)
	}
}

// current returns the grace, and false while the server does not stop.
func (l *graceLimits) current() (Grace, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grace == nil {
		return Grace{}, false
	}
	return *l.grace, true
}

// add has end called at the latest time, once the server stops, unless remove is called before.
func (l *graceLimits) add(now time.Time, latest func(Grace) time.Time, end func()) (remove func()) {
	limit := &graceLimit{latest: latest, end: end}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = make(map[*graceLimit]struct{})
	}
	l.limits[limit] = struct{}{}
	if l.grace != nil {
		limit.start(*l.grace, now)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.limits, limit)
		if limit.timer != nil {
			limit.timer.Stop()
		}
	}
}

func (g *graceLimit) start(grace Grace, now time.Time) {
	if g.timer == nil {
		g.timer = time.AfterFunc(g.latest(grace).Sub(now), g.end)
	}
}

// BeginStop has the server refuse, from now on, each request that it can't finish in the time
// left: at once when it arrives, and while it waits as soon as that is known. What is open
// at the end of that time gets a final answer, or is truncated within one.
func (s *Server) BeginStop(grace Grace) {
	s.DisableKeepAlives()
	s.grace.begin(grace, s.timers.Now())
}

// limitToGrace returns a context that ends with errStopping when a stopping server ends all
// requests.
func (q *request) limitToGrace(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	remove := q.server.grace.add(q.server.timers.Now(), func(g Grace) time.Time { return g.cutAt }, func() { cancel(errStopping) })
	return ctx, func() {
		remove()
		cancel(nil)
	}
}

// readBody reads the body until the request's deadline, as long as the request can be taken after
// it. It reports false once it has answered the request.
func (q *request) readBody() (body []byte, ok bool) {
	control := http.NewResponseController(q.w)
	if q.r.Body != http.NoBody {
		_ = control.SetReadDeadline(q.deadline) // if it fails, so does reading
	}
	stopped := make(chan struct{})
	remove := q.server.grace.add(q.server.timers.Now(), q.latestArrival, func() {
		close(stopped)
		_ = control.SetReadDeadline(time.Unix(1, 0)) // else the body is read to its end
	})
	body, reserved, err := q.server.bodyMemory.read(q.r, q.table.Limits().BodyBytes(), q.server.clients)
	q.bodyMemory = reserved
	remove()
	select {
	case <-stopped:
		err = errStopping
	default:
	}
	if err == nil && q.arrivedLate() {
		err = errStopping
	}
	if err != nil {
		q.rejectBody(err)
		return nil, false
	}
	if q.r.Body != http.NoBody {
		_ = control.SetReadDeadline(time.Time{}) // from now on, reading tells whether the caller has left
	}
	return body, true
}

// latestArrival returns until when the request must have arrived as a whole to be taken.
func (q *request) latestArrival(grace Grace) time.Time {
	if q.deadline.After(grace.cutAt) {
		return grace.lateAt
	}
	return grace.cutAt
}

// arrivedLate reports whether a request that has just arrived as a whole is too late for a
// server that stops.
func (q *request) arrivedLate() bool {
	grace, stopping := q.server.grace.current()
	return stopping && !q.server.timers.Now().Before(q.latestArrival(grace))
}

// limitWait returns a context that ends with errStopping when a stopping server can't finish the
// request any more if it is placed later. A caller that has a part of its response is served
// for as long as possible.
func (a *attempt) limitWait() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(a.ctx)
	if a.continues {
		return ctx, func() { cancel(nil) }
	}
	q := a.request
	remove := q.server.grace.add(q.server.timers.Now(), q.latestPlacement, func() { cancel(errStopping) })
	return ctx, func() {
		remove()
		cancel(nil)
	}
}

// latestPlacement returns until when the request must be placed to be finished. Nothing is known
// of the answers of plain services but that they should come within the objective; however long
// that is, what was taken before callers should have left is placed until then.
func (q *request) latestPlacement(grace Grace) time.Time {
	if !q.deadline.After(grace.cutAt) {
		return grace.cutAt
	}
	if q.service.Engine() != nil {
		return grace.cutAt.Add(-q.answerTime())
	}
	latest := grace.cutAt.Add(-q.route.Objective())
	if latest.Before(grace.lateAt) {
		return grace.lateAt
	}
	return latest
}

// answerTime returns how long the response of an engine is expected to take from its first byte.
func (q *request) answerTime() time.Duration {
	return q.service.Engine().AnswerTime(q.metadata.promptTokens, q.answerTokens())
}

// canFinish reports whether the request can be finished by the placement before the server stops.
func (a *attempt) canFinish(grant dispatch.Grant) bool {
	q := a.request
	grace, stopping := q.server.grace.current()
	if !stopping || a.continues {
		return true
	}
	return !q.server.timers.Now().Add(grant.TimeToFirstToken()).After(q.latestPlacement(grace))
}

// stoppingRefusal returns the refusal of a request that a stopping server can't finish.
func (q *request) stoppingRefusal() *Refusal {
	retryAfter := defaultRetryAfter
	if grace, stopping := q.server.grace.current(); stopping {
		retryAfter = grace.retryAfter()
	}
	return NewRefusal(dispatch.ReasonStopping, retryAfter)
}

// isStopping reports whether a step of the request failed because the server stops.
func isStopping(ctx context.Context, err error) bool {
	return errors.Is(err, errStopping) || errors.Is(context.Cause(ctx), errStopping)
}
