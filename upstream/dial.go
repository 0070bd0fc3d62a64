package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection: a hundred round trips
	// between failure domains, and less than a lost first packet's second try.
	dialTimeout = 500 * time.Millisecond
	// unacknowledgedTimeout ends a connection whose bytes nobody acknowledges.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// keepAliveInterval and keepAliveProbes find an idle connection's silent end.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Dial opens a TCP connection that ends soon after its peer falls silent.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// ended reports whether the peer has closed or reset an idle connection.
func ended(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
		return true
	})
	return err != nil || gone
}
