package peer

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/mesh"
)

// failingListener fails once to accept, as while the process has no descriptor left.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// testAcceptor is an acceptor that serves on loopback until the test ends.
type testAcceptor struct {
	*acceptor
	c        *qt.C
	received chan Received
}

func newTestAcceptor(t *testing.T, maxConnections int) *testAcceptor {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	a := &testAcceptor{c: c, received: make(chan Received, 100)}
	a.acceptor = &acceptor{
		listener: &failingListener{Listener: listener}, region: "r", deliver: func(e Event) { a.received <- e.(Received) }, log: hclog.NewNullLogger(),
		conns: make(map[net.Conn]struct{}), newest: make(map[string]net.Conn), tunnels: mesh.NewServer(refuseCalls),
		maxConnections: maxConnections, frames: newFrameMemory(),
	}
	go a.serve()
	c.Cleanup(a.close)
	return a
}

// dial connects and sends messages.
func (a *testAcceptor) dial(messages ...message) net.Conn {
	conn, err := net.Dial("tcp", a.listener.Addr().String())
	a.c.Assert(err, qt.IsNil)
	a.c.Cleanup(func() { conn.Close() })
	for _, m := range messages {
		frame, err := encodeFrame(m)
		a.c.Assert(err, qt.IsNil)
		_, err = conn.Write(frame)
		a.c.Assert(err, qt.IsNil)
	}
	return conn
}

// assertReceived asserts that a message of a peer is delivered.
func (a *testAcceptor) assertReceived(entry string) {
	a.c.Helper()
	select {
	case r := <-a.received:
		a.c.Assert(r.from.Entry(), qt.Equals, entry)
	case <-time.After(20 * time.Second):
		a.c.Fatal("nothing was received")
	}
}

// assertClosed asserts that the acceptor closes a connection.
func (a *testAcceptor) assertClosed(conn net.Conn) {
	a.c.Helper()
	a.c.Assert(conn.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	a.c.Assert(err, qt.IsNotNil)
	a.c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
}

func helloOf(entry string) *hello {
	return &hello{Protocol: protocolVersion, Region: "r", Entry: entry}
}

// Guards against an entry that accepts no peers any more once an accept has failed.
func TestAcceptorGoesOnAfterFailedAccept(t *testing.T) {
	a := newTestAcceptor(t, 0)
	a.dial(helloOf("e1"), &withdraw{ID: "1"})
	a.assertReceived("e1")
}

// Guards against peers that are kept out by connections on which nothing is sent: the oldest of
// which nothing is known makes room, and none of a peer.
func TestUnknownConnectionsMakeRoom(t *testing.T) {
	a := newTestAcceptor(t, 3)
	first := a.dial(helloOf("e1"), &withdraw{ID: "1"})
	a.assertReceived("e1")
	older, newer := a.dial(), a.dial()
	a.dial(helloOf("e2"), &withdraw{ID: "1"})
	a.assertReceived("e2")
	a.assertClosed(older)
	a.dial(helloOf("e3"), &withdraw{ID: "1"})
	a.assertReceived("e3")
	a.assertClosed(newer)
	a.assertClosed(a.dial(helloOf("e4"))) // all are connections of peers
	frame, err := encodeFrame(&withdraw{ID: "2"})
	a.c.Assert(err, qt.IsNil)
	_, err = first.Write(frame)
	a.c.Assert(err, qt.IsNil)
	a.assertReceived("e1")
}

// Guards against memory that anybody who connects can take: the first frame of a connection is
// short.
func TestFirstFrameIsShort(t *testing.T) {
	a := newTestAcceptor(t, 0)
	a.assertClosed(a.dial(&withdraw{ID: strings.Repeat("i", maxFirstFrameBytes)}))
	a.dial(helloOf("e1"), &withdraw{ID: strings.Repeat("i", maxFrameBytes/2)})
	a.assertReceived("e1")
}

// Guards against long frames of many connections that take all the memory at once, and against
// memory that is not given back.
func TestLongFramesShareMemory(t *testing.T) {
	a := newTestAcceptor(t, 0)
	release, err := a.frames.await(maxFrameMemory - maxFrameBytes)
	a.c.Assert(err, qt.IsNil)
	partial := a.dial(helloOf("e1"))
	_, err = partial.Write([]byte{maxFrameBytes >> 24, maxFrameBytes >> 16 & 0xff, maxFrameBytes >> 8 & 0xff, maxFrameBytes & 0xff})
	a.c.Assert(err, qt.IsNil)
	_, err = io.WriteString(partial, "k")
	a.c.Assert(err, qt.IsNil)
	for end := time.Now().Add(20 * time.Second); a.frames.left.TryAcquire(1); time.Sleep(time.Millisecond) {
		a.frames.left.Release(1)
		a.c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	a.dial(helloOf("e2"), &withdraw{ID: strings.Repeat("i", maxFrameBytes/2)})
	partial.Close()
	a.assertReceived("e2")
	release()
	a.dial(helloOf("e3"), &withdraw{ID: "1"})
	a.assertReceived("e3")
	for end := time.Now().Add(20 * time.Second); !a.frames.left.TryAcquire(maxFrameMemory); time.Sleep(time.Millisecond) {
		a.c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}
