package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/routing"
)

// connectionRoute is the route of the tests of connections.
var connectionRoute = routing.NewRoute("r", "h.example", "/", routing.KindNonIdempotent).WithPublic(true).WithTimes(time.Second, time.Second, 0)

// listen starts a server with the limits and returns a connection to it.
func (b *testbed) listen(limits routing.Limits) net.Conn {
	server := b.newServer(routing.NewTable(1, []routing.Route{connectionRoute}, nil, nil, limits), map[string]routing.Server{
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

// A configuration that allows for a longer idle time also holds for connections that are
// idle already: callers know only the newest one.
func TestIdleConnectionGetsLongerTimeout(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, fullResponse(200, "late")))
	conn := b.listen(routing.NewLimits(0, 0, 0, 100*time.Millisecond))
	time.Sleep(20 * time.Millisecond)
	table := routing.NewTable(2, []routing.Route{connectionRoute}, nil, nil, routing.NewLimits(0, 0, 0, 3*time.Second))
	b.view.Store(routing.NewView(routing.NewRevision(0, 2), table, b.view.Load().Servers(), nil))
	time.Sleep(200 * time.Millisecond)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	response, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(response), fmt.Sprint(http.StatusOK)), qt.IsTrue, qt.Commentf("%s", response))
}

// Guards against LOST: a timeout that fires as a request has been read does not close the
// connection before the request is answered.
func TestRequestReadAtTimeoutIsAnswered(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t)
	local, remote := net.Pipe()
	defer remote.Close()
	conn := &connection{Conn: local, server: b.server}
	conn.closeAfter(time.Minute, true)
	fired := conn.timeouts
	go func() { _, _ = remote.Write([]byte("GET")) }() // read below
	_, err := conn.Read(make([]byte, 3))
	c.Assert(err, qt.IsNil)
	conn.timeOut(fired) // was about to run as the bytes were read
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	_, err = conn.Write([]byte("response"))
	c.Assert(err, qt.IsNil)

	conn.closeAfter(time.Minute, false)
	conn.timeOut(conn.timeouts) // ran before the bytes were handled
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	conn.closeAfter(0, false)
	_, err = conn.Write([]byte("response"))
	c.Assert(err, qt.IsNil)
	go func() { _, _ = remote.Write([]byte("B")) }() // read below
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
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
