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
	// between failure domains, but less than the time after which TCP retransmits
	// a lost SYN.
	dialTimeout = 500 * time.Millisecond
	// unacknowledgedTimeout closes a connection whose sent data stays unacknowledged.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// keepAliveInterval and keepAliveProbes detect that the peer of an idle connection is gone.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Dial opens a TCP connection that fails soon after its peer stops responding.
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
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// peerClosed reports whether the peer has closed or reset an idle connection.
func peerClosed(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
		return true
	})
	return err != nil || closed
}
