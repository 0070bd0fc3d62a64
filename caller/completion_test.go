package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
)

const streamed = `{"model":"strip-1","stream":true,"max_tokens":10,"prompt":"a balloon"}`

func TestStreamHasRequestID(t *testing.T) {
	c := qt.New(t)
	engine := &fakeEngine{tokens: 3}
	e := newTestEntry(t, Limits{}, newFakeServer(t, "engine-1", "strip", engine.serve))
	response, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine")
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(response.Header.Get("Content-Type"), qt.Equals, "text/event-stream")
	c.Assert(response.Header.Get("X-Request-Id"), qt.Equals, "mine")
	c.Assert(text, qt.Equals, fakeStream("mine", 0, 3))
	c.Assert(e.slots.waitReleased(t, 1), qt.DeepEquals, []string{"engine-1 finished"})
	c.Assert(e.slots.requests[0].Cost(), qt.Equals, backend.NewCost(3, 10))
	c.Assert(e.slots.requests[0].Workload(), qt.Equals, backend.NewWorkload("strip", "strip-1"))
}

// A stream truncated at any byte resumes on another engine without a missing or
// a repeated token.
func TestStreamTruncatedAtAnyByteIsResumed(t *testing.T) {
	c := qt.New(t)
	truncated, whole := &fakeEngine{tokens: 3}, &fakeEngine{tokens: 3}
	servers := []backend.Server{
		newFakeServer(t, "engine-1", "strip", truncated.serve),
		newFakeServer(t, "engine-2", "strip", whole.serve),
	}
	length := len(fakeStream("entry-1-4r-1.1", 0, 3)) - len("\n\n")
	for at := 1; at < length; at++ {
		// A new entry has full retry budgets.
		e := newTestEntry(t, Limits{}, servers...)
		truncated.truncateAt = at
		_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine")
		c.Assert(text, qt.Equals, fakeStream("mine", 0, 3), qt.Commentf("truncated at byte %d", at))
		c.Assert(e.slots.waitReleased(t, 2), qt.ContentEquals, []string{"engine-1 cancelled", "engine-2 finished"})
		e.http.Close()
	}
}

func TestStreamThatCannotResumeEndsWithErrorEvent(t *testing.T) {
	c := qt.New(t)
	engine := &fakeEngine{tokens: 3, truncateAt: 150}
	e := newTestEntry(t, Limits{}, newFakeServer(t, "engine-1", "strip", engine.serve))
	_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine")
	events, failure, found := strings.Cut(text, "event: error\ndata: ")
	c.Assert(found, qt.IsTrue, qt.Commentf("%s", text))
	c.Assert(strings.HasPrefix(fakeStream("mine", 0, 3), events), qt.IsTrue)
	detail := failureOf(c, strings.TrimSpace(failure))
	c.Assert(detail.Outcome, qt.Equals, OutcomeRan)
	c.Assert(detail.Reason, qt.Equals, ReasonTruncated)
	c.Assert(detail.RequestID, qt.Equals, "mine")
	c.Assert(strings.Contains(text, "[DONE]"), qt.IsFalse)
}

// Events of other attempts and requests, and repeated events, are not passed
// on.
func TestStreamDropsForeignAndRepeatedEvents(t *testing.T) {
	c := qt.New(t)
	mixed := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		request, _, _ := strings.Cut(id, ".")
		for _, event := range strings.SplitAfter(fakeStream(id, 0, 3), "\n\n") {
			late := strings.ReplaceAll(event, id, request+".9")
			crossed := strings.ReplaceAll(event, id, "other.1")
			if strings.Contains(event, "[DONE]") {
				late, crossed = "", ""
			}
			io.WriteString(w, late+event+crossed+event)
		}
	}
	e := newTestEntry(t, Limits{}, newFakeServer(t, "engine-1", "strip", mixed))
	_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine")
	c.Assert(text, qt.Equals, fakeStream("mine", 0, 3))
	for fault, n := range map[backend.Fault]string{backend.FaultLate: "4", backend.FaultCrossed: "4", backend.FaultRepeated: "4"} {
		c.Check(e.client.Faults().Get(string(fault)).String(), qt.Equals, n, qt.Commentf("%s", fault))
	}
}

