package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
	"greengagedock.example/timer"
	"greengagedock.example/upstream"
)

// fakeHeaders decodes and encodes headers with short test names.
type fakeHeaders struct{}

func (fakeHeaders) DecodeRequest(header http.Header) (RequestMetadata, error) {
	metadata := NewRequestMetadata(header.Get("Id")).WithAPIKey(header.Get("Key")).WithLastEventID(header.Get("After"))
	if text := header.Get("Parts"); text != "" {
		metadata = metadata.WithSharedParts(strings.Split(text, ",")).WithPrompt(text)
	}
	if text := header.Get("Left"); text != "" {
		left, err := time.ParseDuration(text)
		if err != nil {
			return RequestMetadata{}, err
		}
		metadata = metadata.WithTimeLeft(left)
	}
	return metadata, nil
}

func (fakeHeaders) EncodeRequest(header http.Header, d upstream.RequestMetadata) {
	header.Del("Key")
	header.Set("Account", d.Account())
	header.Set("After", d.LastEventID())
}

func (fakeHeaders) DecodeResponse(status int, header http.Header) upstream.ResponseMetadata {
	m := upstream.NewResponseMetadata(header.Get("Id"))
	if header.Get("Refused") != "" {
		m = m.WithNotRun(false, "")
	}
	if limit, err := strconv.ParseFloat(header.Get("Limit"), 64); err == nil {
		m = m.WithRateLimit(limit)
	}
	wait, _ := time.ParseDuration(header.Get("Wait")) // 0 if missing
	return m.WithLeaving(header.Get("Leaving") != "").WithRetryAfter(wait, "")
}

// backend is a server that answers its i-th connection with its i-th step, the
// text of a whole response, and then closes it.
type backend struct {
	address     string
	silenceTime time.Duration
	// crashingPart is a part of a prompt at which the server ends: it closes the
	// connection without a response.
	crashingPart string
	// crashingBody is the body of a request at which the server ends in the same way.
	crashingBody string
	// keeps has the server keep its connections, and answer each request with the step of
	// its connection.
	keeps bool

	mu       sync.Mutex
	requests []string
	parts    []string // of the requests' prompts
}

// reset is the end of a step after which the server resets the connection.
const reset = "RESET"

// hang is a step that leaves the request unanswered until the connection is closed.
const hang = "hang"

// Where a step contains silence, its server sends nothing for silenceTime, unless the
// backend has another time, and then goes on: for longer than an entry waits before
// it tries another server, and for less than a caller waits.
const (
	silence     = "SILENCE"
	silenceTime = 1700 * time.Millisecond
)

func newBackend(c *qt.C, steps ...string) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	b := &backend{address: listener.Addr().String(), silenceTime: silenceTime}
	go func() {
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			step := ""
			if i < len(steps) {
				step = steps[i]
			}
			go b.serveConnection(conn, step)
		}
	}()
	return b
}

func (b *backend) serveConnection(conn net.Conn, step string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for b.serve(conn, reader, step) && b.keeps {
	}
}

// serve answers one request, and reports whether there was one.
func (b *backend) serve(conn net.Conn, reader *bufio.Reader, step string) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	b.requests = append(b.requests, fmt.Sprintf("%s %s account=%s after=%s body=%s", r.Method, r.RequestURI, r.Header.Get("Account"), r.Header.Get("After"), body))
	b.parts = append(b.parts, r.Header.Get("Parts"))
	b.mu.Unlock()
	if b.crashingPart != "" && slices.Contains(strings.Split(r.Header.Get("Parts"), ","), b.crashingPart) {
		return false
	}
	if b.crashingBody != "" && string(body) == b.crashingBody {
		return false
	}
	if step == hang {
		_, _ = reader.ReadByte() // returns when the connection is closed
		return false
	}
	step, resets := strings.CutSuffix(step, reset)
	for i, part := range strings.Split(strings.ReplaceAll(step, "ID", r.Header.Get("Id")), silence) {
		if i > 0 {
			time.Sleep(b.silenceTime)
		}
		fmt.Fprint(conn, part)
	}
	if resets {
		_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed
	}
	return !resets
}

func (b *backend) seen() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.requests...)
}

// fullResponse returns a response with a body.
func fullResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\nSeal: s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

const refused = "HTTP/1.1 503 X\r\nId: ID\r\nRefused: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// streamResponse returns a chunked response of raw text, with its last chunk if ended.
func streamResponse(text string, ended bool) string {
	out := "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
	out += fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	if ended {
		out += "0\r\n\r\n"
	}
	return out
}

