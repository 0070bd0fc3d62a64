package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
)

func TestCallIsForwardedUnchanged(t *testing.T) {
	backend := newBackend(qt.New(t), fullResponse(201, "filed"))
	b := newTestbed(t, backend)
	response, body, err := b.do(b.request("POST", "/once/x//y?z=%2f", "stove"))
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(response.StatusCode, qt.Equals, 201)
	b.c.Assert(response.Header.Get("Seal"), qt.Equals, "s")
	b.c.Assert(body, qt.Equals, "filed")
	b.c.Assert(backend.seen(), qt.DeepEquals, []string{"POST /once/x//y?z=%2f account=team after= body=stove"})
	b.c.Assert(b.scheduler.outcomes, qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeComplete})
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	backend := newBackend(qt.New(t), fullResponse(200, "x"))
	b := newTestbed(t, backend)
	for _, test := range []struct {
		change func(r *http.Request)
		status int
	}{
		{func(r *http.Request) { r.URL.Path = "/none/" }, http.StatusNotFound},
		{func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		{func(r *http.Request) { r.Header.Set("Key", "unknown") }, http.StatusUnauthorized},
		{func(r *http.Request) { r.Header.Del("Key") }, http.StatusUnauthorized},
		{func(r *http.Request) { r.Header.Set("Left", "soon") }, http.StatusBadRequest},
		{func(r *http.Request) { r.Header.Set("More", strings.Repeat("x", 1990)) }, http.StatusRequestHeaderFieldsTooLarge},
		{func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001)))
			r.ContentLength = -1
		}, http.StatusRequestEntityTooLarge},
		{func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001)))
			r.ContentLength = 1001
		}, http.StatusRequestEntityTooLarge},
	} {
		r := b.request("POST", "/once/", "")
		test.change(r)
		response, _, _ := b.do(r)
		b.c.Assert(response.StatusCode, qt.Equals, test.status)
	}
	b.c.Assert(backend.seen(), qt.HasLen, 0)
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	backend := newBackend(qt.New(t), fullResponse(200, "x"))
	b := newTestbed(t, backend)
	r := b.request("POST", "/public/", "")
	r.Header.Del("Key")
	response, _, _ := b.do(r)
	b.c.Assert(response.StatusCode, qt.Equals, 200)
}

func TestChunkedBodyIsForwarded(t *testing.T) {
	backend := newBackend(qt.New(t), fullResponse(200, "x"))
	b := newTestbed(t, backend)
	r := b.request("POST", "/once/", "")
	r.Body = io.NopCloser(strings.NewReader(strings.Repeat("y", 1000)))
	r.ContentLength = -1
	response, _, _ := b.do(r)
	b.c.Assert(response.StatusCode, qt.Equals, 200)
	b.c.Assert(backend.seen()[0], qt.Contains, strings.Repeat("y", 1000))
}

func TestNoConfigurationIsRefused(t *testing.T) {
	c := qt.New(t)
	b := newTestbedWithTable(c, nil)
	r := b.request("POST", "/once/", "")
	r.Header.Set("Left", "200ms")
	start := time.Now()
	response, _, _ := b.do(r)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.30")
	c.Assert(time.Since(start) < 200*time.Millisecond, qt.IsTrue) // the caller has time for a retry

	// Pattern: all entries restart while the store is away. Callers have few retries,
	// so they are told to come back when the outage may be over.
	b.storeAway = true
	response, _, _ = b.do(r)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "2.00")
}

// A request that arrives shortly before the first configuration is served.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	c := qt.New(t)
	b := newTestbedWithTable(c, nil, newBackend(c, fullResponse(200, "late")))
	time.AfterFunc(60*time.Millisecond, func() {
		servers := map[string]routing.Server{"s1": routing.NewServer("s1", "desk", "", "a", 6)}
		b.view.Store(routing.NewView(routing.NewRevision(0, 2), testTable(), servers, nil))
	})
	r := b.request("POST", "/once/", "")
	r.Header.Set("Left", "2s")
	response, body, _ := b.do(r)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, "late")
}

