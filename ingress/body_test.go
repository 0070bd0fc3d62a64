package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// awaitBodyMemory waits until so many bytes are left for bodies.
func (b *testbed) awaitBodyMemory(bytes int64) {
	b.c.Helper()
	left := int64(0)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if left = b.server.bodyMemory.available.Load(); left == bytes {
			return
		}
	}
	b.c.Fatalf("%d bytes are left for bodies, want %d", left, bytes)
}

// Guards against memory for bodies that is lost with each client that leaves while it sends one,
// until every request with a body is refused.
func TestBodyMemoryOfClientsThatLeaveIsGivenBack(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, fullResponse(200, "x")))
	all := b.server.bodyMemory.available.Load()
	for _, framing := range []string{"Content-Length: 900\r\n\r\nstove", "Transfer-Encoding: chunked\r\n\r\n5\r\nstove\r\n"} {
		conn, err := net.Dial("tcp", b.http.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = fmt.Fprint(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nKey: k1\r\n"+framing)
		c.Assert(err, qt.IsNil)
		for end := time.Now().Add(20 * time.Second); b.server.bodyMemory.available.Load() == all; time.Sleep(time.Millisecond) {
			c.Assert(time.Now().Before(end), qt.IsTrue)
		}
		conn.Close()
		b.awaitBodyMemory(all)
	}
	response, _, _ := b.do(b.request(http.MethodPost, "/once/", "stove"))
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	b.awaitBodyMemory(all)
}

// Guards against a body that is awaited for ever: at the deadline of its request, which has not
// run, its caller is told so, and its memory is there for others.
func TestBodyIsAwaitedUntilDeadline(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, fullResponse(200, "x")))
	all := b.server.bodyMemory.available.Load()
	for _, framing := range []string{"Content-Length: 900\r\n\r\nstove", "Transfer-Encoding: chunked\r\n\r\n5\r\nstove\r\n"} {
		conn, err := net.Dial("tcp", b.http.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = fmt.Fprint(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nKey: k1\r\nLeft: 100ms\r\n"+framing)
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusRequestTimeout)
		c.Assert(response.Close, qt.IsTrue)
		b.awaitBodyMemory(all)
	}
}
