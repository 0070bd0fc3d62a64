package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

const (
	// endMargin is left of the caller's time for the answer's way.
	endMargin = 20 * time.Millisecond
	// retryAfterUnready is when to come back while nothing is known yet.
	retryAfterUnready = 300 * time.Millisecond
	// maxSends bounds the sends of one request that did not run.
	maxSends = 4
	// usualTime bounds a request for which neither caller nor route states a time.
	usualTime = 30 * time.Second
)

// request is one request of a caller, from its header to its answer's end.
type request struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	began  time.Time

	id      string
	order   RequestMetadata
	table   *routing.Table
	route   routing.Route
	account routing.Account
	service routing.Service
	out     upstream.Request
	limit   time.Time

	sends    int
	ran      int
	exclude  []string
	first    time.Time
	lastSent dispatch.Grant
	wrote    bool
	kept     *keptAnswer
	events   events
}

// serve answers the request and logs what became of it.
func (q *request) serve() {
	taken := int64(0)
	defer func() { q.server.bodies.give(taken) }()
	if !q.accept() {
		return
	}
	limits := q.table.Limits()
	body, held, err := q.server.bodies.read(q.r, limits.BodyBytes())
	taken = held
	if err != nil {
		q.rejectBody(err)
		return
	}
	target := q.r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = q.r.URL.RequestURI()
	}
	q.out = upstream.NewRequest(q.order.attempt, q.r.Method, target, q.r.Host, q.r.Header, body)
	ctx, cancel := context.WithDeadline(q.r.Context(), q.limit)
	defer cancel()
	q.attempt(ctx)
}

// accept finds the route and the account, and answers what is not allowed.
func (q *request) accept() bool {
	order, err := q.server.headers.DecodeRequest(q.r.Header)
	q.order = order
	q.id = order.attempt
	q.table = q.server.views.View().Table()
	if q.table == nil {
		q.refuse("no_configuration", retryAfterUnready)
		return false
	}
	if err != nil {
		q.invalid(http.StatusBadRequest, err.Error())
		return false
	}
	if most := q.table.Limits().HeaderBytes(); most > 0 && headerSize(q.r) > most {
		q.invalid(http.StatusRequestHeaderFieldsTooLarge, "header over the limit")
		return false
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = q.r.URL.EscapedPath()
	}
	route, ok := q.table.Match(hostName(q.r.Host), path)
	if !ok {
		q.invalid(http.StatusNotFound, "no route")
		return false
	}
	q.route = route
	if !route.Public() && q.table.Authenticates() {
		account, ok := q.table.Account(order.key)
		if !ok {
			q.invalid(http.StatusUnauthorized, "unknown key")
			return false
		}
		q.account = account
	}
	q.limit = q.timeLimit()
	q.service, _ = q.table.Service(route.Pick(rand.Float64()))
	return true
}

// timeLimit returns when the request must have its answer.
func (q *request) timeLimit() time.Time {
	left := usualTime
	if q.order.limited {
		left = q.order.timeLeft - endMargin
	}
	if timeout := q.route.Timeout(); timeout > 0 {
		left = min(left, timeout-endMargin)
	}
	return q.began.Add(left)
}

// attempt sends the request until it has an answer, may not be sent again, or its time is over.
func (q *request) attempt(ctx context.Context) {
	for {
		q.sends++
		grant, err := q.acquire(ctx)
		if err != nil {
			q.giveUp(ctx, err)
			return
		}
		outcome, err := q.send(ctx, grant)
		if mayHaveRun(outcome) {
			q.ran++
		}
		q.server.scheduler.Ended(q.service.Name(), grant.ID(), outcome)
		if err == nil {
			q.log("served", "outcome", string(outcome))
			q.record(ResultServed)
			return
		}
		q.server.log.Info("send failed", "id", q.id, "send", q.sends, "server", grant.Server(), "outcome", string(outcome), "error", err)
		q.exclude = append(q.exclude, grant.Server())
		if ctx.Err() != nil || !q.mayRepeat(outcome) {
			q.giveUp(ctx, err)
			return
		}
	}
}

// mayHaveRun reports whether a server may have run a request that ended so.
func mayHaveRun(outcome dispatch.Outcome) bool {
	switch outcome {
	case dispatch.OutcomeUnreachable, dispatch.OutcomeRejected, dispatch.OutcomeReplaced:
		return false
	default:
		return true
	}
}

// mayRepeat reports whether the request may be sent once more after an outcome.
func (q *request) mayRepeat(outcome dispatch.Outcome) bool {
	switch outcome {
	case dispatch.OutcomeUnreachable:
		return q.sends < maxSends
	case dispatch.OutcomeRejected, dispatch.OutcomeReplaced:
		if q.sends >= maxSends {
			return false
		}
	default:
		if !q.route.Repeatable() || q.ran >= q.route.MaxAttempts() {
			return false
		}
	}
	return q.server.budget.repeat(q.server.timers.Now(), q.service.Name(), q.server.views.Entries())
}

// acquire asks for a place on a server that may still be used when it is granted.
func (q *request) acquire(ctx context.Context) (dispatch.Grant, error) {
	for try := 0; ; try++ {
		want := q.want()
		grant, err := q.server.scheduler.Acquire(ctx, want)
		if err != nil {
			return grant, err
		}
		q.server.log.Info("placed", "id", q.id, "send", q.sends, "service", q.service.Name(), "server", grant.Server(),
			"helpers", helperIDs(grant), "prompt", want.Prompt(), "expected", grant.TimeToFirstToken(), "waited", grant.Waited(), "why", grant.Explanation(),
			"revision", q.server.views.View().Revision())
		if q.usable(grant) {
			return grant, nil
		}
		q.server.scheduler.Ended(q.service.Name(), grant.ID(), dispatch.OutcomeCancelled)
		if try >= maxSends {
			return grant, NewRefusal(dispatch.ReasonNoServer, retryAfterUnready)
		}
		q.exclude = append(q.exclude, grant.Server())
	}
}

