package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

const (
	recordsPath = "/v1/services/repairs/records"
	ownedID     = "entry-1.ab.0.x"
)

// fakeService counts the calls that it runs and responds with their bodies.
type fakeService struct {
	runs     atomic.Int32
	status   int
	header   http.Header
	release  chan struct{}
	began    chan struct{}
	truncate bool
	// body is sent in place of one that repeats the call.
	body string
}

func (s *fakeService) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.runs.Add(1)
	if s.release != nil {
		s.began <- struct{}{}
		<-s.release
	}
	if s.truncate {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	for name, values := range s.header {
		w.Header()[name] = values
	}
	if s.status != 0 {
		w.WriteHeader(s.status)
	}
	if s.body != "" {
		io.WriteString(w, s.body)
		return
	}
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

// newForwardingEntry returns another entry, which lists the owner at the
// address.
func newForwardingEntry(t *testing.T, owner string) *testEntry {
	e := newTestEntry(t, Limits{})
	e.snapshot.self = backend.NewOwner("entry-2", 0xcd)
	location := registry.NewLocation("scl", "scl-b")
	e.snapshot.entries = append(e.snapshot.entries, registry.NewEntry("entry-1", location, registry.StateLive, owner, ""))
	e.snapshot.entries[0] = registry.NewEntry("entry-2", location, registry.StateLive, strings.TrimPrefix(e.url, "http://"), "")
	return e
}

func TestIdempotentCallIsRetried(t *testing.T) {
	c := qt.New(t)
	truncated, good := &fakeService{truncate: true}, &fakeService{}
	e := newTestEntry(t, Limits{}, newFakeServer(t, "service-1", "repairs", truncated.serve), newFakeServer(t, "service-2", "repairs", good.serve))
	response, text := e.mustDo(t, "GET", "/v1/services/repairs/records/lost%20pass?year=3", agencyKey, "")
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(text, qt.Equals, "GET /records/lost%20pass?year=3 ")
	c.Assert(e.slots.waitReleased(t, 2), qt.DeepEquals, []string{"service-1 failed", "service-2 finished"})
}

func TestCallRunsOnceAndItsResponseIsStored(t *testing.T) {
	c := qt.New(t)
	service := &fakeService{status: http.StatusConflict, header: http.Header{"Location": {"/records/7"}}}
	owner := newTestEntry(t, Limits{}, newFakeServer(t, "service-1", "repairs", service.serve))
	forwarder := newForwardingEntry(t, strings.TrimPrefix(owner.url, "http://"))
	for _, e := range []*testEntry{forwarder, owner, forwarder} {
		response, text := e.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID)
		c.Assert(response.StatusCode, qt.Equals, http.StatusConflict)
		c.Assert(response.Header.Get("Location"), qt.Equals, "/records/7")
		c.Assert(response.Header.Get("X-Request-Id"), qt.Equals, ownedID)
		c.Assert(text, qt.Equals, "POST /records stove")
	}
	c.Assert(service.runs.Load(), qt.Equals, int32(1))
}

func TestDuplicateWaitsForCallInProgress(t *testing.T) {
	c := qt.New(t)
	service := &fakeService{release: make(chan struct{}), began: make(chan struct{}, 1)}
	e := newTestEntry(t, Limits{}, newFakeServer(t, "service-1", "repairs", service.serve))
	release := sync.OnceFunc(func() { close(service.release) })
	t.Cleanup(release)
	texts := make(chan string, 2)
	post := func() {
		_, text, err := e.do("POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID)
		if err != nil {
			text = err.Error()
		}
		texts <- text
	}
	go post()
	<-service.began
	_, text := e.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID, "X-Time-Left", "10ms")
	c.Assert(failureOf(c, text).Outcome, qt.Equals, OutcomeUnknown)
	go post()
	release()
	c.Assert(<-texts, qt.Equals, "POST /records stove")
	c.Assert(<-texts, qt.Equals, "POST /records stove")
	c.Assert(service.runs.Load(), qt.Equals, int32(1))
}

