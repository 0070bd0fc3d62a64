package mesh

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"

	"greengagedock.example/upstream"
)

// A tunnel is a connection to a backend server through another entry: the first call on a
// connection to that entry names the server's address, and after the response the bytes of
// both connections are passed on unchanged, with their ends and resets; see frames.go for
// those from the server.

// kindTunnel is the kind of the call that opens a tunnel. Its body is the address.
const kindTunnel = "tunnel"

// kindServerUnreachable is the kind of the response that the server could not be reached, as
// opposed to other reasons not to open a tunnel.
const kindServerUnreachable = "server_unreachable"

const (
	// tunnelBufferBytes is the size of the buffer for each direction of a tunnel.
	tunnelBufferBytes = 8 << 10
	// maxServedTunnels bounds the tunnels of one server. Each takes two descriptors and the
	// buffers.
	maxServedTunnels = 512
	// maxTunnelReplyBytes bounds the response to the call that opens a tunnel.
	maxTunnelReplyBytes = 4 << 10
)

// TunnelSilence is how long the other entry of a tunnel may answer no probe, or acknowledge
// nothing, until the tunnel's connection is closed.
const TunnelSilence = 4 * time.Second

// tunnelKeepAlive sends the probes.
var tunnelKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Errors of tunnels.
var (
	// ErrServerUnreachable is returned when the other entry could not reach the server either.
	ErrServerUnreachable = eris.New("mesh: server not reachable through the entry")

	errTooManyTunnels = eris.New("mesh: too many tunnels")
	errNoTunnels      = eris.New("mesh: tunnels not served")
)

// TunnelDialer opens the connection of a tunnel to a server's address. Its error wraps
// ErrRefused if it did not try to.
type TunnelDialer func(ctx context.Context, address string) (net.Conn, error)

// ServeTunnels has the server open tunnels from now on.
func (s *Server) ServeTunnels(dial TunnelDialer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialTunnel = dial
}

// Tunnels returns the number of open tunnels.
func (s *Server) Tunnels() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tunnels
}

// serveTunnel opens a tunnel on a connection and serves it to its end.
func (s *Server) serveTunnel(in *inbound, call envelope) {
	conn := in.conn
	response := envelope{ID: call.ID}
	framed := slices.Contains(call.Understands, understandsFrames)
	if framed {
		response.Understands = []string{understandsFrames}
	}
	server, err := s.openTunnel(call.Body)
	if err != nil {
		response.Error = err.Error()
		if errors.Is(err, ErrServerUnreachable) {
			response.Kind = kindServerUnreachable
		}
	} else {
		defer s.endTunnel(server)
	}
	if err := writeEnvelope(conn, response); err != nil || server == nil {
		return
	}
	if err := keepTunnel(conn); err != nil {
		return
	}
	s.setTunnel(in)
	toCaller := copyBytes
	if framed {
		toCaller = writeFrames
	}
	sound := &soundConn{Conn: server}
	var both sync.WaitGroup
	both.Go(func() { pass(sound, conn, copyBytes) })
	both.Go(func() { pass(conn, sound, toCaller) })
	both.Wait()
}

// soundConn is a connection that is read to a clean end only if no write to it has failed: the
// system reports a reset once, and if a write gets the report, the end looks clean to the reader.
type soundConn struct {
	net.Conn
	mu       sync.Mutex // held while something is written
	writeErr error
}

