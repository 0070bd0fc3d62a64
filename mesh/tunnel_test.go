package mesh

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"greengagedock.example/upstream"
)

// tunnelBed is an entry that opens tunnels to one server, which serves each connection with
// a function.
type tunnelBed struct {
	c       *qt.C
	entry   *Server
	address string // of the entry
	server  string
	other   string // another server that the entry knows
	// closeListener closes the entry's listener.
	closeListener func()
}

func newTunnelBed(t *testing.T, serve func(conn *net.TCPConn)) *tunnelBed {
	c := qt.New(t)
	b := &tunnelBed{c: c, entry: NewServer(func(kind string, _ []byte) (any, error) {
		if kind == "panic" {
			panic("called")
		}
		return "called", nil
	})}
	server := listen(c)
	b.server = server.Addr().String()
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	b.entry.ServeTunnels(func(ctx context.Context, address string) (net.Conn, error) {
		if address != b.server && address != b.other {
			return nil, eris.Wrap(ErrRefused, "unknown address")
		}
		return upstream.Dialer{}.Dial(ctx, address)
	})
	entry := listen(c)
	b.address, b.closeListener = entry.Addr().String(), func() { entry.Close() }
	go func() { _ = b.entry.Serve(entry) }()
	c.Cleanup(b.entry.Close)
	return b
}

func listen(c *qt.C) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	return listener
}

func (b *tunnelBed) open() net.Conn {
	conn, err := OpenTunnel(context.Background(), upstream.Dialer{}, b.address, b.server)
	b.c.Assert(err, qt.IsNil)
	b.c.Cleanup(func() { conn.Close() })
	return conn
}

// awaitTunnels waits until so many tunnels are open.
func (b *tunnelBed) awaitTunnels(n int) {
	for deadline := time.Now().Add(5 * time.Second); b.entry.Tunnels() != n; time.Sleep(5 * time.Millisecond) {
		b.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d tunnels open", b.entry.Tunnels()))
	}
}

// Bytes pass through both ways from the first one on, and a server that speaks first is heard.
func TestTunnelPassesBytes(t *testing.T) {
	long := strings.Repeat("0123456789", 100_000)
	b := newTunnelBed(t, func(conn *net.TCPConn) {
		defer conn.Close()
		_, _ = io.WriteString(conn, "hello\n")
		_, _ = io.Copy(conn, conn)
	})
	conn := b.open()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(line, qt.Equals, "hello\n")
	go func() {
		_, _ = io.WriteString(conn, long)
		_ = conn.(streamConn).CloseWrite()
	}()
	echoed, err := io.ReadAll(reader)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(string(echoed) == long, qt.IsTrue)
	conn.Close()
	b.awaitTunnels(0)
}

// Guards against MIXED: an answer that ends with its connection is complete only if the
// server closed that cleanly.
func TestTunnelPassesEndsOn(t *testing.T) {
	for _, reset := range []bool{false, true} {
		b := newTunnelBed(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "part")
			time.Sleep(50 * time.Millisecond)
			if reset {
				_ = conn.SetLinger(0)
			}
			conn.Close()
		})
		conn := b.open()
		read, err := io.ReadAll(conn)
		b.c.Assert(string(read), qt.Equals, "part")
		b.c.Assert(err != nil, qt.Equals, reset, qt.Commentf("%v", err))
		conn.Close()
		b.awaitTunnels(0)
	}
}

// A server learns at once that the caller of a tunnel has left.
func TestTunnelEndsWithItsCaller(t *testing.T) {
	ended := make(chan error, 1)
	b := newTunnelBed(t, func(conn *net.TCPConn) {
		defer conn.Close()
		_, err := io.ReadAll(conn)
		ended <- err
	})
	conn := b.open()
	b.awaitTunnels(1)
	conn.Close()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		b.c.Fatal("the server's connection is still open")
	}
	b.awaitTunnels(0)
}

// Which of both could not be reached is told apart: only one says something of the server.
func TestTunnelErrors(t *testing.T) {
	b := newTunnelBed(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	ctx := context.Background()
	gone := listen(b.c)
	gone.Close()
	b.other = gone.Addr().String()
	_, err := OpenTunnel(ctx, upstream.Dialer{}, b.address, "10.255.255.1:1")
	b.c.Assert(err, qt.ErrorIs, ErrUnreachable)
	_, err = OpenTunnel(ctx, upstream.Dialer{}, b.address, gone.Addr().String())
	b.c.Assert(err, qt.ErrorIs, ErrServerUnreachable)
	_, err = OpenTunnel(ctx, upstream.Dialer{}, gone.Addr().String(), b.server)
	b.c.Assert(err, qt.ErrorIs, ErrUnreachable)
	b.open()
	b.entry.mu.Lock()
	b.entry.tunnels += maxServedTunnels - 1
	b.entry.mu.Unlock()
	_, err = OpenTunnel(ctx, upstream.Dialer{}, b.address, b.server)
	b.c.Assert(err, qt.ErrorIs, ErrUnreachable)

	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	silent := listen(b.c)
	_, err = OpenTunnel(short, upstream.Dialer{}, silent.Addr().String(), b.server)
	b.c.Assert(err, qt.ErrorIs, ErrUnreachable)
}

// Calls and tunnels share a listener.
func TestCallsBesideTunnels(t *testing.T) {
	b := newTunnelBed(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	b.open()
	var reply string
	b.c.Assert(NewClient(upstream.Dialer{}).Call(context.Background(), b.address, "x", "", &reply), qt.IsNil)
	b.c.Assert(reply, qt.Equals, "called")
}

// Guards against a relay that goes on holding a server's request for an entry that has
// vanished: while data is unacknowledged, there are no keep-alive probes.
func TestKeptTunnelLimitsUnacknowledgedData(t *testing.T) {
	c := qt.New(t)
	listener := listen(c)
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(keepTunnel(conn), qt.IsNil)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	var timeout int
	var optErr error
	c.Assert(raw.Control(func(fd uintptr) {
		timeout, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}), qt.IsNil)
	c.Assert(optErr, qt.IsNil)
	c.Assert(time.Duration(timeout)*time.Millisecond, qt.Equals, TunnelSilence)
}
