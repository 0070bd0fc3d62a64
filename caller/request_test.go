package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
)

func TestBadRequests(t *testing.T) {
	post := func(body string, headers ...string) []string {
		return append([]string{"POST", "/v1/completions", agencyKey, body}, headers...)
	}
	chat := func(body string) []string { return []string{"POST", "/v1/chat/completions", agencyKey, body} }
	tests := []struct {
		request []string
		status  int
		outcome Outcome
		reason  Reason
		message string
	}{
		{[]string{"GET", "/v1/models", "", ""}, 401, OutcomeNotRun, ReasonUnauthorized, "the key is not known"},
		{[]string{"GET", "/v1/models", "wrong", ""}, 401, OutcomeNotRun, ReasonUnauthorized, "the key is not known"},
		{[]string{"GET", "/nowhere", "wrong", ""}, 401, OutcomeNotRun, ReasonUnauthorized, "the key is not known"},
		{[]string{"POST", "/v1/services/repairs/records", "wrong", "", "X-Request-Id", "entry-1.ab.0.x"}, 401, OutcomeUnknown, ReasonUnauthorized, "the key is not known"},
		{[]string{"GET", "/nowhere", agencyKey, ""}, 404, OutcomeNotRun, ReasonNotFound, "there is no such path"},
		{[]string{"GET", "/v1/completions", agencyKey, ""}, 405, OutcomeNotRun, ReasonMethodNotAllowed, "the path takes POST only"},
		{post("{}", "X-Request-Id", "a b"), 400, OutcomeNotRun, ReasonBadRequest, "X-Request-Id must be 1 to 200 letters, digits or -_.:~"},
		{post("{}", "X-Time-Left", "soon"), 400, OutcomeNotRun, ReasonBadRequest, "X-Time-Left must be a duration such as 1.5s"},
		{post("{}", "X-Time-Left", "0s"), 504, OutcomeNotRun, ReasonDeadline, "no time is left"},
		{post(""), 400, OutcomeNotRun, ReasonBadRequest, "the body is not JSON"},
		{post("{"), 400, OutcomeNotRun, ReasonBadRequest, "the body is not JSON"},
		{post("[]"), 400, OutcomeNotRun, ReasonBadRequest, "the body is not a JSON object"},
		{post("{}"), 400, OutcomeNotRun, ReasonBadRequest, "model is missing"},
		{post(`{"model":1}`), 400, OutcomeNotRun, ReasonBadRequest, "model must be a string"},
		{post(`{"model":"strip-1"}`), 400, OutcomeNotRun, ReasonBadRequest, "prompt is missing"},
		{post(`{"model":"strip-1","Model":"other","prompt":""}`), 400, OutcomeNotRun, ReasonBadRequest, "model must be given once, in lower case"},
		{post(`{"model":"strip-1","model":"other","prompt":""}`), 400, OutcomeNotRun, ReasonBadRequest, "model must be given once, in lower case"},
		{post(`{"\u006dodel":"strip-1","prompt":""}`), 400, OutcomeNotRun, ReasonBadRequest, "field names must not be escaped"},
		{post(`{"model":"strip-1","prompt":["a"]}`), 400, OutcomeNotRun, ReasonBadRequest, "prompt must be a string"},
		{post(`{"model":"strip-1","prompt":"","stream":"yes"}`), 400, OutcomeNotRun, ReasonBadRequest, "stream must be true or false"},
		{post(`{"model":"strip-1","prompt":"","max_tokens":0}`), 400, OutcomeNotRun, ReasonBadRequest, "max_tokens must be a positive integer"},
		{post(`{"model":"strip-1","prompt":"","max_tokens":1001}`), 400, OutcomeNotRun, ReasonBadRequest, "max_tokens is 1001, strip-1 answers with 1000"},
		{post(`{"model":"strip-2","prompt":""}`), 404, OutcomeNotRun, ReasonNotFound, `the account has no model "strip-2"`},
		{chat(`{"model":"strip-1"}`), 400, OutcomeNotRun, ReasonBadRequest, "messages is missing"},
		{chat(`{"model":"strip-1","messages":"a"}`), 400, OutcomeNotRun, ReasonBadRequest, "messages must be an array"},
		{chat(`{"model":"strip-1","messages":["a"]}`), 400, OutcomeNotRun, ReasonBadRequest, "messages must hold objects"},
		{post(`{"model":"strip-1","prompt":"` + strings.Repeat("x", 4_000_001) + `"}`), 413, OutcomeNotRun, ReasonTooLarge, "the prompt has 1000001 tokens, strip-1 takes 1000000"},
		{post(strings.Repeat("x", 8_100_000)), 413, OutcomeNotRun, ReasonTooLarge, "the body has 8100000 bytes, 8065536 are allowed"},
		{post(`{"model":"strip-1","prompt":""}`), 503, OutcomeNotRun, ReasonNoServer, "no listed server carries the work"},
		{[]string{"GET", "/v1/services/other/x", agencyKey, ""}, 404, OutcomeNotRun, ReasonNotFound, "the account has no such service"},
		{[]string{"GET", "/v1/services/repairs/records/a", paperKey, ""}, 404, OutcomeNotRun, ReasonNotFound, "the account has no such service"},
		{[]string{"GET", "/v1/services/repairs/records/%2e%2e", agencyKey, ""}, 404, OutcomeNotRun, ReasonNotFound, "the service has no such call"},
		{[]string{"GET", "/v1/services/repairs/records/a%2fb", agencyKey, ""}, 404, OutcomeNotRun, ReasonNotFound, "the service has no such call"},
		{[]string{"POST", "/v1/services/repairs/records", agencyKey, ""}, 400, OutcomeNotRun, ReasonIDNeeded, idNeeded.message},
		{[]string{"POST", "/v1/services/repairs/records", agencyKey, "", "X-Request-Id", "mine"}, 400, OutcomeNotRun, ReasonIDNeeded, idNeeded.message},
		{[]string{"GET", "/v1/services/repairs/other", agencyKey, "", "X-Request-Id", "entry-1.ab.0.y"}, 404, OutcomeNotRun, ReasonNotFound,
			"the service has no such call; this id is used up: call again with a new one"},
		{[]string{"POST", "/v1/services/repairs/records", agencyKey, "", "X-Request-Id", "entry-1.ab.1.x"}, 410, OutcomeUnknown, ReasonIDExpired, idExpired.message},
		{[]string{"POST", "/v1/services/repairs/records", agencyKey, "", "X-Request-Id", "entry-1.ac.0.x"}, 502, OutcomeUnknown, ReasonOwnerLost, ownerLost.message},
		{[]string{"POST", "/v1/services/repairs/records", agencyKey, "", "X-Request-Id", "entry-9.ab.0.x"}, 502, OutcomeUnknown, ReasonOwnerLost, ownerLost.message},
	}
	e := newTestEntry(t, Limits{})
	for _, test := range tests {
		c := qt.New(t)
		response, text := e.mustDo(t, test.request[0], test.request[1], test.request[2], test.request[3], test.request[4:]...)
		note := qt.Commentf("%.200q", test.request)
		detail := failureOf(c, text)
		c.Check(response.StatusCode, qt.Equals, test.status, note)
		c.Check(detail.Outcome, qt.Equals, test.outcome, note)
		c.Check(detail.Reason, qt.Equals, test.reason, note)
		c.Check(detail.Message, qt.Equals, test.message, note)
		c.Check(detail.RequestID != "", qt.Equals, test.status != 401, note)
	}
}

