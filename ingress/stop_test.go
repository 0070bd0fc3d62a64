package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/routing"
)

// stopRequest is a request of the tests of a planned stop.
const stopRequest = "POST / HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nContent-Length: 0\r\n\r\n"

// readStatus returns the status of the next response and whether the caller is to close the
// connection.
func readStatus(c *qt.C, reader *bufio.Reader) (int, bool) {
	c.Helper()
	response, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, response.Close
}

// shutdown stops the server and returns a channel of the result.
func (b *testbed) shutdown() <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		done <- b.server.Shutdown(ctx)
	}()
	time.Sleep(20 * time.Millisecond) // has begun
	return done
}

// Guards against LOST: a request whose header is half read when the server stops is answered,
// on a new connection and on one in use again.
func TestStopAnswersRequestWhoseHeaderIsHalfRead(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(fmt.Sprint("kept=", kept), func(t *testing.T) {
			c := qt.New(t)
			b := newTestbed(t, answering(c, 2)...)
			conn, _ := b.listenToStop()
			reader := bufio.NewReader(conn)
			if kept {
				fmt.Fprint(conn, stopRequest)
				status, closes := readStatus(c, reader)
				c.Assert(status, qt.Equals, 200)
				c.Assert(closes, qt.IsFalse)
			}
			fmt.Fprint(conn, stopRequest[:20])
			time.Sleep(20 * time.Millisecond) // is read
			done := b.shutdown()
			time.Sleep(700 * time.Millisecond) // a slow caller
			fmt.Fprint(conn, stopRequest[20:])
			status, closes := readStatus(c, reader)
			c.Assert(status, qt.Equals, 200)
			c.Assert(closes, qt.IsTrue)
			c.Assert(<-done, qt.IsNil)
		})
	}
}

// Guards against LOST: a caller that uses a kept connection while the entry still serves,
// but has asked callers to close theirs, is answered.
func TestStopKeepsIdleConnectionsWhileServing(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, answering(c, 2)...)
	conn, _ := b.listenToStop()
	reader := bufio.NewReader(conn)
	fmt.Fprint(conn, stopRequest)
	readStatus(c, reader)
	b.server.DisableKeepAlives()
	time.Sleep(20 * time.Millisecond)
	fmt.Fprint(conn, stopRequest)
	status, closes := readStatus(c, reader)
	c.Assert(status, qt.Equals, 200)
	c.Assert(closes, qt.IsTrue)
}

// Guards against LOST: connections in the queue of the listener, and those just accepted, are
// served, and idle ones do not delay the stop.
func TestStopServesConnectionsJustMade(t *testing.T) {
	c := qt.New(t)
	const callers = 20
	b := newTestbed(t, answering(c, callers)...)
	_, address := b.listenToStop()
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		conns = append(conns, conn)
	}
	done := b.shutdown()
	for _, conn := range conns {
		fmt.Fprint(conn, stopRequest)
	}
	for _, conn := range conns {
		status, _ := readStatus(c, bufio.NewReader(conn))
		c.Assert(status, qt.Equals, 200)
	}
	c.Assert(<-done, qt.IsNil)
}

// answering returns n backends that answer one request each.
func answering(c *qt.C, n int) []*backend {
	backends := make([]*backend, n)
	for i := range backends {
		backends[i] = newBackend(c, fullResponse(200, "late"))
	}
	return backends
}

// listenToStop starts the server and returns a connection to it and its address.
func (b *testbed) listenToStop() (net.Conn, string) {
	table := routing.NewTable(1, []routing.Route{connectionRoute.WithTargets(routing.NewTarget("desk", 1))}, []routing.Service{routing.NewService("desk")}, nil, routing.NewLimits(0, 0, 0, 0))
	b.scheduler.ids = slices.Repeat([]string{"s1"}, len(b.scheduler.backends))
	b.server = b.newServer(table, map[string]routing.Server{"s1": routing.NewServer("s1", "desk", "", "a", 6)})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	b.c.Assert(err, qt.IsNil)
	go func() { _ = b.server.Serve(listener) }() // ends with the server
	b.c.Cleanup(func() { listener.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	b.c.Assert(err, qt.IsNil)
	b.c.Cleanup(func() { conn.Close() })
	b.awaitAccepted()
	return conn, listener.Addr().String()
}

// awaitAccepted waits until the server has accepted a connection: a server that stops before
// its goroutine has begun to serve closes the listener with the connections in its queue.
func (b *testbed) awaitAccepted() {
	accepted := func() bool {
		b.server.open.mu.Lock()
		defer b.server.open.mu.Unlock()
		return len(b.server.open.conns) > 0
	}
	for deadline := time.Now().Add(5 * time.Second); !accepted(); time.Sleep(time.Millisecond) {
		b.c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}
