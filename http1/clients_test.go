package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testServer serves requests within the limits of clients. Requests for /wait wait until it ends.
type testServer struct {
	c       *qt.C
	clients *Clients
	address string
	ended   chan struct{}
}

func newTestServer(t *testing.T, limits Limits, headLimit int) *testServer {
	s := &testServer{c: qt.New(t), clients: NewClients(limits, nil), ended: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s}
	s.clients.Attach(server)
	go func() { _ = server.Serve(s.clients.Listen(listener, func() int { return headLimit })) }() // ends with Close
	s.c.Cleanup(func() {
		close(s.ended)
		server.Close()
	})
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/evict" {
		fmt.Fprint(w, s.clients.EvictBody(r))
		return
	}
	s.clients.HoldsBody(r)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := s.clients.Received(r); err != nil {
		Refuse(w, err)
		return
	}
	if r.URL.Path == "/wait" {
		<-s.ended
	}
	fmt.Fprint(w, len(r.Header))
}

// dial connects and sends a text.
func (s *testServer) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	s.c.Assert(err, qt.IsNil)
	return conn
}

// status returns the status of the next response, 0 if the connection ends without one.
func (s *testServer) status(conn net.Conn) int {
	s.c.Assert(conn.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	s.c.Assert(err, qt.IsNil)
	return response.StatusCode
}

// await waits until the connections and the memory of heads are as wanted.
func (s *testServer) await(connections int, holds func(headMemory int64) bool) {
	s.c.Helper()
	var open int
	var memory int64
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if open, memory = s.clients.Open(); open == connections && holds(memory) {
			return
		}
	}
	s.c.Fatalf("%d connections, %d bytes", open, memory)
}

// awaitRunning waits until so many connections have requests that arrived as a whole.
func (s *testServer) awaitRunning(requests int) {
	s.c.Helper()
	running := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.clients.mu.Lock()
		running = s.clients.open - s.clients.waiting.Len()
		s.clients.mu.Unlock()
		if running == requests {
			return
		}
	}
	s.c.Fatalf("%d requests", running)
}

// awaitHolding waits until so many connections wait for the rest of bodies that hold memory.
func (s *testServer) awaitHolding(bodies int) {
	s.c.Helper()
	holding := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		holding = 0
		s.clients.mu.Lock()
		for e := s.clients.waiting.Front(); e != nil; e = e.Next() {
			if e.Value.(*Conn).holdsBody {
				holding++
			}
		}
		s.clients.mu.Unlock()
		if holding == bodies {
			return
		}
	}
	s.c.Fatalf("%d bodies", holding)
}

func none(headMemory int64) bool { return headMemory == 0 }

func some(headMemory int64) bool { return headMemory > 0 }

// shortLines returns a head without its end that has so many short lines.
func shortLines(path string, lines int) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines)
}

// Guards against memory of heads that is lost: it is given back when a request has ended, is
// refused, or its client has left.
func TestHeadMemoryIsGivenBack(t *testing.T) {
	s := newTestServer(t, NewLimits(0, 1<<20), 0)
	kept := s.dial(shortLines("/", 1000) + "\r\n")
	s.c.Assert(s.status(kept), qt.Equals, http.StatusOK)
	s.await(1, none)
	waits := s.dial(shortLines("/wait", 1000) + "\r\n")
	s.await(2, some)
	waits.Close()
	awaited := s.dial(shortLines("/", 1000))
	s.await(3, some)
	awaited.Close()
	refused := s.dial(shortLines("/", 5000) + "\r\n")
	s.c.Assert(s.status(refused), qt.Equals, http.StatusServiceUnavailable)
	refused.Close()
	kept.Close()
	s.await(1, some) // that of the handler that waits
}

// Guards against crowds of clients that keep others out by heads that are not complete: the one
// that has waited longest makes room.
func TestLongestIncompleteHeadMakesRoom(t *testing.T) {
	s := newTestServer(t, NewLimits(0, 1<<20), 0)
	small := s.dial(shortLines("/", 20))
	s.await(1, none)
	first := s.dial(shortLines("/", 1000))
	s.await(2, func(memory int64) bool { return memory > 950*lineBytes })
	second := s.dial(shortLines("/", 2500))
	s.await(3, func(memory int64) bool { return memory > 3400*lineBytes })
	next := s.dial(shortLines("/", 2000) + "\r\n")
	s.c.Assert(s.status(next), qt.Equals, http.StatusOK)
	s.c.Assert(s.status(first), qt.Equals, 0)
	s.c.Assert(s.status(second), qt.Equals, 0)
	_, err := io.WriteString(small, "\r\n")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(s.status(small), qt.Equals, http.StatusOK)
	counts := s.clients.Counts()
	s.c.Assert(counts.Evicted(), qt.Equals, int64(2))
	s.c.Assert(counts.NoMemory(), qt.Equals, int64(0))
}

// Guards against ordinary requests that are refused while large heads of waiting requests take
// all the memory.
func TestOrdinaryHeadsNeedNoReservedMemory(t *testing.T) {
	s := newTestServer(t, NewLimits(0, 1<<20), 0)
	s.dial(shortLines("/wait", 3900) + "\r\n")
	s.awaitRunning(1)
	s.c.Assert(s.status(s.dial(shortLines("/", 1000)+"\r\n")), qt.Equals, http.StatusServiceUnavailable)
	s.c.Assert(s.status(s.dial(shortLines("/", 20)+"\r\n")), qt.Equals, http.StatusOK)
}

