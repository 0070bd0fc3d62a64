package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/http1"
	"greengagedock.example/quarantine"
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

const (
	// responseMargin is subtracted from the caller's time left, for the transfer of the response.
	responseMargin = 20 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a refusal that states no time, such
	// as before the first configuration arrived.
	defaultRetryAfter = 300 * time.Millisecond
	// storeAwayRetryAfter is the Retry-After before the first configuration while the
	// store is away: outages last for seconds, and callers retry only a few times.
	storeAwayRetryAfter = 2 * time.Second
	// A request waits for the first configuration for configurationWaitFraction of its
	// time, and no longer than maxConfigurationWait: callers of streams disconnect
	// after two seconds without an event.
	configurationWaitFraction = 0.25
	maxConfigurationWait      = 1500 * time.Millisecond
	configurationPollInterval = 20 * time.Millisecond
	// reasonNotTaken is the reason of a refusal after servers were asked; the log says
	// which ones, and how each send failed.
	reasonNotTaken = "no server took the request"
	// maxSends bounds the sends and placements of one request while no server has run it.
	maxSends = 4
	// defaultTimeout applies to a request if neither its caller nor its route sets a timeout.
	defaultTimeout = 30 * time.Second
)

// request is one request of a caller, from its header to the end of its response.
type request struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	start  time.Time

	id       string
	metadata RequestMetadata
	table    *routing.Table
	route    routing.Route
	account  routing.Account
	service  routing.Service
	outgoing upstream.Request
	// bodyMemory is what is reserved for the body in bytes, until the request ends.
	bodyMemory int64
	// answer is the memory of the responses of servers.
	answer   answer
	deadline time.Time
	parts    []quarantine.Part
	// fingerprint identifies what comes again if a caller repeats the request.
	fingerprint quarantine.Fingerprint

	firstResponse time.Time
	lastGrant     dispatch.Grant
	wroteHeader   bool
	// streamType is the type of the stream whose header the caller has, "" if it states none.
	streamType string
	// committed is set once a part of a response that can't be resumed was forwarded.
	committed bool

	backups sync.WaitGroup
	// mu guards the fields below while a backup attempt may be open.
	mu       sync.Mutex
	sends    int
	ran      int // sends after which a server may have run the request
	exclude  []string
	buffered *bufferedResponse // the last server error, forwarded if no retry succeeds
	stream   streamPosition
	current  *attempt // the attempt whose response is forwarded, nil between attempts
	backup   *backup
}

// serve answers the request, and logs and records its result.
func (q *request) serve() {
	defer func() { q.server.bodyMemory.release(q.bodyMemory) }()
	defer q.answer.release()
	if !q.accept() {
		return
	}
	body, ok := q.readBody()
	if !ok || !q.received() {
		return
	}
	target := q.r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = q.r.URL.RequestURI()
	}
	q.fingerprint = quarantine.NewFingerprint(q.account.Name(), q.r.Method, hostName(q.r.Host), target, q.metadata.prompt, body)
	q.outgoing = upstream.NewRequest(q.metadata.attemptID, q.r.Method, target, q.r.Host, q.r.Header, body)
	ctx, cancel := q.limitToGrace(q.r.Context())
	defer cancel()
	ctx, cancelDeadline := context.WithDeadline(ctx, q.deadline)
	defer cancelDeadline()
	q.sendWithRetries(ctx)
}

// received records that the request has arrived as a whole. If its connection was closed, or
// too many requests are open, it ends the request and reports false.
func (q *request) received() bool {
	switch err := q.server.clients.Received(q.r); {
	case err == nil:
		return true
	case errors.Is(err, http1.ErrClosed):
		q.callerDisconnected(err)
	default:
		q.w.Header().Set("Connection", "close")
		q.refuse(err.Error(), defaultRetryAfter)
	}
	return false
}