func TestRefusalSetsRetryAfter(t *testing.T) {
	b := newTestbed(t)
	response, body, _ := b.do(b.request("POST", "/once/", ""))
	b.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	b.c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.70")
	b.c.Assert(body, qt.Equals, "not run: busy\n")
}

// A non-idempotent call must run at most once: it is retried only if the server
// states that it did not run.
func TestNonIdempotentCallIsRetriedOnlyIfNotRun(t *testing.T) {
	c := qt.New(t)
	first, second := newBackend(c, refused), newBackend(c, fullResponse(200, "granted"))
	b := newTestbed(t, first, second)
	response, body, _ := b.do(b.request("POST", "/once/", ""))
	c.Assert(response.StatusCode, qt.Equals, 200)
	c.Assert(body, qt.Equals, "granted")

	for name, step := range map[string]string{
		"closed":  "",
		"garbled": "no answer\r\n\r\n",
		"cut":     "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\ncut",
		"other":   "HTTP/1.1 200 OK\r\nId: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	} {
		ran, other := newBackend(c, step), newBackend(c, fullResponse(200, "twice"))
		b := newTestbed(t, ran, other)
		response, _, _ := b.do(b.request("POST", "/once/", ""))
		c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf(name))
		c.Assert(other.seen(), qt.HasLen, 0, qt.Commentf(name))
	}
}

// A refusal states that a call has not run, so a call that a server may have run
// must not be refused when its retry finds no server.
func TestCallThatMayHaveRunIsNotRefused(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, ""))
	response, _, _ := b.do(b.request("GET", "/again/", ""))
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

func TestServerErrorIsRetriedElsewhere(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, fullResponse(500, "bad")), newBackend(c, fullResponse(200, "good")))
	_, body, _ := b.do(b.request("GET", "/again/", ""))
	c.Assert(body, qt.Equals, "good")
	// Without another server the error response itself is forwarded.
	b = newTestbed(t, newBackend(c, fullResponse(500, "bad")))
	response, body, _ := b.do(b.request("GET", "/again/", ""))
	c.Assert(response.StatusCode, qt.Equals, 500)
	c.Assert(response.Header.Get("Seal"), qt.Equals, "s")
	c.Assert(body, qt.Equals, "bad")
}

func TestSilentServerIsRetriedElsewhere(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, hang), newBackend(c, fullResponse(200, "good")))
	r := b.request("GET", "/again/", "")
	r.Header.Set("Left", "400ms")
	_, body, _ := b.do(r)
	c.Assert(body, qt.Equals, "good")
	c.Assert(b.scheduler.outcomes, qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeStalled, dispatch.OutcomeComplete})
}

func TestTimeoutAfterSendIsGatewayTimeout(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, hang))
	r := b.request("POST", "/once/", "")
	r.Header.Set("Left", "100ms")
	response, _, _ := b.do(r)
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
}

func TestCallerDisconnectCancelsSend(t *testing.T) {
	c := qt.New(t)
	backend := newBackend(c, hang)
	b := newTestbed(t, backend)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for len(backend.seen()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := http.DefaultClient.Do(b.request("POST", "/once/", "").WithContext(ctx))
	c.Assert(err, qt.ErrorIs, context.Canceled)
	for {
		b.scheduler.mu.Lock()
		outcomes := b.scheduler.outcomes
		b.scheduler.mu.Unlock()
		if len(outcomes) > 0 {
			c.Assert(outcomes, qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeCancelled})
			return
		}
		time.Sleep(time.Millisecond)
	}
}

const threeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