// fakeScheduler places requests on the given backends in turn.
type fakeScheduler struct {
	mu       sync.Mutex
	backends []*backend
	next     int
	refusal  *Refusal
	workers  []dispatch.PrefillWorker
	// workersOnce limits the prefill workers to the first grant.
	workersOnce bool
	outcomes    []dispatch.Outcome
	faults      []string // the addresses of servers reported as stalled
	notices     routing.Notices
	loads       []dispatch.ObservedLoad
	excluded    []string // by the last request
	// ids are the server ids of the grants, in turn; s1, s2 and so on without them.
	ids []string
	// queues has requests wait without ever being placed, and queueTime for so long.
	queues    bool
	queueTime time.Duration
	// timeToFirstToken is that of all grants.
	timeToFirstToken time.Duration
}

func (s *fakeScheduler) Acquire(ctx context.Context, request dispatch.Request) (dispatch.Grant, error) {
	if s.queues {
		<-ctx.Done()
		return dispatch.Grant{}, ctx.Err()
	}
	if s.queueTime > 0 {
		select {
		case <-time.After(s.queueTime):
		case <-ctx.Done():
			return dispatch.Grant{}, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excluded = request.Exclude()
	if s.next >= len(s.backends) {
		if s.refusal != nil {
			return dispatch.Grant{}, s.refusal
		}
		return dispatch.Grant{}, NewRefusal(dispatch.ReasonBusy, 700*time.Millisecond)
	}
	b := s.backends[s.next]
	s.next++
	id := fmt.Sprint("s", s.next)
	if s.ids != nil {
		id = s.ids[s.next-1]
	}
	workers := s.workers
	if s.workersOnce && s.next > 1 {
		workers = nil
	}
	return dispatch.NewGrant(request.ID(), id, b.address, workers, s.timeToFirstToken), nil
}

func (s *fakeScheduler) Notice(_ string, notice routing.Notice) { s.notices.Add(time.Now(), notice) }

func (s *fakeScheduler) Load(_ string, load dispatch.ObservedLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = append(s.loads, load)
}

func (s *fakeScheduler) Started(string, string) {}

func (s *fakeScheduler) Ended(_, _ string, outcome dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, outcome)
}

// ended returns the outcomes of the placements that ended.
func (s *fakeScheduler) ended() []dispatch.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.outcomes)
}

func (s *fakeScheduler) Fault(_, address string, _ dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, address)
}

// localScheduler places requests with the scheduler that entries use.
type localScheduler struct {
	mu        sync.Mutex
	scheduler *dispatch.Scheduler
	notices   *routing.Notices // of the view
}

// newLocalScheduler returns a scheduler of the servers in a view.
func newLocalScheduler(view *routing.View) *localScheduler {
	s := &localScheduler{scheduler: dispatch.NewScheduler("e1"), notices: &routing.Notices{}}
	s.scheduler.SetView(time.Now(), view)
	return s
}

func (s *localScheduler) Acquire(_ context.Context, request dispatch.Request) (dispatch.Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Tick(time.Now()) // nothing is queued
	switch d := s.scheduler.Submit(time.Now(), dispatch.NewOwner("e1", 1), request).(type) {
	case dispatch.Granted:
		return d.Grant(), nil
	case dispatch.Refused:
		return dispatch.Grant{}, NewRefusal(d.Reason(), d.RetryAfter())
	default:
		s.scheduler.Withdraw(request.ID())
		return dispatch.Grant{}, NewRefusal(dispatch.ReasonBusy, defaultRetryAfter)
	}
}

func (s *localScheduler) Started(_, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Started(time.Now(), id)
}

func (s *localScheduler) Ended(_, id string, outcome dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Ended(time.Now(), id, outcome)
}

func (s *localScheduler) Fault(service, address string, outcome dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.ReportFault(time.Now(), "e1", service, address, outcome)
}

func (s *localScheduler) Notice(_ string, notice routing.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.Add(time.Now(), notice)
	s.scheduler.Refuse(notice.Server(), notice.RefusesUntil())
}

func (s *localScheduler) Load(service string, load dispatch.ObservedLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.ObserveLoad(time.Now(), service, load)
}

// fakeReserver records what is reserved, by address and reservation id.
type fakeReserver struct {
	mu          sync.Mutex
	held        map[string]int
	failAddress string
	// response is the metadata of each response.
	response upstream.ResponseMetadata
	// reserveCalls counts Reserve calls, and longestHold is the longest hold time of any.
	reserveCalls int
	// failCalls is the number of Reserve calls that fail after the first one.
	failCalls int
	// renewalTime is how long an engine takes to carry out a renewal, even if the call ends.
	renewalTime time.Duration
	longestHold time.Duration
}

func (m *fakeReserver) Reserve(_ context.Context, address, id string, tokens int, hold time.Duration) (upstream.ResponseMetadata, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserveCalls++
	if m.reserveCalls > 1 && m.renewalTime > 0 {
		m.mu.Unlock()
		time.Sleep(m.renewalTime)
		m.mu.Lock()
	}
	if m.reserveCalls > 1 && m.failCalls > 0 {
		m.failCalls--
		return upstream.ResponseMetadata{}, errNotRun
	}
	m.longestHold = max(m.longestHold, hold)
	if address == m.failAddress {
		return m.response, errNotRun
	}
	if m.held == nil {
		m.held = make(map[string]int)
	}
	m.held[address+" "+id] = tokens
	return m.response, nil
}