// accept sets the route, account, service and deadline. If the request is
// refused or not allowed, it writes the response and reports false.
func (q *request) accept() bool {
	metadata, err := q.server.headers.DecodeRequest(q.r.Header)
	q.metadata = metadata
	q.id = metadata.attemptID
	q.table = q.awaitConfiguration()
	if q.table == nil {
		retryAfter := defaultRetryAfter
		if q.server.views.StoreAway() {
			retryAfter = storeAwayRetryAfter
		}
		q.refuse("no_configuration", retryAfter)
		return false
	}
	if err != nil {
		q.reject(http.StatusBadRequest, err.Error())
		return false
	}
	if limit := q.table.Limits().HeaderBytes(); limit > 0 && headerSize(q.r) > limit {
		q.reject(http.StatusRequestHeaderFieldsTooLarge, "header over the limit")
		return false
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = q.r.URL.EscapedPath()
	}
	route, ok := q.table.Match(hostName(q.r.Host), path)
	if !ok {
		q.reject(http.StatusNotFound, "no route")
		return false
	}
	q.route = route
	if !route.Public() && q.table.Authenticates() {
		account, ok := q.table.Account(metadata.apiKey)
		if !ok {
			q.reject(http.StatusUnauthorized, "unknown key")
			return false
		}
		q.account = account
	}
	for _, id := range metadata.sharedParts {
		q.parts = append(q.parts, quarantine.ParsePart(id))
	}
	q.deadline = q.responseDeadline()
	q.service, _ = q.table.Service(route.Pick(rand.Float64()))
	return true
}

// awaitConfiguration returns the active configuration. An entry that has just started
// may get its first one any moment, and callers have few retries, so the request waits
// for a part of its time; nil is returned if there is none by then.
func (q *request) awaitConfiguration() *routing.Table {
	table := q.server.views.View().Table()
	if table != nil {
		return table
	}
	left := defaultTimeout
	if q.metadata.hasTimeLeft {
		left = q.metadata.timeLeft
	}
	end := q.start.Add(min(maxConfigurationWait, time.Duration(configurationWaitFraction*float64(left))))
	tick := q.server.timers.Every(configurationPollInterval)
	defer tick.Stop()
	for table == nil && q.server.timers.Now().Before(end) {
		select {
		case <-tick.C():
			table = q.server.views.View().Table()
		case <-q.r.Context().Done():
			return nil
		}
	}
	return table
}

// responseDeadline returns the time by which the response must be complete.
func (q *request) responseDeadline() time.Time {
	left := defaultTimeout
	if q.metadata.hasTimeLeft {
		left = q.metadata.timeLeft - responseMargin
	}
	if timeout := q.route.Timeout(); timeout > 0 {
		left = min(left, timeout-responseMargin)
	}
	return q.start.Add(left)
}

// sendWithRetries sends the request until a response was forwarded, no retry is
// allowed, or the deadline has passed.
func (q *request) sendWithRetries(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer q.endAttempts() // also if the handler panics
	for a := (*attempt)(nil); ; {
		if a == nil {
			var err error
			if a, err = q.place(ctx); err != nil {
				q.giveUp(ctx, err)
				return
			}
		}
		outcome, err := q.forward(a)
		a.close(outcome)
		if err == nil {
			q.endAttempts()
			q.logEnd("served", "outcome", string(outcome))
			q.recordResult(ResultServed)
			return
		}
		q.recordFailure(a, outcome, err)
		if a = q.awaitBackup(ctx); a != nil {
			continue
		}
		if ctx.Err() != nil || q.committed || !q.mayRetry(outcome) {
			q.giveUp(ctx, err)
			return
		}
	}
}

// place returns an attempt at the server that the scheduler chooses.
func (q *request) place(ctx context.Context) (*attempt, error) {
	q.mu.Lock()
	q.sends++
	a := q.newAttempt(ctx)
	q.mu.Unlock()
	if err := a.acquire(); err != nil {
		a.cancel(nil)
		return nil, err
	}
	return a, nil
}

// recordFailure records an attempt whose response could not be forwarded.
func (q *request) recordFailure(a *attempt, outcome dispatch.Outcome, err error) {
	q.logFailure(a, outcome, err)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.countFailure(a, outcome)
}

func (q *request) logFailure(a *attempt, outcome dispatch.Outcome, err error) {
	q.server.log.Info("send failed", "id", q.id, "send", a.number, "server", a.grant.Server(), "outcome", string(outcome),
		"parts", strings.Join(q.metadata.sharedParts, ","), "fingerprint", q.fingerprint, "error", err)
}

// countFailure counts a failed attempt; q.mu must be held.
func (q *request) countFailure(a *attempt, outcome dispatch.Outcome) {
	if mayHaveRun(outcome) {
		q.ran++
	}
	if a.body != nil && a.body.status >= http.StatusInternalServerError {
		q.buffered = a.body
	}
	if outcome == dispatch.OutcomeWithdrawn {
		q.exclude = append(q.exclude, q.unusable(a.grant)...)
		return
	}
	q.exclude = append(q.exclude, a.grant.Server())
}