// Guards against REFUSED: a status of the service itself, whatever it promises elsewhere,
// is passed on as its own and stored as the result of a call that ran.
func TestServicesOwnRefusalIsItsResult(t *testing.T) {
	c := qt.New(t)
	for i, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		service, other := &fakeService{status: status, body: "overloaded"}, &fakeService{}
		e := newTestEntry(t, Limits{}, newFakeServer(t, "service-1", "repairs", service.serve), newFakeServer(t, "service-2", "repairs", other.serve))
		for range 2 {
			response, text := e.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", fmt.Sprint(ownedID, i))
			c.Assert(response.StatusCode, qt.Equals, status)
			c.Assert(text, qt.Equals, "overloaded")
		}
		c.Assert(service.runs.Load(), qt.Equals, int32(1))
		c.Assert(other.runs.Load(), qt.Equals, int32(0))
	}
}

func TestNonIdempotentCallIsNotRetriedAfterSend(t *testing.T) {
	draining := http.Header{"X-State": {"leaving"}}
	crossed := http.Header{"X-Request-Id": {"other"}}
	tests := []struct {
		name    string
		service *fakeService
		reason  Reason
	}{
		{"cut", &fakeService{truncate: true}, ReasonServerFailed},
		{"crossed", &fakeService{header: crossed}, ReasonTruncated},
		{"leaving", &fakeService{status: http.StatusServiceUnavailable, header: draining}, ReasonServerFailed},
		{"full", &fakeService{status: http.StatusTooManyRequests, body: `{"error":{"reason":"full"}}`}, ReasonServerFailed},
		{"late", &fakeService{status: http.StatusConflict, body: `{"error":{"reason":"not_after"}}`}, ReasonServerFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			other := &fakeService{}
			e := newTestEntry(t, Limits{}, newFakeServer(t, "service-1", "repairs", test.service.serve), newFakeServer(t, "service-2", "repairs", other.serve))
			for range 2 {
				response, text := e.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID)
				c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
				detail := failureOf(c, text)
				c.Assert(detail.Outcome, qt.Equals, OutcomeUnknown)
				c.Assert(detail.Reason, qt.Equals, test.reason)
			}
			c.Assert(test.service.runs.Load()+other.runs.Load(), qt.Equals, int32(1))
		})
	}
}

func TestUnsentCallIsRetriedElsewhere(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener.Close()
	location := registry.NewLocation("scl", "scl-a")
	unreachable := registry.NewServer("service-1", registry.KindService, location, registry.StateLive, listener.Addr().String(), "repairs")
	good := &fakeService{}
	e := newTestEntry(t, Limits{}, backend.NewServer(unreachable, backend.Capacity{}), newFakeServer(t, "service-2", "repairs", good.serve))
	_, text := e.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID)
	c.Assert(text, qt.Equals, "POST /records stove")
	c.Assert(e.slots.waitReleased(t, 2), qt.DeepEquals, []string{"service-1 not_started", "service-2 finished"})
}

func TestRefusedCallNeverRunsLater(t *testing.T) {
	c := qt.New(t)
	service := &fakeService{}
	server := newFakeServer(t, "service-1", "repairs", service.serve)
	e := newTestEntry(t, Limits{})
	for _, id := range []string{ownedID, "entry-1.ab.0.y"} {
		if id != ownedID {
			e.slots.servers = nil
			e.tracker.drain()
		}
		_, text := e.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", id)
		detail := failureOf(c, text)
		c.Assert(detail.Outcome, qt.Equals, OutcomeNotRun)
		c.Assert(detail.Message, qt.Matches, ".*this id is used up: call again with a new one")
		e.slots.servers = []backend.Server{server}
		e.tracker = workTracker{}
		_, again := e.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", id)
		c.Assert(again, qt.Equals, text)
	}
	c.Assert(service.runs.Load(), qt.Equals, int32(0))
}