func TestStreamIsForwarded(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, streamResponse(threeEvents, true)))
	response, body, err := b.do(b.request("POST", "/stream/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(response.Header.Get("Content-Type"), qt.Equals, "text/event-stream")
	c.Assert(body, qt.Equals, threeEvents)
}

// A stream that is cut off, also within an event, resumes at another server after
// the last complete event, without missing or repeated events.
func TestStreamResumesElsewhere(t *testing.T) {
	c := qt.New(t)
	for _, cut := range []string{"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\nid: 2\ndata: b\n"} {
		for _, ended := range []bool{false, true} {
			if ended && strings.HasSuffix(cut, "\n\n") {
				continue // a whole stream of one event
			}
			second := newBackend(c, streamResponse(threeEvents[strings.Index(threeEvents, "id: 2"):], true))
			b := newTestbed(t, newBackend(c, streamResponse(cut, ended)), second)
			_, body, err := b.do(b.request("POST", "/stream/", ""))
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, threeEvents)
			c.Assert(second.seen()[0], qt.Contains, "after=1")
		}
	}
}

func TestDuplicateEventsAreDropped(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, streamResponse("id: 1\ndata: a\n\n", false)), newBackend(c, streamResponse(threeEvents, true)))
	_, body, err := b.do(b.request("POST", "/stream/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
}

// A caller must be able to tell a truncated stream from a complete one.
func TestTruncatedStreamIsAborted(t *testing.T) {
	c := qt.New(t)
	other := newBackend(c, streamResponse(threeEvents, true))
	b := newTestbed(t, newBackend(c, streamResponse("id: 1\ndata: a\n\n", false)), other)
	_, body, err := b.do(b.request("POST", "/stream/fixed/", ""))
	c.Assert(err, qt.IsNotNil)
	c.Assert(body, qt.Equals, "id: 1\ndata: a\n\n")
	c.Assert(other.seen(), qt.HasLen, 0)
}

func TestCallerResumesStream(t *testing.T) {
	c := qt.New(t)
	backend := newBackend(c, streamResponse("id: 3\ndata: c\n\n", true))
	b := newTestbed(t, backend)
	r := b.request("POST", "/stream/", "")
	r.Header.Set("After", "2")
	_, body, err := b.do(r)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "id: 3\ndata: c\n\n")
	c.Assert(backend.seen()[0], qt.Contains, "after=2")
}

// All entries together must stay within the budget: each uses its part of the
// slack and the ratio of its own first sends.
func TestRetriesStayWithinBudget(t *testing.T) {
	c := qt.New(t)
	var limiter retryLimiter
	limiter.budget = NewRetryBudget(0.2, 100, 10*time.Second)
	now := time.Unix(1000, 0)
	count := func(entries int) int {
		n := 0
		for limiter.allowRetry(now, "desk", entries) {
			n++
		}
		return n
	}
	c.Assert(count(10), qt.Equals, 7)
	for range 100 {
		limiter.recordFirstSend(now, "desk")
	}
	c.Assert(count(10), qt.Equals, 14)
	now = now.Add(10 * time.Second)
	c.Assert(count(10), qt.Equals, 7)
	c.Assert(limiter.allowRetry(now, "other", 10), qt.IsTrue)
}

// waitForRelease waits until nothing is reserved; the test's timeout bounds it.
func (b *testbed) waitForRelease() {
	for b.reserver.count() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// KV memory must be released whether the response is complete, cut off or a refusal.
func TestReservationsAreReleased(t *testing.T) {
	c := qt.New(t)
	for name, step := range map[string]string{"whole": streamResponse(threeEvents, true), "cut": "", "refused": refused} {
		backend := newBackend(c, step)
		b := newTestbed(t, backend)
		b.scheduler.workers = []dispatch.PrefillWorker{dispatch.NewPrefillWorker("s1", "10.0.0.1:1", 5000), dispatch.NewPrefillWorker("s1", "10.0.0.2:1", 0)}
		_, _, _ = b.do(b.request("POST", "/stream/fixed/", ""))
		c.Assert(backend.seen(), qt.HasLen, 1, qt.Commentf(name))
		b.waitForRelease()
	}
}

func TestFailedReservationIsNotRun(t *testing.T) {
	c := qt.New(t)
	backend := newBackend(c, streamResponse(threeEvents, true))
	b := newTestbed(t, backend)
	b.reserver.failAddress = "10.0.0.2:1"
	b.scheduler.workers = []dispatch.PrefillWorker{dispatch.NewPrefillWorker("s1", "10.0.0.1:1", 5000), dispatch.NewPrefillWorker("s1", "10.0.0.2:1", 5000)}
	response, _, _ := b.do(b.request("POST", "/stream/", ""))
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(backend.seen(), qt.HasLen, 0)
	b.waitForRelease()
}

// An entry that crashes can't release its reservations, so they must expire
// within the time that memory may stay unused, and be renewed while in use.
func TestReservationExpiresUnlessRenewed(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, hang))
	b.scheduler.workers = []dispatch.PrefillWorker{dispatch.NewPrefillWorker("s1", "10.0.0.1:1", 5000)}
	r := b.request("POST", "/once/", "")
	r.Header.Set("Left", "400ms")
	_, _, _ = b.do(r)
	b.waitForRelease()
	b.reserver.mu.Lock()
	defer b.reserver.mu.Unlock()
	c.Assert(b.reserver.longestHold < 100*time.Millisecond, qt.IsTrue)
	c.Assert(b.reserver.reserveCalls > 1, qt.IsTrue)
}

