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
)

func TestCallIsPassedOnUnchanged(t *testing.T) {
	backend := newBackend(qt.New(t), whole(201, "filed"))
	b := newBed(t, backend)
	response, body, err := b.do(b.request("POST", "/once/x//y?z=%2f", "stove"))
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(response.StatusCode, qt.Equals, 201)
	b.c.Assert(response.Header.Get("Seal"), qt.Equals, "s")
	b.c.Assert(body, qt.Equals, "filed")
	b.c.Assert(backend.seen(), qt.DeepEquals, []string{"POST /once/x//y?z=%2f account=team after= body=stove"})
	b.c.Assert(b.slots.outcomes, qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeComplete})
}

func TestWhatIsNotAllowedRunsNowhere(t *testing.T) {
	backend := newBackend(qt.New(t), whole(200, "x"))
	b := newBed(t, backend)
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
	backend := newBackend(qt.New(t), whole(200, "x"))
	b := newBed(t, backend)
	r := b.request("POST", "/public/", "")
	r.Header.Del("Key")
	response, _, _ := b.do(r)
	b.c.Assert(response.StatusCode, qt.Equals, 200)
}

func TestBodyInChunksIsWhole(t *testing.T) {
	backend := newBackend(qt.New(t), whole(200, "x"))
	b := newBed(t, backend)
	r := b.request("POST", "/once/", "")
	r.Body = io.NopCloser(strings.NewReader(strings.Repeat("y", 1000)))
	r.ContentLength = -1
	response, _, _ := b.do(r)
	b.c.Assert(response.StatusCode, qt.Equals, 200)
	b.c.Assert(backend.seen()[0], qt.Contains, strings.Repeat("y", 1000))
}

func TestNothingKnownIsNotRun(t *testing.T) {
	c := qt.New(t)
	b := newBedOf(c, nil)
	response, _, _ := b.do(b.request("POST", "/once/", ""))
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.30")
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	b := newBed(t)
	response, body, _ := b.do(b.request("POST", "/once/", ""))
	b.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	b.c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.70")
	b.c.Assert(body, qt.Equals, "not run: busy\n")
}

// A call that runs at most once is sent again only after the server's word that it did not run.
func TestOnceIsSentAgainOnlyIfItDidNotRun(t *testing.T) {
	c := qt.New(t)
	first, second := newBackend(c, refused), newBackend(c, whole(200, "granted"))
	b := newBed(t, first, second)
	response, body, _ := b.do(b.request("POST", "/once/", ""))
	c.Assert(response.StatusCode, qt.Equals, 200)
	c.Assert(body, qt.Equals, "granted")

	for name, step := range map[string]string{
		"closed":  "",
		"garbled": "no answer\r\n\r\n",
		"cut":     "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\ncut",
		"other":   "HTTP/1.1 200 OK\r\nId: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	} {
		ran, other := newBackend(c, step), newBackend(c, whole(200, "twice"))
		b := newBed(t, ran, other)
		response, _, _ := b.do(b.request("POST", "/once/", ""))
		c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf(name))
		c.Assert(other.seen(), qt.HasLen, 0, qt.Commentf(name))
	}
}

// After a server may have run a call, no refusal may say that it has not run.
func TestRefusalAfterARunIsNotSaid(t *testing.T) {
	c := qt.New(t)
	b := newBed(t, newBackend(c, ""))
	response, _, _ := b.do(b.request("GET", "/again/", ""))
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

func TestFailureOfTheServerIsTriedElsewhere(t *testing.T) {
	c := qt.New(t)
	b := newBed(t, newBackend(c, whole(500, "bad")), newBackend(c, whole(200, "good")))
	_, body, _ := b.do(b.request("GET", "/again/", ""))
	c.Assert(body, qt.Equals, "good")
	// Without another server the failure itself is passed on.
	b = newBed(t, newBackend(c, whole(500, "bad")))
	response, body, _ := b.do(b.request("GET", "/again/", ""))
	c.Assert(response.StatusCode, qt.Equals, 500)
	c.Assert(response.Header.Get("Seal"), qt.Equals, "s")
	c.Assert(body, qt.Equals, "bad")
}

func TestSilentServerIsLeftForAnother(t *testing.T) {
	c := qt.New(t)
	b := newBed(t, newBackend(c, hang), newBackend(c, whole(200, "good")))
	r := b.request("GET", "/again/", "")
	r.Header.Set("Left", "400ms")
	_, body, _ := b.do(r)
	c.Assert(body, qt.Equals, "good")
	c.Assert(b.slots.outcomes, qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeStalled, dispatch.OutcomeComplete})
}