// Write writes bytes, and records an error for Read.
func (c *soundConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads bytes. At a clean end it waits for a write that is in progress, and returns the
// error of a write in place of io.EOF.
func (c *soundConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return n, cmp.Or(c.writeErr, io.EOF)
}

// CloseWrite ends the direction to the other end, if the connection has directions.
func (c *soundConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger has the connection be reset when it is closed, if seconds is 0.
func (c *soundConn) SetLinger(seconds int) error {
	if linger, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return linger.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// keepTunnel has a connection on which a tunnel was opened stay without calls, and end soon
// after the entry at its other end has vanished.
func keepTunnel(conn net.Conn) error {
	if tcp, ok := conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		if err := tcp.SetKeepAliveConfig(tunnelKeepAlive); err != nil {
			return err
		}
	}
	if socket, ok := conn.(syscall.Conn); ok {
		if err := limitUnacknowledged(socket); err != nil {
			return err
		}
	}
	return conn.SetWriteDeadline(time.Time{})
}

// limitUnacknowledged has a connection end whose sent data stays unacknowledged: while there
// is such data, the system sends no keep-alive probes.
func limitUnacknowledged(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(TunnelSilence.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// openTunnel connects to the server that a call names.
func (s *Server) openTunnel(body []byte) (net.Conn, error) {
	var address string
	if err := msgpack.Unmarshal(body, &address); err != nil {
		return nil, eris.Wrap(ErrRefused, err.Error())
	}
	s.mu.Lock()
	dial, full := s.dialTunnel, s.tunnels >= maxServedTunnels
	if dial != nil && !full {
		s.tunnels++
	}
	s.mu.Unlock()
	switch {
	case dial == nil:
		return nil, errNoTunnels
	case full:
		return nil, errTooManyTunnels
	}
	server, err := dial(context.Background(), address)
	if err != nil && !errors.Is(err, ErrRefused) {
		err = eris.Wrap(ErrServerUnreachable, err.Error())
	} else if err == nil && !s.addServer(server) {
		server.Close()
		err = errNoTunnels
	}
	if err != nil {
		s.mu.Lock()
		s.tunnels--
		s.mu.Unlock()
		return nil, err
	}
	return server, nil
}

// endTunnel ends the connection of a tunnel to its server.
func (s *Server) endTunnel(server net.Conn) {
	server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, server)
	s.tunnels--
}

// pass passes the bytes of one connection on to another one, and then its end: a clean one
// ends only this direction, any other one resets the other connection.
func pass(to, from net.Conn, copyAll func(to io.Writer, from io.Reader) error) {
	err := copyAll(to, from)
	if half, ok := to.(interface{ CloseWrite() error }); ok && err == nil {
		err = half.CloseWrite()
	}
	if err == nil {
		return
	}
	reset(to)
	reset(from)
}

// copyBytes copies bytes up to a clean end.
func copyBytes(to io.Writer, from io.Reader) error {
	// The structs hide methods by which io.CopyBuffer would use larger buffers.
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, tunnelBufferBytes))
	return err
}

// reset closes a connection so that its other end does not take that for a clean end.
func reset(conn net.Conn) {
	if linger, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = linger.SetLinger(0) // fails only if the connection is closed
	}
	conn.Close()
}

// OpenTunnel connects to a server's address through the entry at an address, on a connection
// that begins with the opening bytes. Errors wrap ErrServerUnreachable if the entry can't
// reach the server, and else ErrUnreachable. A read returns io.EOF only after the clean end of
// the server's connection, and ErrTunnelCut at any other end.
func OpenTunnel(ctx context.Context, dialer upstream.Dialer, entry, address string, opening ...byte) (net.Conn, error) {
	conn, err := dialer.Dial(ctx, entry)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "tunnel through %s: %v", entry, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	framed, err := requestTunnel(conn, address, opening)
	if !stop() && err == nil {
		err = eris.Wrapf(ErrUnreachable, "tunnel through %s: %v", entry, ctx.Err())
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	stream := conn.(streamConn) // as a Dialer's connections are
	if framed {
		return newFramedConn(stream), nil
	}
	return unframedConn{stream}, nil
}

// requestTunnel calls for a tunnel on a new connection to an entry, and reports whether frames
// follow. It reads no byte beyond the response.
func requestTunnel(conn net.Conn, address string, opening []byte) (framed bool, err error) {
	body, err := encode(address)
	if err == nil && len(opening) > 0 {
		_, err = conn.Write(opening)
	}
	if err == nil {
		err = writeEnvelope(conn, envelope{ID: 1, Kind: kindTunnel, Body: body, Understands: []string{understandsFrames}})
	}
	if err == nil {
		err = conn.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		return false, eris.Wrapf(ErrUnreachable, "tunnel: %v", err)
	}
	var response envelope
	single := &byteReader{r: io.LimitReader(conn, maxTunnelReplyBytes)}
	if err := msgpack.NewDecoder(single).Decode(&response); err != nil {
		return false, eris.Wrapf(ErrUnreachable, "tunnel: %v", err)
	}
	switch {
	case response.Error == "":
		return slices.Contains(response.Understands, understandsFrames), nil
	case response.Kind == kindServerUnreachable:
		return false, eris.Wrap(ErrServerUnreachable, response.Error)
	default:
		return false, eris.Wrap(ErrUnreachable, response.Error)
	}
}

// byteReader reads single bytes, so that a decoder leaves what follows a message unread.
type byteReader struct {
	r      io.Reader
	last   [1]byte
	unread bool
}

// Read reads up to len(p) bytes.
func (b *byteReader) Read(p []byte) (int, error) {
	if b.unread && len(p) > 0 {
		b.unread = false
		p[0] = b.last[0]
		return 1, nil
	}
	n, err := b.r.Read(p)
	if n > 0 {
		b.last[0] = p[n-1]
	}
	return n, err
}

// ReadByte reads one byte.
func (b *byteReader) ReadByte() (byte, error) {
	var p [1]byte
	_, err := io.ReadFull(b, p[:])
	return p[0], err
}

// UnreadByte has the last byte read again.
func (b *byteReader) UnreadByte() error {
	b.unread = true
	return nil
}
