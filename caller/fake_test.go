package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
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

	"greengagedock.example/backend"
	"greengagedock.example/registry"
	"greengagedock.example/timer"
)

const (
	agencyKey = "key-of-agency"
	paperKey  = "key-of-paper"
)

// testDocuments returns the documents of a model service and a plain service.
// The account paper may use the model service only.
func testDocuments(c testing.TB) []*registry.Document {
	texts := []string{`{
		"service": "strip", "team": "vineta", "version": 3, "priority": 5,
		"accounts": [
			{"name": "agency", "key_sha256": "` + hashOf(agencyKey) + `"},
			{"name": "paper", "key_sha256": "` + hashOf(paperKey) + `", "requests": 1, "tokens_per_second": 10},
		],
		"models": [{"name": "strip-1", "prompt_tokens": 1000000, "answer_tokens": 1000, "deadline": "10s"}],
		"backend_servers": {"cold": {"requests": 1, "tokens": 100000}, "warm": {"requests": 9, "tokens": 2000000}, "warm_after": 2},
	}`, `{
		"service": "repairs", "team": "trust", "version": 8, "priority": 1,
		"accounts": [{"name": "agency", "key_sha256": "` + hashOf(agencyKey) + `"}],
		"calls": [
			{"method": "GET", "path": "/records/{hut}", "repeatable": true, "deadline": "10s"},
			{"method": "POST", "path": "/records", "repeatable": false, "deadline": "10s"},
		],
		"backend_servers": {"cold": {"requests": 1, "tokens": 0}, "warm": {"requests": 9, "tokens": 0}, "warm_after": 2},
	}`}
	var documents []*registry.Document
	for _, text := range texts {
		document, err := registry.ParseDocument("test", []byte(text))
		if err != nil {
			c.Fatal(err)
		}
		documents = append(documents, document)
	}
	return documents
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// fakeSnapshot is a snapshot that is its own source.
type fakeSnapshot struct {
	self      backend.Owner
	documents []*registry.Document
	entries   []registry.Instance
	silent    atomic.Bool
}

func (s *fakeSnapshot) Silent(string) bool { return s.silent.Load() }

func (s *fakeSnapshot) Snapshot() Snapshot              { return s }
func (s *fakeSnapshot) Self() backend.Owner             { return s.self }
func (s *fakeSnapshot) Documents() []*registry.Document { return s.documents }

func (s *fakeSnapshot) Addresses(string) ([]registry.Instance, time.Duration) {
	return s.entries, 30 * time.Second
}

func (s *fakeSnapshot) Entry(id string) (registry.Instance, bool) {
	return registry.NewList(1, s.entries...).Find(id)
}

// fakeSlots grants a slot on the first server that the request does not avoid.
type fakeSlots struct {
	mu       sync.Mutex
	servers  []backend.Server
	refusal  *backend.Refusal
	startBy  time.Duration
	requests []backend.SlotRequest
	released []string
	refused  []string
}

func (s *fakeSlots) Acquire(ctx context.Context, request backend.SlotRequest) (backend.Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	if s.refusal != nil {
		return backend.Slot{}, s.refusal
	}
	for _, server := range s.servers {
		if server.Service() == request.Workload().Service() && !slices.Contains(request.Avoid(), server.ID()) {
			return backend.NewSlot(request, "e1", server, "i1", time.Now().Add(s.startBy)), nil
		}
	}
	return backend.Slot{}, backend.NewRefusal(backend.ReasonNoServer, 1500*time.Millisecond)
}

func (s *fakeSlots) Crashed(backend.Slot) {}

func (s *fakeSlots) Settled(backend.Slot) {}

func (s *fakeSlots) Refused(slot backend.Slot, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = append(s.refused, slot.Server()+" "+wait.String())
}

func (s *fakeSlots) Release(slot backend.Slot, outcome backend.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = append(s.released, slot.Server()+" "+string(outcome))
}

// waitReleased waits until n slots have been released and returns them with
// their outcomes.
func (s *fakeSlots) waitReleased(c testing.TB, n int) []string {
	for range 1000 {
		s.mu.Lock()
		released := slices.Clone(s.released)
		s.mu.Unlock()
		if len(released) >= n {
			return released
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("fewer than %d slots were released", n)
	return nil
}

// testEntry is a server in front of fake backend servers.
type testEntry struct {
	*Server
	snapshot *fakeSnapshot
	slots    *fakeSlots
	url      string
}

// newTestEntry returns a server that listens on loopback until the test ends.
func newTestEntry(c testing.TB, limits Limits, servers ...backend.Server) *testEntry {
	return newTestEntryWithClient(c, new(backend.Client), limits, servers...)
}

// newTestEntryWithClient is newTestEntry with another client of backend servers.
func newTestEntryWithClient(c testing.TB, client *backend.Client, limits Limits, servers ...backend.Server) *testEntry {
	snapshot := &fakeSnapshot{self: backend.NewOwner("entry-1", 0xab), documents: testDocuments(c)}
	slots := &fakeSlots{servers: servers, startBy: time.Minute}
	e := &testEntry{
		Server:   NewServer(snapshot, slots, client, limits, hclog.NewNullLogger(), new(timer.Service)),
		snapshot: snapshot, slots: slots,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal(err)
	}
	address := listener.Addr().String()
	snapshot.entries = []registry.Instance{registry.NewEntry("entry-1", registry.NewLocation("scl", "scl-a"), registry.StateLive, address, "")}
	e.url = "http://" + address
	go e.Serve(listener)
	c.Cleanup(func() { e.http.Close() })
	return e
}

// newFakeServer returns a backend server of the service that listens on
// loopback.
func newFakeServer(c testing.TB, id, service string, handler http.HandlerFunc) backend.Server {
	server := httptest.NewServer(handler)
	c.Cleanup(server.Close)
	return newServerAt(id, service, server.Listener.Addr().String())
}

// newServerAt returns a backend server of the service at an address.
func newServerAt(id, service, address string) backend.Server {
	kind := registry.KindEngine
	if service == "repairs" {
		kind = registry.KindService
	}
	location := registry.NewLocation("scl", "scl-a")
	instance := registry.NewServer(id, kind, location, registry.StateLive, address, service)
	return backend.NewServer(instance, backend.Capacity{})
}

// fakeEngine streams numbered tokens, from the one at which it is asked to
// resume, and reports the attempts that are cancelled.
type fakeEngine struct {
	tokens     int
	truncateAt int
	cancelled  chan string
}

func (e *fakeEngine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/cancel" {
		var body struct{ ID string }
		json.NewDecoder(r.Body).Decode(&body)
		if e.cancelled != nil {
			e.cancelled <- body.ID
		}
		return
	}
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	text := fakeStream(id, from, e.tokens)
	w.Header().Set("X-Request-Id", id)
	if e.truncateAt > 0 && e.truncateAt < len(text) {
		io.WriteString(w, text[:e.truncateAt])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, text)
}

// fakeStream returns a streamed response that starts at token from.
func fakeStream(id string, from, tokens int) string {
	var text strings.Builder
	for n := from; n < tokens; n++ {
		fmt.Fprintf(&text, "data: {\"id\":%q,\"index\":%d,\"choices\":[{\"text\":\"w%d \"}]}\n\n", id, n, n)
	}
	fmt.Fprintf(&text, "data: {\"id\":%q,\"index\":%d,\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],"+
		"\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", id, tokens, tokens)
	return text.String()
}

// mustDo sends a request to the entry and returns the response with its body.
func (e *testEntry) mustDo(c testing.TB, method, path, key, body string, headers ...string) (*http.Response, string) {
	response, text, err := e.do(method, path, key, body, headers...)
	if err != nil {
		c.Fatal(err)
	}
	return response, text
}

func (e *testEntry) do(method, path, key, body string, headers ...string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// failureOf parses the failure in a response body.
func failureOf(c *qt.C, text string) failureDetail {
	var body failureBody
	c.Assert(json.Unmarshal([]byte(text), &body), qt.IsNil, qt.Commentf("%s", text))
	return body.Error
}