func TestCallResultIsStoredAfterCallerLeaves(t *testing.T) {
	c := qt.New(t)
	service := &fakeService{release: make(chan struct{}), began: make(chan struct{}, 1)}
	e := newTestEntry(t, Limits{}, newFakeServer(t, "service-1", "repairs", service.serve))
	release := sync.OnceFunc(func() { close(service.release) })
	t.Cleanup(release)
	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", e.url+recordsPath, strings.NewReader("stove"))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+agencyKey)
	request.Header.Set("X-Request-Id", ownedID)
	disconnected := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(request)
		disconnected <- err
	}()
	<-service.began
	disconnect()
	c.Assert(<-disconnected, qt.IsNotNil)
	release()
	_, text := e.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID)
	c.Assert(text, qt.Equals, "POST /records stove")
	c.Assert(service.runs.Load(), qt.Equals, int32(1))
}

func TestUnreachableOwnerIsUnknown(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	forwarder := newForwardingEntry(t, address)
	tests := []struct {
		answer string
		reason Reason
	}{
		{"", ReasonOwnerUnreachable},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", ReasonOwnerUnreachable},
		{"HTTP/1.1 200 OK\r\n\r\nno length", ReasonOwnerUnreachable},
	}
	forwarded := make(chan string, 1)
	for _, test := range tests {
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			n, _ := conn.Read(buffer)
			forwarded <- string(buffer[:n])
			io.WriteString(conn, test.answer)
			conn.Close()
		}()
		_, text := forwarder.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID)
		detail := failureOf(c, text)
		c.Assert(detail.Outcome, qt.Equals, OutcomeUnknown)
		c.Assert(detail.Reason, qt.Equals, test.reason)
		call := <-forwarded
		c.Assert(call, qt.Contains, "X-Forwarded-By: entry-2\r\n")
		c.Assert(call, qt.Contains, "X-Request-Id: "+ownedID+"\r\n")
		c.Assert(call, qt.Matches, `(?s).*X-Time-Left: 9\.[0-9]+s\r\n.*`)
	}
	listener.Close()
	_, text := forwarder.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID)
	c.Assert(failureOf(c, text).Reason, qt.Equals, ReasonOwnerUnreachable)
	// A forwarded call is not forwarded again.
	_, text = forwarder.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID, "X-Forwarded-By", "entry-3")
	c.Assert(failureOf(c, text).Reason, qt.Equals, ReasonOwnerLost)
}

// TestSilentOwnerIsUnknownAtOnce checks that a call forwarded to a frozen owner
// ends when the owner has gone silent, not at the call's deadline.
func TestSilentOwnerIsUnknownAtOnce(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	forwarder := newForwardingEntry(t, listener.Addr().String())
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			accepted <- conn
			forwarder.snapshot.silent.Store(true)
		}
	}()
	_, text := forwarder.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID)
	detail := failureOf(c, text)
	c.Assert(detail.Outcome, qt.Equals, OutcomeUnknown)
	c.Assert(detail.Reason, qt.Equals, ReasonOwnerUnreachable)
	c.Assert(detail.Message, qt.Equals, ownerSilent.message)
	(<-accepted).Close()
}

// newFullListener returns a listener whose queue of connections is full, so that it
// answers no further one until it accepts.
func newFullListener(c *qt.C) net.Listener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	c.Assert(syscall.Listen(fd, 0), qt.IsNil)
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	listener, err := net.FileListener(file)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return listener
		}
		c.Cleanup(func() { conn.Close() })
	}
}

// Guards against a call that ends as unknown because the only entry that may run it does
// not answer the opening of a connection for a short time.
func TestForwardedCallOutlivesShortSilence(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	service := new(fakeService)
	owner := newTestEntry(t, Limits{}, newFakeServer(t, "repairs-1", "repairs", service.serve))
	listener := newFullListener(c)
	time.AfterFunc(1200*time.Millisecond, func() { http.Serve(listener, owner.Handler()) })
	forwarder := newForwardingEntry(t, listener.Addr().String())
	response, text := forwarder.mustDo(t, "POST", recordsPath, agencyKey, "stove", "X-Request-Id", ownedID)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	c.Assert(service.runs.Load(), qt.Equals, int32(1))
}