// mayHaveRun reports whether a server may have run a request that ended with the outcome.
func mayHaveRun(outcome dispatch.Outcome) bool {
	switch outcome {
	case dispatch.OutcomeUnreachable, dispatch.OutcomeWithdrawn, dispatch.OutcomeRejected, dispatch.OutcomeReplaced:
		return false
	default:
		return true
	}
}

// mayRetry reports whether the request may be sent again after the outcome. A
// request that was never sent does not count against the retry budget.
func (q *request) mayRetry(outcome dispatch.Outcome) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch outcome {
	case dispatch.OutcomeUnreachable, dispatch.OutcomeWithdrawn:
		return q.sends < maxSends && q.ran < q.route.MaxAttempts()
	case dispatch.OutcomeRejected, dispatch.OutcomeReplaced:
		if q.sends >= maxSends || q.ran >= q.route.MaxAttempts() {
			return false
		}
	default:
		if !q.route.Repeatable() || q.ran >= q.route.MaxAttempts() {
			return false
		}
	}
	return q.allowRetry()
}

// allowRetry reports whether another send is within the retry budget, and counts it if so.
func (q *request) allowRetry() bool {
	return q.server.retryLimiter.allowRetry(q.server.timers.Now(), q.service.Name(), q.server.views.Entries())
}

// workerIDs returns the ids of a grant's prefill workers, separated by commas.
func workerIDs(grant dispatch.Grant) string {
	var ids []string
	for _, worker := range grant.PrefillWorkers() {
		ids = append(ids, worker.Server())
	}
	return strings.Join(ids, ",")
}

// unusable returns the servers of a grant that take no new requests now.
func (q *request) unusable(grant dispatch.Grant) []string {
	view := q.server.views.View()
	now := q.server.timers.Now()
	return slices.DeleteFunc(grant.Servers(), func(id string) bool { return view.Accepts(id, now) })
}

// incarnation returns the published incarnation of a server.
func (q *request) incarnation(server string) routing.Incarnation {
	return q.server.views.View().Servers()[server].Incarnation()
}

// placementRequest returns the request for a placement; q.mu must be held.
func (q *request) placementRequest() dispatch.Request {
	n := q.server.requestSeq.Add(1)
	priority := q.account.Priority()
	if priority < 0 || q.account.Name() == "" {
		priority = q.route.Priority()
	}
	return dispatch.NewRequest(q.id+"/"+strconv.FormatUint(n, 36), q.service.Name()).
		WithTokens(q.metadata.promptTokens, q.answerTokens()).
		WithPriority(priority).
		WithTimes(q.start, q.start.Add(q.route.Objective()), q.deadline).
		WithFirstTokenDeadline(q.firstEventDeadline()).
		WithMaxTokenInterval(q.route.TokenIntervalObjective()).
		WithExclude(slices.Clone(q.exclude)...).
		WithParts(q.parts...).
		WithFingerprint(q.fingerprint).
		WithAccount(q.account.Name()).
		WithResumed(q.stream.count > 0)
}

// answerTokens returns the length of the answer that is expected.
func (q *request) answerTokens() int {
	if engine := q.service.Engine(); engine != nil && q.metadata.answerTokens <= 0 {
		return engine.MeanAnswer()
	}
	return q.metadata.answerTokens
}

// firstEventDeadline returns the time at which the caller disconnects if no event arrives.
func (q *request) firstEventDeadline() time.Time {
	if q.route.Kind() != routing.KindStream {
		return q.deadline
	}
	maxInterval := routing.CallerTimeout(q.route.Objective(), q.route.TokenIntervalObjective())
	from := q.start
	if q.stream.count > 0 {
		from = q.stream.lastAt
	}
	if by := from.Add(maxInterval); by.Before(q.deadline) {
		return by
	}
	return q.deadline
}

