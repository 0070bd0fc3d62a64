package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

var cmpState = cmp.AllowUnexported(
	Status{}, Entry{}, Domain{}, registry.Location{}, Config{}, Item{}, RefusedItem{},
	BackendServer{}, backend.Load{}, Decision{}, RunnerUp{})

// fakeEntry is a Source and Drainer whose state a test sets.
type fakeEntry struct {
	unhealthy error
	notReady  error
	drains    atomic.Int64
}

func (f *fakeEntry) Healthy() error { return f.unhealthy }
func (f *fakeEntry) Ready() error   { return f.notReady }
func (f *fakeEntry) Drain()         { f.drains.Add(1) }

func (f *fakeEntry) Status() Status {
	peer := registry.NewEntry("entry-2", registry.NewLocation("scl", "scl-b"), registry.StateLive, "10.0.0.2:1", "10.0.0.2:2")
	return NewStatus("entry-1", "b81f", registry.NewLocation("scl", "scl-a"), noon).
		WithProcess("v1", noon.Add(-time.Hour)).
		WithReadiness(f.notReady).
		WithOpenRequests(3, f.drains.Load() > 0).
		WithQuorumLease(true).
		WithPlatform(noon.Add(-time.Second), true, 41).
		WithEntries(NewEntry(peer).WithHeartbeat(noon.Add(-time.Minute), 2, true, 40).WithSilent(true)).
		WithDomains(NewDomain("scl-a", registry.StateIn), NewDomain("scl-b", registry.StateOut))
}

func (f *fakeEntry) Config() Config {
	return NewConfig(
		[]Item{NewItem("service/strip-model", 7, noon, "platform")},
		[]RefusedItem{NewRefusedItem("service/strip-model", 8, noon, errors.New("cold above warm"))})
}

func (f *fakeEntry) BackendServers() []BackendServer {
	return []BackendServer{
		NewBackendServer("engine-7", "x1", backend.NewLoad(1, 900), backend.NewLoad(2, 48_000)).
			WithService("strip-model").WithWarmth("cold", 0, "full").WithSuspendedReason("leaving"),
	}
}

// start starts an admin server for the entry on loopback and returns its client.
func start(t *testing.T, entry *fakeEntry, decisions *DecisionLog) *Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := NewServer(entry, entry, decisions, hclog.NewNullLogger())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		qt.Check(t, server.Shutdown(context.Background()), qt.IsNil)
		qt.Check(t, <-served, qt.IsNil)
	})
	return NewClient(listener.Addr().String())
}

func TestClientDecodesState(t *testing.T) {
	c := qt.New(t)
	entry := &fakeEntry{notReady: errors.New("not synced")}
	var decisions DecisionLog
	routed := NewDecision(noon, KindRouted, "q-1", "entry-1-7.1").
		WithService("strip-model", "strip-1", 7).WithChoice("engine-7", "entry-2", "prefix").
		WithRunnersUp(NewRunnerUp("engine-8", "full"))
	decisions.Add(routed)
	client := start(t, entry, &decisions)
	ctx := context.Background()

	status, err := client.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.CmpEquals(cmpState), entry.Status())
	config, err := client.Config(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(config, qt.CmpEquals(cmpState), entry.Config())
	servers, err := client.BackendServers(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(servers, qt.CmpEquals(cmpState), entry.BackendServers())
	explained, err := client.Explain(ctx, "q-1")
	c.Assert(err, qt.IsNil)
	routed.sequence = 0
	c.Check(explained, qt.CmpEquals(cmpState), []Decision{routed})
	reason, err := client.Ready(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(reason, qt.Equals, "not synced")
	reason, err = client.Healthy(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(reason, qt.Equals, "")
}

func TestDrain(t *testing.T) {
	c := qt.New(t)
	entry := &fakeEntry{}
	client := start(t, entry, &DecisionLog{})
	_, err := client.Drain(context.Background(), "entry-9")
	c.Assert(err, qt.ErrorIs, ErrRefused)
	c.Assert(err, qt.ErrorMatches, "this entry is entry-1: operator: refused")
	c.Assert(entry.drains.Load(), qt.Equals, int64(0))
	id, err := client.Drain(context.Background(), "entry-1")
	c.Assert(err, qt.IsNil)
	c.Assert(id, qt.Equals, "entry-1")
	c.Assert(entry.drains.Load(), qt.Equals, int64(1))
}

func TestDrainRefused(t *testing.T) {
	tests := []struct {
		name   string
		method string
		bound  bool
		origin string
		want   int
	}{
		{"on another server's address", http.MethodPost, false, "", http.StatusForbidden},
		{"by GET", http.MethodGet, true, "", http.StatusMethodNotAllowed},
		{"by a page of another site", http.MethodPost, true, "http://elsewhere.example", http.StatusForbidden},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			entry := &fakeEntry{}
			server := NewServer(entry, entry, &DecisionLog{}, hclog.NewNullLogger())
			running := httptest.NewUnstartedServer(server.Handler())
			if test.bound {
				running.Config.BaseContext = withBoundAddress
			}
			running.Start()
			defer running.Close()
			request, err := http.NewRequest(test.method, running.URL+"/v1/drain", nil)
			c.Assert(err, qt.IsNil)
			if test.origin != "" {
				request.Header.Set("Origin", test.origin)
			}
			response, err := http.DefaultClient.Do(request)
			c.Assert(err, qt.IsNil)
			response.Body.Close()
			c.Assert(response.StatusCode, qt.Equals, test.want)
			c.Assert(entry.drains.Load(), qt.Equals, int64(0))
		})
	}
}

func TestHandlerResponses(t *testing.T) {
	tests := []struct {
		name   string
		entry  *fakeEntry
		target string
		status int
		body   string
	}{
		{"healthy", &fakeEntry{}, "/healthz", 200, `"state": "ok"`},
		{"unhealthy", &fakeEntry{unhealthy: errors.New("control stopped")}, "/healthz", 503, `"reason": "control stopped"`},
		{"ready", &fakeEntry{}, "/readyz", 200, `"state": "ok"`},
		{"not ready", &fakeEntry{notReady: errors.New("draining")}, "/readyz", 503, `"reason": "draining"`},
		{"variables", &fakeEntry{}, "/debug/vars", 200, `"memstats"`},
		{"explain without id", &fakeEntry{}, "/v1/explain", 400, `"message": "request_id must be 1 to 256 bytes long"`},
		{"explain an unknown id", &fakeEntry{}, "/v1/explain?request_id=x", 200, `"decisions": []`},
		{"unknown path", &fakeEntry{}, "/v1/other", 404, "404 page not found"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := NewServer(test.entry, test.entry, &DecisionLog{}, hclog.NewNullLogger())
			recorder := httptest.NewRecorder()
			server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, test.target, nil))
			c.Assert(recorder.Code, qt.Equals, test.status)
			c.Assert(recorder.Body.String(), qt.Contains, test.body)
		})
	}
}

func TestClientErrors(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener.Close()
	_, err = NewClient(listener.Addr().String()).Status(context.Background())
	c.Assert(err, qt.ErrorIs, ErrUnreachable)

	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	_, err = NewClient(strings.TrimPrefix(other.URL, "http://")).Status(context.Background())
	c.Assert(err, qt.ErrorIs, ErrInvalidResponse)
}
