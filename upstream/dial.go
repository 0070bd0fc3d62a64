package upstream

import (
	"cmp"
	"context"
	"errors"
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
	// defaultUnacknowledgedTimeout closes a connection whose sent data stays unacknowledged.
	// Linux also applies it to unanswered keep-alive probes, whatever their number.
	defaultUnacknowledgedTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the time between two keep-alive probes; the system counts whole seconds.
	keepAliveInterval = time.Second
	// defaultSilenceTimeout is the time of three keep-alive probes and their responses.
	defaultSilenceTimeout = 4 * keepAliveInterval
)

// Network opens connections to backend servers.
type Network interface {
	// Dial opens a connection to an IP:PORT address. It is a TCP connection, or has the
	// methods of one.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Doubt reports that a server at an address sends nothing on a connection, or has ended
	// one without a response.
	Doubt(address string)
	// Lost reports whether the direct way to a server at an address is known to be lost.
	Lost(address string) bool
}

// Relayed is a connection that leads to its server through another entry.
type Relayed interface {
	net.Conn
	// Relay returns the IP:PORT address of that entry.
	Relay() string
	// HasUnread reports whether bytes were received that Read has not returned.
	HasUnread() bool
}

// relayOf returns the address of the entry through which a connection leads, empty if it
// leads to its server directly.
func relayOf(conn net.Conn) string {
	if relayed, ok := conn.(Relayed); ok {
		return relayed.Relay()
	}
	return ""
}

// Dialer opens TCP connections that fail soon after their peer stops responding.
// Its zero value waits for the default times.
type Dialer struct {
	silence        time.Duration
	unacknowledged time.Duration
	reserved       time.Duration
}

// NewDialer returns a dialer whose connections fail once their peer has answered no
// keep-alive probe for silence, in whole seconds and at least two, or once sent data
// has been unacknowledged for the other time; 0 is the default of either. On Linux the
// latter alone decides: an idle connection whose peer is silent also fails with the first
// probe, one second apart, that is due after it.
func NewDialer(silence, unacknowledged time.Duration) Dialer {
	return Dialer{silence: silence, unacknowledged: unacknowledged}
}

// WithReserved returns a dialer whose connections, while their request holds memory at
// other servers, fail after a shorter silence, in whole seconds and at least two.
func (d Dialer) WithReserved(silence time.Duration) Dialer {
	d.reserved = silence
	return d
}

// Reserved returns the longest silence of a connection whose request holds memory at
// other servers.
func (d Dialer) Reserved() time.Duration { return cmp.Or(d.reserved, d.silence, defaultSilenceTimeout) }

// Unacknowledged returns how long sent data may stay unacknowledged.
func (d Dialer) Unacknowledged() time.Duration {
	return cmp.Or(d.unacknowledged, defaultUnacknowledgedTimeout)
}

// keepAliveProbes returns the number of probes that are sent before a connection fails
// that is silent for a time.
func keepAliveProbes(silence time.Duration) int {
	return max(1, int(silence/keepAliveInterval)-1)
}

// limitSilence sets whether a connection is to fail after the shorter silence.
func (d Dialer) limitSilence(conn net.Conn, reserved bool) error {
	silence, unacknowledged := cmp.Or(d.silence, defaultSilenceTimeout), d.Unacknowledged()
	if reserved {
		silence = d.Reserved()
		unacknowledged = min(unacknowledged, silence)
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes(silence)),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds())),
		)
	})
	return errors.Join(err, optErr)
}

// Dial opens a connection to an IP:PORT address.
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes(cmp.Or(d.silence, defaultSilenceTimeout)),
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Unacknowledged().Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Doubt implements Network.
func (d Dialer) Doubt(string) {}

// Lost implements Network: a dialer knows of no other way.
func (d Dialer) Lost(string) bool { return false }

// readable reports whether the peer has closed or reset an idle connection, or sent more.
func readable(conn net.Conn) bool {
	if relayed, ok := conn.(Relayed); ok && relayed.HasUnread() {
		return true
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	pending := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err != unix.EAGAIN && err != unix.EINTR
		return true
	})
	return err != nil || pending
}