func TestChunkedBodyIsRefused(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(t, Limits{})
	request, err := http.NewRequest("POST", e.url+"/v1/completions", io.MultiReader(strings.NewReader("{}")))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+agencyKey)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusLengthRequired)
	c.Assert(failureOf(c, string(text)).Reason, qt.Equals, ReasonLengthRequired)
}

func TestRefusalsHaveRetryAfter(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(t, Limits{})
	e.slots.refusal = backend.NewRefusal(backend.ReasonBusy, 1500*time.Millisecond)
	response, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine")
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "2")
	c.Assert(text, qt.Equals, `{"error":{"outcome":"not_run","reason":"busy","message":"the work could not start in time for its deadline",`+
		`"come_back":"1.5s","request_id":"mine"}}`)
}

func TestMemoryOfBodiesIsBounded(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(t, Limits{}.WithMaxBodyMemory(400).WithBody(80, 0))
	c.Assert(e.bodyMemory.reserve("agency", 40, e.limits), qt.IsTrue)
	_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, strings.Repeat("x", 61))
	c.Assert(failureOf(c, text).Reason, qt.Equals, ReasonBusy)
	_, text = e.mustDo(t, "POST", "/v1/completions", agencyKey, strings.Repeat("x", 60))
	c.Assert(failureOf(c, text).Reason, qt.Equals, ReasonBadRequest)
	e.bodyMemory.release("agency", 40)
	c.Assert(e.bodyMemory.total(), qt.Equals, int64(0))
	c.Assert(e.bodyMemory.accounts, qt.HasLen, 0)
	var m bodyMemory
	for _, account := range []string{"a", "b", "c", "d"} {
		c.Assert(m.reserve(account, 100, e.limits), qt.IsTrue)
		c.Assert(m.reserve(account, 1, e.limits), qt.IsFalse)
	}
	c.Assert(m.reserve("e", 1, e.limits), qt.IsFalse)
	c.Assert(Limits{}.WithMaxBodyMemory(100).WithBody(100, 0).MaxAccountBodyMemory(), qt.Equals, int64(100))
}

// A connection that was idle for longer than the write stall timeout accepts further requests.
func TestIdleConnectionOutlivesWriteDeadline(t *testing.T) {
	c := qt.New(t)
	const stall = 50 * time.Millisecond
	e := newTestEntry(t, Limits{}.WithStallTimeouts(stall, 0))
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for _, key := range []string{agencyKey, "wrong", agencyKey} {
		fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\n\r\n", key)
		response, err := http.ReadResponse(answers, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * stall)
	}
}