// helperIDs returns the ids of a grant's helpers, separated by commas.
func helperIDs(grant dispatch.Grant) string {
	var ids []string
	for _, helper := range grant.PrefillWorkers() {
		ids = append(ids, helper.Server())
	}
	return strings.Join(ids, ",")
}

// usable reports whether all servers of a grant may still get work.
func (q *request) usable(grant dispatch.Grant) bool {
	view := q.server.views.View()
	return view.Usable(grant.Server()) && !slices.ContainsFunc(grant.PrefillWorkers(), func(h dispatch.PrefillWorker) bool {
		return !view.Usable(h.Server())
	})
}

func (q *request) want() dispatch.Request {
	n := q.server.serial.Add(1)
	rank := q.account.Priority()
	if rank < 0 || q.account.Name() == "" {
		rank = q.route.Priority()
	}
	answer := q.order.answer
	if engine := q.service.Engine(); engine != nil && answer <= 0 {
		answer = engine.MeanAnswer()
	}
	return dispatch.NewRequest(q.id+"/"+strconv.FormatUint(n, 36), q.service.Name()).
		WithTokens(q.order.prompt, answer).
		WithPriority(rank).
		WithTimes(q.began, q.began.Add(q.route.Objective()), q.limit).
		WithFirstTokenDeadline(q.firstBy()).
		WithMaxTokenInterval(q.route.TokenIntervalObjective()).
		WithExclude(q.exclude...)
}

// firstBy returns when the caller leaves if no event has come.
func (q *request) firstBy() time.Time {
	if q.route.Kind() != routing.KindStream {
		return q.limit
	}
	bears := routing.CallerTimeout(q.route.Objective(), q.route.TokenIntervalObjective())
	from := q.began
	if q.events.count > 0 {
		from = q.events.at
	}
	if by := from.Add(bears); by.Before(q.limit) {
		return by
	}
	return q.limit
}

// giveUp gives the final answer of a request that no server answered.
func (q *request) giveUp(ctx context.Context, err error) {
	if q.r.Context().Err() != nil {
		q.log("caller left", "error", err)
		q.record(ResultCallerGone)
		panic(http.ErrAbortHandler)
	}
	if q.wrote {
		q.log("answer cut", "error", err, "after_event", q.events.last)
		q.record(ResultTruncated)
		panic(http.ErrAbortHandler)
	}
	if q.kept != nil {
		q.kept.write(q.w)
		q.log("served", "outcome", "failure of the server", "status", q.kept.status)
		q.record(ResultServed)
		return
	}
	if q.ran > 0 {
		status := http.StatusBadGateway
		if ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		q.log("outcome unknown", "error", err, "status", status)
		q.record(ResultUnknown)
		q.fail(status, "the request may have run")
		return
	}
	comeBack := retryAfterUnready
	reason := err.Error()
	var refusal *Refusal
	if errors.As(err, &refusal) {
		comeBack, reason = refusal.retryAfter, string(refusal.reason)
	}
	q.refuse(reason, comeBack)
}

// refuse answers that the request has not run and when to come back.
func (q *request) refuse(reason string, comeBack time.Duration) {
	q.w.Header().Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 2, 64))
	q.log("refused", "reason", reason, "come_back", comeBack)
	q.record(ResultRefused)
	q.fail(http.StatusServiceUnavailable, "not run: "+reason)
}

// invalid answers that the request is not allowed.
func (q *request) invalid(status int, reason string) {
	q.log("invalid", "status", status, "reason", reason, "host", q.r.Host, "target", q.r.RequestURI)
	q.record(ResultInvalid)
	q.fail(status, reason)
}

func (q *request) fail(status int, text string) {
	http.Error(q.w, text, status)
}

func (q *request) rejectBody(err error) {
	switch {
	case errors.Is(err, errTooLarge):
		q.w.Header().Set("Connection", "close")
		q.invalid(http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, errNoMemory):
		q.w.Header().Set("Connection", "close")
		q.refuse("no memory for the body", retryAfterUnready)
	default:
		q.log("caller left", "error", err)
		q.record(ResultCallerGone)
		panic(http.ErrAbortHandler)
	}
}

// log writes the line of the request's end.
func (q *request) log(what string, pairs ...any) {
	version := int64(0)
	if q.table != nil {
		version = q.table.Version()
	}
	line := []any{"id", q.id, "route", q.route.Name(), "account", q.account.Name(), "service", q.service.Name(),
		"version", version, "sends", q.sends, "server", q.lastSent.Server(), "took", q.server.timers.Now().Sub(q.began)}
	if !q.first.IsZero() {
		line = append(line, "first", q.first.Sub(q.began))
	}
	if q.events.count > 0 {
		line = append(line, "events", q.events.count, "longest_pause", q.events.longest)
	}
	q.server.log.Info(what, append(line, pairs...)...)
}

func (q *request) record(result Result) {
	first := time.Duration(0)
	if !q.first.IsZero() {
		first = q.first.Sub(q.began)
	}
	q.server.recorder.Ended(q.route.Kind(), result, first, q.server.timers.Now().Sub(q.began))
}
