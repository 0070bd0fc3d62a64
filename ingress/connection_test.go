package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/routing"
)

// listen starts a server with the limits and returns a connection to it.
func (b *testbed) listen(limits routing.Limits) net.Conn {
	route := routing.NewRoute("r", "h.example", "/", routing.KindNonIdempotent).WithPublic(true).WithTimes(time.Second, time.Second, 0)
	server := b.newServer(routing.NewTable(1, []routing.Route{route}, nil, nil, limits), map[string]routing.Server{
		"s1": routing.NewServer("s1", "", "", "a", 6),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	b.c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }() // ends with the listener
	b.c.Cleanup(func() { listener.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	b.c.Assert(err, qt.IsNil)
	b.c.Cleanup(func() { conn.Close() })
	return conn
}

// assertClosed asserts that the peer closes the connection without sending anything.
func assertClosed(c *qt.C, conn net.Conn) {
	c.Helper()
	c.Assert(conn.SetReadDeadline(time.Now().Add(8*time.Second)), qt.IsNil) // shorter than the timeouts without a configuration
	rest, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(rest), qt.Equals, "")
}

func TestIdleConnectionIsClosed(t *testing.T) {
	c := qt.New(t)
	assertClosed(c, newTestbed(t).listen(routing.NewLimits(0, 0, 0, 50*time.Millisecond)))
}

func TestIncompleteHeaderIsClosed(t *testing.T) {
	c := qt.New(t)
	conn := newTestbed(t).listen(routing.NewLimits(0, 0, 50*time.Millisecond, 0))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h.ex")
	c.Assert(err, qt.IsNil)
	assertClosed(c, conn)
}

// The header and idle timeouts must not apply while a body is read.
func TestHeaderTimeoutExcludesBody(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, fullResponse(200, "late")))
	conn := b.listen(routing.NewLimits(0, 0, 50*time.Millisecond, 50*time.Millisecond))
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nContent-Length: 4\r\n\r\n")
	time.Sleep(150 * time.Millisecond)
	fmt.Fprint(conn, "body")
	c.Assert(conn.SetReadDeadline(time.Now().Add(8*time.Second)), qt.IsNil)
	response, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(response), fmt.Sprint(http.StatusOK)), qt.IsTrue, qt.Commentf("%s", response))
}