// Guards against a head that escapes the limits since it arrives together with the request
// before, and against a body that is taken for a head there.
func TestHeadBehindAnotherRequest(t *testing.T) {
	s := newTestServer(t, NewLimits(0, 100<<10), 2000)
	first := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb"
	conn := s.dial(first + shortLines("/", 600) + "\r\n")
	reader := bufio.NewReader(conn)
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, err := http.ReadResponse(reader, nil)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(response.StatusCode, qt.Equals, status)
		_, err = io.Copy(io.Discard, response.Body)
		s.c.Assert(err, qt.IsNil)
	}
	conn = s.dial(first + "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\nConnection: close\r\n\r\n" + strings.Repeat("\n", 9000))
	answer, err := io.ReadAll(conn)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(strings.Count(string(answer), "HTTP/1.1 200 OK"), qt.Equals, 2, qt.Commentf("%s", answer))
}

// Guards against heads without an end, and against an answer that is lost since the client goes
// on sending: the limit counts bytes on the wire, without the empty line at the end.
func TestHeadLimit(t *testing.T) {
	s := newTestServer(t, Limits{}, 2000)
	head := shortLines("/", 100)
	head += "b: " + strings.Repeat("v", 2000-len(head)-len("b: \r\n"))
	s.c.Assert(s.status(s.dial(head+"\r\n\r\n")), qt.Equals, http.StatusOK)
	s.c.Assert(s.status(s.dial(head+"v\r\n\r\n")), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	s.c.Assert(s.status(s.dial(head+strings.Repeat("v", 100_000))), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	s.c.Assert(s.status(s.dial(strings.Repeat("\r\n", 900))), qt.Equals, http.StatusBadRequest)
	s.c.Assert(s.clients.Counts().TooLarge(), qt.Equals, int64(2))
}

// Guards against clients that keep others out by connections on which nothing, a part of a head
// or a part of a body is sent, and against a request that is closed in favour of a new one.
func TestLongestWaitingConnectionMakesRoom(t *testing.T) {
	s := newTestServer(t, NewLimits(4, 0), 0)
	running := s.dial(shortLines("/wait", 0) + "\r\n")
	s.await(1, none)
	silent := s.dial("")
	s.await(2, none)
	head := s.dial("GET / HTTP")
	s.await(3, none)
	body := s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nb")
	s.await(4, none)
	for _, waiting := range []net.Conn{silent, head, body} {
		kept := s.dial(shortLines("/wait", 0) + "\r\n")
		s.c.Assert(s.status(waiting), qt.Equals, 0)
		s.await(4, none)
		defer kept.Close()
	}
	s.awaitRunning(4)
	s.c.Assert(s.status(s.dial("")), qt.Equals, 0) // all others run
	s.c.Assert(s.clients.Counts().Evicted(), qt.Equals, int64(3))
	s.c.Assert(running.SetReadDeadline(time.Now().Add(10*time.Millisecond)), qt.IsNil)
	_, err := running.Read(make([]byte, 1))
	s.c.Assert(err, qt.ErrorMatches, ".*timeout")
}

// Guards against bodies that are awaited and keep others out: the one that has waited longest makes
// room, unless the request that needs it has waited longer.
func TestLongestAwaitedBodyMakesRoom(t *testing.T) {
	s := newTestServer(t, Limits{}, 0)
	body := func(path string) string { return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nb" }
	alone := s.dial(body("/evict") + "bb")
	s.c.Assert(s.status(alone), qt.Equals, http.StatusOK)
	s.c.Assert(s.clients.Counts().Evicted(), qt.Equals, int64(0))
	alone.Close()
	s.await(0, none)
	running := s.dial(body("/wait") + "bb")
	s.awaitRunning(1)
	first := s.dial(body("/"))
	s.awaitHolding(1)
	second := s.dial(body("/"))
	s.awaitHolding(2)
	s.c.Assert(s.status(s.dial(body("/evict")+"bb")), qt.Equals, http.StatusOK)
	s.c.Assert(s.status(first), qt.Equals, 0)
	_, err := io.WriteString(second, "bb")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(s.status(second), qt.Equals, http.StatusOK)
	running.Close()
	s.c.Assert(s.clients.Counts().Evicted(), qt.Equals, int64(1))
}

// Guards against clients that get no answer, rather than a refusal, while all but a few
// connections have requests.
func TestRequestsBeyondTheLimitAreRefused(t *testing.T) {
	s := newTestServer(t, NewLimits(2*spareDivisor, 0), 0)
	for n := range 2*spareDivisor - 2 {
		s.dial(shortLines("/wait", 0) + "\r\n")
		s.awaitRunning(n + 1)
	}
	for range 3 {
		s.c.Assert(s.status(s.dial(shortLines("/wait", 0)+"\r\n")), qt.Equals, http.StatusServiceUnavailable)
	}
	s.c.Assert(s.clients.Counts().Refused(), qt.Equals, int64(3))
}