func TestFrozenEngineIsRetriedElsewhere(t *testing.T) {
	whole := &fakeEngine{tokens: 3}
	for _, header := range []bool{false, true} {
		c := qt.New(t)
		frozen := func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/cancel" {
				return
			}
			io.Copy(io.Discard, r.Body)
			if header {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.(http.Flusher).Flush()
			}
			<-r.Context().Done()
		}
		e := newTestEntry(t, Limits{}, newFakeServer(t, "engine-1", "strip", frozen), newFakeServer(t, "engine-2", "strip", whole.serve))
		_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine", "X-Time-Left", "2s")
		c.Assert(text, qt.Equals, fakeStream("mine", 0, 3))
		c.Assert(e.slots.waitReleased(t, 2), qt.ContentEquals, []string{"engine-1 cancelled", "engine-2 finished"})
	}
}

func TestFrozenEngineFailsAtDeadline(t *testing.T) {
	c := qt.New(t)
	frozen := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	e := newTestEntry(t, Limits{}, newFakeServer(t, "engine-1", "strip", frozen))
	body := strings.Replace(streamed, "true", "false", 1)
	response, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, body, "X-Time-Left", "100ms")
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	detail := failureOf(c, text)
	c.Assert(detail.Outcome, qt.Equals, OutcomeUnknown)
	c.Assert(detail.Reason, qt.Equals, ReasonDeadline)
	// The cancel is not acknowledged, so the keeper still counts the slot as used.
	c.Assert(e.slots.waitReleased(t, 1), qt.DeepEquals, []string{"engine-1 failed"})
}

// respondWith returns an engine that responds with the status, header and body.
func respondWith(status int, header http.Header, body func(id string) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		io.WriteString(w, body(id))
	}
}

func TestUnstreamedCompletions(t *testing.T) {
	good := respondWith(200, nil, func(id string) string {
		return fmt.Sprintf(`{"id":%q,"choices":[{"text":"hi"}],"usage":{"completion_tokens":1}}`, id)
	})
	text := func(s string) func(string) string { return func(string) string { return s } }
	draining := http.Header{"X-State": {"leaving"}}
	tests := []struct {
		name  string
		first http.HandlerFunc
		ends  []string
		// refused is for how long servers refuse, as told with the release.
		refused []string
	}{
		{"good", good, []string{"engine-1 finished"}, nil},
		{"crossed body", respondWith(200, nil, text(`{"id":"other.1"}`)), []string{"engine-1 cancelled", "engine-2 finished"}, nil},
		{"crossed header", respondWith(200, http.Header{"X-Request-Id": {"other.1"}}, text(`{}`)), []string{"engine-1 cancelled", "engine-2 finished"}, nil},
		{"no id", respondWith(200, nil, text(`{}`)), []string{"engine-1 cancelled", "engine-2 finished"}, nil},
		{"not JSON", respondWith(200, nil, text(`{"id":`)), []string{"engine-1 cancelled", "engine-2 finished"}, nil},
		{"short", respondWith(200, http.Header{"Content-Length": {"99"}}, text(`{}`)), []string{"engine-1 cancelled", "engine-2 finished"}, nil},
		{"full", respondWith(429, nil, text("")), []string{"engine-1 refused", "engine-2 finished"}, nil},
		{"full for a time", respondWith(429, http.Header{"Retry-After": {"3"}}, text("")), []string{"engine-1 refused", "engine-2 finished"}, []string{"engine-1 3s"}},
		{"other incarnation", respondWith(409, nil, text("")), []string{"engine-1 refused", "engine-2 finished"}, nil},
		{"leaving", respondWith(503, draining, text("")), []string{"engine-1 leaving", "engine-2 finished"}, nil},
		{"broken", respondWith(500, nil, text("")), []string{"engine-1 cancelled", "engine-2 finished"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/cancel" {
					test.first(w, r)
				}
			}
			e := newTestEntry(t, Limits{}, newFakeServer(t, "engine-1", "strip", first), newFakeServer(t, "engine-2", "strip", good))
			response, text := e.mustDo(t, "POST", "/v1/chat/completions", agencyKey,
				`{"model":"strip-1","messages":[{"role":"user","content":"a balloon"}]}`, "X-Request-Id", "mine")
			c.Assert(response.StatusCode, qt.Equals, 200, qt.Commentf("%s", text))
			c.Assert(text, qt.Equals, `{"id":"mine","choices":[{"text":"hi"}],"usage":{"completion_tokens":1}}`)
			c.Assert(e.slots.waitReleased(t, len(test.ends)), qt.ContentEquals, test.ends)
			c.Assert(e.slots.refused, qt.DeepEquals, test.refused)
		})
	}
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	c := qt.New(t)
	cancelled := make(chan string, 1)
	engine := &fakeEngine{cancelled: cancelled}
	hang := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/cancel" {
			engine.serve(w, r)
			return
		}
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		fmt.Fprintf(w, "data: {\"id\":%q,\"index\":0}\n\n", id)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	// The first token is flushed at once although no other follows.
	e := newTestEntry(t, Limits{}.WithStallTimeouts(0, time.Hour), newFakeServer(t, "engine-1", "strip", hang))
	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", e.url+"/v1/completions", strings.NewReader(streamed))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+agencyKey)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	c.Assert(err, qt.IsNil)
	disconnect()
	c.Assert(<-cancelled, qt.Equals, e.slots.requests[0].ID())
	c.Assert(e.slots.waitReleased(t, 1), qt.DeepEquals, []string{"engine-1 cancelled"})
}

