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