func TestSlowBodyTimesOut(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(t, Limits{}.WithBody(0, 50*time.Millisecond))
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: 9\r\n\r\n{", agencyKey)
	answer, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Contains, `"reason":"body_timeout"`)
	c.Assert(e.bodyMemory.total(), qt.Equals, int64(0))
}

func TestAddressAndModels(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(t, Limits{})
	address := strings.TrimPrefix(e.url, "http://")
	_, text := e.mustDo(t, "GET", "/v1/address?failure_domain=scl-a", paperKey, "")
	c.Assert(text, qt.Equals, `{"address":"`+address+`","alternates":[],"keep_for":"30s","request_id_prefix":"entry-1.ab.0."}`)
	_, text = e.mustDo(t, "GET", "/v1/models", paperKey, "")
	c.Assert(text, qt.Equals, `{"object":"list","data":[{"id":"strip-1","object":"model","owned_by":"vineta","prompt_tokens":1000000,"answer_tokens":1000}]}`)
}

func TestAccountLimits(t *testing.T) {
	c := qt.New(t)
	var u accountLimiter
	now := time.Unix(1000, 0)
	document := testDocuments(t)[0]
	paper := access{document: document, account: document.Accounts()[1]}
	key := paper.key()
	c.Assert(u.admit(now, key, paper.account, 70) == nil, qt.IsTrue)
	failure := u.admit(now, key, paper.account, 10)
	c.Assert(failure.Reason(), qt.Equals, ReasonAccountRequests)
	u.release(key, 0)
	// 70 of 100 tokens are spent and 10 are earned each second, so 50 are available after 2 seconds.
	failure = u.admit(now, key, paper.account, 50)
	c.Assert(failure.Reason(), qt.Equals, ReasonAccountTokens)
	c.Assert(failure.RetryAfter(), qt.Equals, 2*time.Second)
	now = now.Add(failure.RetryAfter())
	c.Assert(u.admit(now, key, paper.account, 50) == nil, qt.IsTrue)
	u.release(key, 50)
	// A prompt larger than the burst needs a full bucket and overdraws it.
	c.Assert(u.admit(now, key, paper.account, 1000).RetryAfter(), qt.Equals, 5*time.Second)
	now = now.Add(5 * time.Second)
	c.Assert(u.admit(now, key, paper.account, 1000) == nil, qt.IsTrue)
	u.release(key, 0)
	c.Assert(u.admit(now, key, paper.account, 1).RetryAfter(), qt.Equals, 90*time.Second+100*time.Millisecond)
}

func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	var b retryBudgets[string]
	for range 3 {
		c.Assert(b.spend("engine-1", 3*retryCost), qt.IsTrue)
	}
	c.Assert(b.spend("engine-1", 3*retryCost), qt.IsFalse)
	for range retryCost / retryCredit {
		c.Assert(b.spend("engine-1", 3*retryCost), qt.IsFalse)
		b.credit("engine-1")
	}
	c.Assert(b.spend("engine-1", 3*retryCost), qt.IsTrue)
	for range 100 {
		b.credit("engine-1")
	}
	c.Assert(b.spent, qt.HasLen, 0)
}

func TestDrainWaitsForOpenRequests(t *testing.T) {
	c := qt.New(t)
	began, end := make(chan struct{}), make(chan struct{})
	engine := &fakeEngine{tokens: 3}
	held := func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-end
		engine.serve(w, r)
	}
	e := newTestEntry(t, Limits{}, newFakeServer(t, "engine-1", "strip", held))
	release := sync.OnceFunc(func() { close(end) })
	t.Cleanup(release)
	answered := make(chan string, 1)
	go func() {
		_, text, _ := e.do("POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine")
		answered <- text
	}()
	<-began
	c.Assert(e.OpenRequests(), qt.Equals, 1)
	short, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(e.Drain(short), qt.ErrorMatches, "1 requests open at the end of draining.*")
	response, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(response.Close, qt.IsTrue)
	detail := failureOf(c, text)
	c.Assert(detail.Outcome, qt.Equals, OutcomeNotRun)
	c.Assert(detail.Reason, qt.Equals, ReasonDraining)
	_, text = e.mustDo(t, "GET", "/v1/services/repairs/records/a", agencyKey, "")
	c.Assert(failureOf(c, text).Reason, qt.Equals, ReasonDraining)
	_, text = e.mustDo(t, "GET", "/v1/address", agencyKey, "")
	c.Assert(strings.Contains(text, "request_id_prefix"), qt.IsFalse)
	done := make(chan error, 1)
	go func() { done <- e.Shutdown(context.Background()) }()
	release()
	c.Assert(<-answered, qt.Equals, fakeStream("mine", 0, 3))
	c.Assert(<-done, qt.IsNil)
	c.Assert(e.OpenRequests(), qt.Equals, 0)
}

func TestDrainWaitsForPendingCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var g workTracker
		c.Assert(g.begin(), qt.IsTrue)
		g.addWork()
		g.end()
		g.drain()
		c.Assert(g.begin(), qt.IsFalse)
		go func() {
			time.Sleep(time.Second)
			g.endWork()
		}()
		start := time.Now()
		<-g.drained()
		c.Assert(time.Since(start), qt.Equals, time.Second)
	})
}