func TestSlowReaderIsCancelledWithoutDelayingOthers(t *testing.T) {
	c := qt.New(t)
	cancelled := make(chan string, 1)
	engine := &fakeEngine{tokens: 3, cancelled: cancelled}
	flood := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/cancel" || r.Header.Get("X-Priority") != "20" {
			engine.serve(w, r)
			return
		}
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		filler := strings.Repeat("x", 8<<10)
		for n := 0; r.Context().Err() == nil; n++ {
			if _, err := fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"text\":%q}\n\n", id, n, filler); err != nil {
				return
			}
		}
	}
	e := newTestEntry(t, Limits{}.WithStallTimeouts(200*time.Millisecond, 0), newFakeServer(t, "engine-1", "strip", flood))
	request, err := http.NewRequest("POST", e.url+"/v1/completions", strings.NewReader(streamed))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+agencyKey)
	slow, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer slow.Body.Close()
	long := fmt.Sprintf(`{"model":"strip-1","stream":true,"prompt":%q}`, strings.Repeat("y", 40_000))
	_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, long, "X-Request-Id", "quick")
	c.Assert(text, qt.Equals, fakeStream("quick", 0, 3))
	c.Assert(<-cancelled, qt.Equals, e.slots.requests[0].ID())
	c.Assert(e.slots.waitReleased(t, 2), qt.ContentEquals, []string{"engine-1 finished", "engine-1 cancelled"})
}

func TestRetriesAreBounded(t *testing.T) {
	c := qt.New(t)
	broken := respondWith(500, nil, func(string) string { return "" })
	var servers []backend.Server
	for n := range maxAttempts + 1 {
		servers = append(servers, newFakeServer(t, fmt.Sprintf("engine-%d", n), "strip", broken))
	}
	e := newTestEntry(t, Limits{}, servers...)
	response, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	detail := failureOf(c, text)
	c.Assert(detail.Outcome, qt.Equals, OutcomeUnknown)
	c.Assert(detail.Reason, qt.Equals, ReasonServerFailed)
	c.Assert(e.slots.requests, qt.HasLen, maxAttempts)
	for range accountBudgetSize / retryCost {
		_, text = e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed)
	}
	c.Assert(failureOf(c, text).Reason, qt.Equals, ReasonRetryBudget)
}

func TestExpiredSlotIsNotUsed(t *testing.T) {
	c := qt.New(t)
	engine := &fakeEngine{tokens: 3}
	e := newTestEntry(t, Limits{}, newFakeServer(t, "engine-1", "strip", engine.serve))
	e.slots.startBy = -time.Nanosecond
	response, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(failureOf(c, text).Outcome, qt.Equals, OutcomeNotRun)
	c.Assert(e.slots.waitReleased(t, 1)[0], qt.Equals, "engine-1 not_started")
}
