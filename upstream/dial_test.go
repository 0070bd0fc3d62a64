package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// The system closes a connection after the idle time and one interval for each
// probe: the sum must not exceed the silence that the dialer was given.
func TestDialerClosesSilentConnectionsInTime(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	for _, silence := range []time.Duration{2 * time.Second, 3 * time.Second, 3500 * time.Millisecond, 4 * time.Second} {
		conn, err := NewDialer(silence, 700*time.Millisecond).Dial(context.Background(), listener.Addr().String())
		c.Assert(err, qt.IsNil)
		idle, interval := option(c, conn, unix.TCP_KEEPIDLE), option(c, conn, unix.TCP_KEEPINTVL)
		total := time.Duration(idle+interval*option(c, conn, unix.TCP_KEEPCNT)) * time.Second
		c.Check(total, qt.Equals, silence.Truncate(time.Second))
		c.Check(option(c, conn, unix.TCP_USER_TIMEOUT), qt.Equals, 700)
		conn.Close()
	}
}

// option returns an option of a TCP connection.
func option(c *qt.C, conn net.Conn, name int) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	var value int
	var optionErr error
	c.Assert(raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }), qt.IsNil)
	c.Assert(optionErr, qt.IsNil)
	return value
}

// While its request holds memory at other servers, a connection fails sooner.
func TestConnectionOfReservedMemoryFailsSooner(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	dialer := NewDialer(4*time.Second, 4*time.Second).WithReserved(3 * time.Second)
	conn, err := dialer.Dial(context.Background(), listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	for reserved, want := range map[bool]int{true: 3, false: 4} {
		c.Assert(dialer.limitSilence(conn, reserved), qt.IsNil)
		c.Assert(option(c, conn, unix.TCP_USER_TIMEOUT), qt.Equals, want*1000)
		c.Assert(option(c, conn, unix.TCP_KEEPIDLE)+option(c, conn, unix.TCP_KEEPCNT), qt.Equals, want)
	}
}

// mute drops all packets that arrive for a connection, or no longer does.
func mute(c *qt.C, conn net.Conn, on bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	var optionErr error
	c.Assert(raw.Control(func(fd uintptr) {
		if on {
			optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
		} else {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		}
	}), qt.IsNil)
	c.Assert(optionErr, qt.IsNil)
}

// Guards against LOST: nothing reaches a sound server for a second or so, and it has nothing
// to send until seconds later.
func TestConnectionOutlivesShortSilence(t *testing.T) {
	t.Parallel()
	for name, silence := range map[string]time.Duration{"one lost probe": 300 * time.Millisecond, "two lost probes": 1200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			client, err := NewDialer(4*time.Second, 4*time.Second).Dial(context.Background(), listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer client.Close()
			server, err := listener.Accept()
			c.Assert(err, qt.IsNil)
			defer server.Close()
			_, err = client.Write([]byte("x"))
			c.Assert(err, qt.IsNil)
			time.AfterFunc(900*time.Millisecond, func() { mute(c, server, true) })
			time.AfterFunc(900*time.Millisecond+silence, func() { mute(c, server, false) })
			time.AfterFunc(4500*time.Millisecond, func() { _, _ = server.Write([]byte("y")) }) // a failure shows at the client
			_, err = client.Read(make([]byte, 1))
			c.Assert(err, qt.IsNil)
		})
	}
}

// Guards against a page that states the time by the number of keep-alive probes alone: Linux
// ends an idle connection whose peer is silent with the first probe that is due once
// TCP_USER_TIMEOUT has passed, if that is sooner.
func TestSilentPeerEndsIdleConnection(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		dialer   Dialer
		reserved bool
		want     time.Duration
	}{
		"servers":                     {NewDialer(4*time.Second, 4*time.Second), false, 4 * time.Second},
		"servers with held memory":    {NewDialer(4*time.Second, 4*time.Second).WithReserved(3 * time.Second), true, 3 * time.Second},
		"entries and the store":       {NewDialer(3*time.Second, 1500*time.Millisecond), false, 2 * time.Second},
		"defaults":                    {Dialer{}, false, 2 * time.Second},
		"probes below unacknowledged": {NewDialer(2*time.Second, 4*time.Second), false, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			client, err := test.dialer.Dial(context.Background(), listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer client.Close()
			server, err := listener.Accept()
			c.Assert(err, qt.IsNil)
			defer server.Close()
			c.Assert(test.dialer.limitSilence(client, test.reserved), qt.IsNil)
			_, err = server.Write([]byte("x")) // the last byte that arrives
			c.Assert(err, qt.IsNil)
			_, err = client.Read(make([]byte, 1))
			c.Assert(err, qt.IsNil)
			start := time.Now()
			mute(c, server, true)
			_, err = client.Read(make([]byte, 1))
			c.Assert(err, qt.ErrorIs, syscall.ETIMEDOUT)
			silent := time.Since(start)
			c.Check(silent > test.want-300*time.Millisecond && silent < test.want+700*time.Millisecond, qt.IsTrue, qt.Commentf("ended after %v", silent))
		})
	}
}