// giveUp answers a request whose last send failed or that could not be placed.
func (q *request) giveUp(ctx context.Context, err error) {
	q.endAttempts()
	if q.r.Context().Err() != nil {
		q.callerDisconnected(err)
	}
	if q.wroteHeader {
		q.logEnd("response truncated", "error", err, "after_event", q.stream.lastID)
		q.recordResult(ResultTruncated)
		_ = http.NewResponseController(q.w).Flush() // fails only if the caller has disconnected
		panic(http.ErrAbortHandler)
	}
	if q.buffered != nil {
		q.server.setClosing(q.w.Header())
		q.buffered.write(q.w, &q.answer)
		q.logEnd("served", "outcome", "server error", "status", q.buffered.status)
		q.recordResult(ResultServed)
		return
	}
	if q.ran > 0 {
		status := http.StatusBadGateway
		if ctx.Err() != nil && !isStopping(ctx, err) {
			status = http.StatusGatewayTimeout
		}
		q.logEnd("outcome unknown", "error", err, "status", status)
		q.recordResult(ResultUnknown)
		q.writeError(status, "the request may have run")
		return
	}
	retryAfter := defaultRetryAfter
	reason, why := reasonNotTaken, ""
	if isStopping(ctx, err) {
		err = q.stoppingRefusal()
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		retryAfter, reason, why = refusal.retryAfter, string(refusal.reason), refusal.explanation
	} else if until, ok := q.server.views.View().AllRefuseUntil(q.service.Name(), q.server.timers.Now()); ok {
		retryAfter, reason = dispatch.ReturnAfter(q.id, q.server.timers.Now(), until), string(dispatch.ReasonServersRefuse)
	}
	var pairs []any
	if why != "" {
		pairs = append(pairs, "why", why)
	}
	q.refuse(reason, retryAfter, pairs...)
}

// refuse answers that the request has not run, with the time after which to retry; pairs
// are added to the log line.
func (q *request) refuse(reason string, retryAfter time.Duration, pairs ...any) {
	q.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	q.logEnd("refused", append([]any{"reason", reason, "come_back", retryAfter}, pairs...)...)
	q.recordResult(ResultRefused)
	q.writeError(http.StatusServiceUnavailable, "not run: "+reason)
}

// reject answers that the request is invalid or not allowed.
func (q *request) reject(status int, reason string) {
	q.logEnd("invalid", "status", status, "reason", reason, "host", q.r.Host, "target", q.r.RequestURI)
	q.recordResult(ResultInvalid)
	q.writeError(status, reason)
}

func (q *request) writeError(status int, text string) {
	q.server.setClosing(q.w.Header())
	http.Error(q.w, text, status)
}

func (q *request) rejectBody(err error) {
	switch {
	case errors.Is(err, errTooLarge):
		q.w.Header().Set("Connection", "close")
		q.reject(http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, errStopping):
		refusal := q.stoppingRefusal()
		q.refuse(string(refusal.reason), refusal.retryAfter)
	case errors.Is(err, errNoMemory):
		q.w.Header().Set("Connection", "close")
		q.refuse("no memory for the body", defaultRetryAfter)
	case errors.Is(err, errBodyTimeout):
		q.w.Header().Set("Connection", "close")
		q.logEnd("refused", "reason", err.Error())
		q.recordResult(ResultRefused)
		q.writeError(http.StatusRequestTimeout, "not run: "+err.Error())
	default:
		q.callerDisconnected(err)
	}
}

// callerDisconnected ends a request without a response.
func (q *request) callerDisconnected(err error) {
	q.logEnd("caller disconnected", "error", err)
	q.recordResult(ResultCallerGone)
	panic(http.ErrAbortHandler)
}

// logEnd logs the end of the request with its result.
func (q *request) logEnd(message string, pairs ...any) {
	version := int64(0)
	if q.table != nil {
		version = q.table.Version()
	}
	line := []any{"id", q.id, "route", q.route.Name(), "account", q.account.Name(), "service", q.service.Name(),
		"version", version, "sends", q.sends, "server", q.lastGrant.Server(), "took", q.server.timers.Now().Sub(q.start)}
	if q.metadata.promptTokens > 0 {
		line = append(line, "prompt", q.metadata.promptTokens)
	}
	if !q.firstResponse.IsZero() {
		line = append(line, "first", q.firstResponse.Sub(q.start))
	}
	if q.stream.count > 0 {
		line = append(line, "events", q.stream.count, "longest_pause", q.stream.longestInterval)
	}
	q.server.log.Info(message, append(line, pairs...)...)
}

func (q *request) recordResult(result Result) {
	first := time.Duration(0)
	if !q.firstResponse.IsZero() {
		first = q.firstResponse.Sub(q.start)
	}
	q.server.recorder.Ended(q.route.Kind(), result, first, q.server.timers.Now().Sub(q.start))
}