func (m *fakeReserver) Release(_ context.Context, address, id string) (upstream.ResponseMetadata, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, address+" "+id)
	return m.response, nil
}

func (m *fakeReserver) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// fakeViews provides one view.
type fakeViews struct {
	view      *atomic.Pointer[routing.View]
	storeAway *bool
}

func (v fakeViews) View() *routing.View { return v.view.Load() }
func (v fakeViews) Entries() int        { return 1 }
func (v fakeViews) StoreAway() bool     { return *v.storeAway }

type discardRecorder struct{}

func (discardRecorder) Ended(routing.Kind, Result, time.Duration, time.Duration) {}

// testbed is a server with its routes and backends, reached over HTTP.
type testbed struct {
	c         *qt.C
	scheduler *fakeScheduler
	reserver  fakeReserver
	view      atomic.Pointer[routing.View]
	storeAway bool
	server    *Server
	http      *httptest.Server
}

func newTestbed(t *testing.T, backends ...*backend) *testbed {
	return newTestbedOn(qt.New(t), backends...)
}

// newTestbedOn returns a testbed with the routes of the tests, whose servers are the
// given backends.
func newTestbedOn(c *qt.C, backends ...*backend) *testbed {
	return newTestbedWithTable(c, testTable(), backends...)
}

// testTable returns the routes of the tests.
func testTable() *routing.Table { return testTableWithin(routing.NewLimits(2000, 1000, 0, 0)) }

// testTableWithin returns the routes of the tests with other limits for callers.
func testTableWithin(limits routing.Limits) *routing.Table {
	route := func(prefix string, kind routing.Kind) routing.Route {
		return routing.NewRoute(prefix, "h.example", prefix, kind).
			WithTimes(2*time.Second, 300*time.Millisecond, 250*time.Millisecond).
			WithMaxAttempts(2).WithTargets(routing.NewTarget("desk", 1))
	}
	return routing.NewTable(3, []routing.Route{
		route("/once/", routing.KindNonIdempotent),
		route("/again/", routing.KindIdempotent),
		route("/stream/", routing.KindStream).WithResumable(true),
		route("/stream/fixed/", routing.KindStream),
		route("/stream/patient/", routing.KindStream).WithTimes(10*time.Second, 300*time.Millisecond, 250*time.Millisecond).WithResumable(true),
		route("/stream/thrice/", routing.KindStream).WithResumable(true).WithMaxAttempts(3).WithTargets(routing.NewTarget("llm", 1)),
		route("/stream/quick/", routing.KindStream).WithTimes(10*time.Second, 300*time.Millisecond, fuzzTokenInterval).WithResumable(true),
		route("/public/", routing.KindNonIdempotent).WithPublic(true),
	}, []routing.Service{routing.NewService("desk"), routing.NewService("llm").WithEngine(routing.NewEngineProfile(8, 1000))}, map[string]routing.Account{"k1": routing.NewAccount("team", -1)},
		limits)
}

func newTestbedWithTable(c *qt.C, table *routing.Table, backends ...*backend) *testbed {
	servers := make(map[string]routing.Server)
	for i := range backends {
		id := fmt.Sprint("s", i+1)
		servers[id] = routing.NewServer(id, "desk", "", "a", 6)
	}
	b := &testbed{c: c, scheduler: &fakeScheduler{backends: backends}}
	b.server = b.newServer(table, servers)
	b.http = httptest.NewServer(b.server)
	c.Cleanup(b.http.Close)
	return b
}

// newServer returns a server that routes by the table.
func (b *testbed) newServer(table *routing.Table, servers map[string]routing.Server) *Server {
	timers := &timer.Service{}
	b.view.Store(routing.NewView(routing.NewRevision(0, 1), table, servers, nil).WithNotices(&b.scheduler.notices))
	client := upstream.NewClient(fakeHeaders{}, timers, upstream.Dialer{})
	return NewServer(fakeViews{view: &b.view, storeAway: &b.storeAway}, b.scheduler, &b.reserver, client, fakeHeaders{},
		NewLimits(NewRetryBudget(0.2, 100, 10*time.Second), 1<<20, 0, 92*time.Millisecond), discardRecorder{}, hclog.NewNullLogger(), timers)
}

// request returns a request of a caller with an API key.
func (b *testbed) request(method, path, body string) *http.Request {
	r, err := http.NewRequest(method, b.http.URL+path, strings.NewReader(body))
	b.c.Assert(err, qt.IsNil)
	r.Host = "h.example"
	r.Header.Set("Id", "a1")
	r.Header.Set("Key", "k1")
	return r
}

// do sends a request; err is that of reading the body.
func (b *testbed) do(r *http.Request) (*http.Response, string, error) {
	b.c.Helper()
	response, err := http.DefaultClient.Do(r)
	b.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}