func TestTimeOverIsUnknownOnceSent(t *testing.T) {
	c := qt.New(t)
	b := newBed(t, newBackend(c, hang))
	r := b.request("POST", "/once/", "")
	r.Header.Set("Left", "100ms")
	response, _, _ := b.do(r)
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
}

func TestCallerThatLeavesEndsItsWork(t *testing.T) {
	c := qt.New(t)
	backend := newBackend(c, hang)
	b := newBed(t, backend)
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
		b.slots.mu.Lock()
		outcomes := b.slots.outcomes
		b.slots.mu.Unlock()
		if len(outcomes) > 0 {
			c.Assert(outcomes, qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeCancelled})
			return
		}
		time.Sleep(time.Millisecond)
	}
}

const threeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

func TestStreamIsPassedOn(t *testing.T) {
	c := qt.New(t)
	b := newBed(t, newBackend(c, streamed(threeEvents, true)))
	response, body, err := b.do(b.request("POST", "/stream/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(response.Header.Get("Content-Type"), qt.Equals, "text/event-stream")
	c.Assert(body, qt.Equals, threeEvents)
}

// A stream that breaks off, also within an event, goes on at another server
// after the last whole event: nothing is missing and nothing comes twice.
func TestStreamGoesOnElsewhere(t *testing.T) {
	c := qt.New(t)
	for _, cut := range []string{"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\nid: 2\ndata: b\n"} {
		for _, ended := range []bool{false, true} {
			if ended && strings.HasSuffix(cut, "\n\n") {
				continue // a whole stream of one event
			}
			second := newBackend(c, streamed(threeEvents[strings.Index(threeEvents, "id: 2"):], true))
			b := newBed(t, newBackend(c, streamed(cut, ended)), second)
			_, body, err := b.do(b.request("POST", "/stream/", ""))
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, threeEvents)
			c.Assert(second.seen()[0], qt.Contains, "after=1")
		}
	}
}

func TestEventsThatComeAgainAreDropped(t *testing.T) {
	c := qt.New(t)
	b := newBed(t, newBackend(c, streamed("id: 1\ndata: a\n\n", false)), newBackend(c, streamed(threeEvents, true)))
	_, body, err := b.do(b.request("POST", "/stream/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
}

// An answer that breaks off for good must not look whole.
func TestCutStreamDoesNotLookWhole(t *testing.T) {
	c := qt.New(t)
	other := newBackend(c, streamed(threeEvents, true))
	b := newBed(t, newBackend(c, streamed("id: 1\ndata: a\n\n", false)), other)
	_, body, err := b.do(b.request("POST", "/stream/fixed/", ""))
	c.Assert(err, qt.IsNotNil)
	c.Assert(body, qt.Equals, "id: 1\ndata: a\n\n")
	c.Assert(other.seen(), qt.HasLen, 0)
}

func TestStreamOfACallerThatResumes(t *testing.T) {
	c := qt.New(t)
	backend := newBackend(c, streamed("id: 3\ndata: c\n\n", true))
	b := newBed(t, backend)
	r := b.request("POST", "/stream/", "")
	r.Header.Set("After", "2")
	_, body, err := b.do(r)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "id: 3\ndata: c\n\n")
	c.Assert(backend.seen()[0], qt.Contains, "after=2")
}

// All entries together keep the bound: each uses its part of the slack and the ratio of its own requests.
func TestRepeatsKeepTheBound(t *testing.T) {
	c := qt.New(t)
	var b budget
	b.bound = NewRetryBudget(0.2, 100, 10*time.Second)
	now := time.Unix(1000, 0)
	count := func(entries int) int {
		n := 0
		for b.repeat(now, "desk", entries) {
			n++
		}
		return n
	}
	c.Assert(count(10), qt.Equals, 7)
	for range 100 {
		b.first(now, "desk")
	}
	c.Assert(count(10), qt.Equals, 14)
	now = now.Add(10 * time.Second)
	c.Assert(count(10), qt.Equals, 7)
	c.Assert(b.repeat(now, "other", 10), qt.IsTrue)
}

// waitForNoMemory returns when nothing is reserved; the test's own time limit ends it otherwise.
func (b *bed) waitForNoMemory() {
	for b.memory.count() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Memory is reserved before the prompt is sent and freed on every path.
func TestMemoryIsReservedForTheRequestOnly(t *testing.T) {
	c := qt.New(t)
	for name, step := range map[string]string{"whole": streamed(threeEvents, true), "cut": "", "refused": refused} {
		backend := newBackend(c, step)
		b := newBed(t, backend)
		b.slots.helpers = []dispatch.PrefillWorker{dispatch.NewPrefillWorker("s1", "10.0.0.1:1", 5000), dispatch.NewPrefillWorker("s1", "10.0.0.2:1", 0)}
		_, _, _ = b.do(b.request("POST", "/stream/fixed/", ""))
		c.Assert(backend.seen(), qt.HasLen, 1, qt.Commentf(name))
		b.waitForNoMemory()
	}
}

func TestMemoryThatIsNotThereIsNotRun(t *testing.T) {
	c := qt.New(t)
	backend := newBackend(c, streamed(threeEvents, true))
	b := newBed(t, backend)
	b.memory.refuse = "10.0.0.2:1"
	b.slots.helpers = []dispatch.PrefillWorker{dispatch.NewPrefillWorker("s1", "10.0.0.1:1", 5000), dispatch.NewPrefillWorker("s1", "10.0.0.2:1", 5000)}
	response, _, _ := b.do(b.request("POST", "/stream/", ""))
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(backend.seen(), qt.HasLen, 0)
	b.waitForNoMemory()
}

// An entry that dies can't free what it reserved: a reservation lasts for less
// than memory may stay unused, and is prolonged while it is used.
func TestReservationEndsByItself(t *testing.T) {
	c := qt.New(t)
	b := newBed(t, newBackend(c, hang))
	b.slots.helpers = []dispatch.PrefillWorker{dispatch.NewPrefillWorker("s1", "10.0.0.1:1", 5000)}
	r := b.request("POST", "/once/", "")
	r.Header.Set("Left", "400ms")
	_, _, _ = b.do(r)
	b.waitForNoMemory()
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	c.Assert(b.memory.longest < 100*time.Millisecond, qt.IsTrue)
	c.Assert(b.memory.orders > 1, qt.IsTrue)
}

// A stream that breaks off before its first event leaves nothing of its server
// in the failure that the caller gets, nor in the answer of the next server.
func TestFailureBearsNoSealOfAServer(t *testing.T) {
	c := qt.New(t)
	sealed := strings.Replace(streamed("id: 1\nda", false), "Content-Type", "Seal: first\r\nContent-Type", 1)
	b := newBed(t, newBackend(c, sealed))
	response, _, _ := b.do(b.request("POST", "/stream/fixed/", ""))
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(response.Header.Get("Seal"), qt.Equals, "")

	b = newBed(t, newBackend(c, sealed), newBackend(c, streamed(threeEvents, true)))
	response, body, err := b.do(b.request("POST", "/stream/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
	c.Assert(response.Header.Get("Seal"), qt.Equals, "")
}