// Guards against LEAK: the renewal of a reservation that is on its way as the request ends
// arrives after the release, and reserves the memory again.
func TestReservationIsReleasedAfterRenewal(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, hang))
	b.reserver.renewalTime = 150 * time.Millisecond // renewals are due each 41 ms
	b.scheduler.workers = []dispatch.PrefillWorker{dispatch.NewPrefillWorker("s1", "10.0.0.1:1", 5000)}
	r := b.request("POST", "/once/", "")
	r.Header.Set("Left", "120ms")
	_, _, _ = b.do(r)
	time.Sleep(400 * time.Millisecond)
	c.Assert(b.reserver.count(), qt.Equals, 0)
}

// Guards against LOST: a prefill worker that is silent as its reservation is renewed keeps
// it, since the renewal is repeated well before it expires.
func TestFailedRenewalIsRepeatedSoon(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, hang))
	b.server.reservationHold = 2 * time.Second
	b.reserver.failCalls = 3
	b.scheduler.workers = []dispatch.PrefillWorker{dispatch.NewPrefillWorker("s1", "10.0.0.1:1", 5000)}
	r := b.request("POST", "/once/", "")
	r.Header.Set("Left", "1300ms") // less than two renewals
	_, _, _ = b.do(r)
	b.waitForRelease()
	b.reserver.mu.Lock()
	defer b.reserver.mu.Unlock()
	c.Assert(b.reserver.failCalls, qt.Equals, 0)
	c.Assert(b.reserver.reserveCalls, qt.Equals, 1+3+1)
}

// A stream that is cut off before its first event must leave no header of its
// server in the error that the caller gets, nor in the next server's response.
func TestFailedStreamForwardsNoServerHeader(t *testing.T) {
	c := qt.New(t)
	tagged := strings.Replace(streamResponse("id: 1\nda", false), "Content-Type", "Seal: first\r\nContent-Type", 1)
	b := newTestbed(t, newBackend(c, tagged))
	response, _, _ := b.do(b.request("POST", "/stream/fixed/", ""))
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(response.Header.Get("Seal"), qt.Equals, "")

	b = newTestbed(t, newBackend(c, tagged), newBackend(c, streamResponse(threeEvents, true)))
	response, body, err := b.do(b.request("POST", "/stream/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
	c.Assert(response.Header.Get("Seal"), qt.Equals, "")
}

// What a caller is told names no server: addresses are for the logs.
func TestRefusalNamesNoServer(t *testing.T) {
	c := qt.New(t)
	gone := newBackend(c, refused)
	b := newTestbed(t, gone)
	response, body, _ := b.do(b.request("POST", "/once/", ""))
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body, qt.Not(qt.Contains), gone.address)

	unreachable := &backend{address: "127.0.0.1:1"}
	b = newTestbed(t, unreachable, unreachable, unreachable, unreachable)
	response, body, _ = b.do(b.request("POST", "/once/", ""))
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body, qt.Equals, "not run: no server took the request\n")
}
