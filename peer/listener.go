package peer

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"greengagedock.example/backend"
	"greengagedock.example/mesh"
)

const (
	// helloTimeout bounds the wait for the hello message on a new connection.
	helloTimeout = 2 * time.Second
	// idleTimeout bounds the wait for the next message on an inbound
	// connection.
	idleTimeout = 30 * time.Second
	// acceptRetryDelay is how long an acceptor waits after a failed accept, as while the process
	// has no file descriptor left.
	acceptRetryDelay = 50 * time.Millisecond
)

var (
	// errTunnel is returned for a connection that opens with a tunnel message.
	errTunnel       = eris.New("peer: connection for a tunnel")
	errQueueFull    = eris.New("peer: send queue is full")
	errInvalidHello = eris.New("peer: connection opened without a valid hello")
)

// acceptor accepts inbound connections from peers and delivers their messages
// as events.
type acceptor struct {
	listener net.Listener
	region   string
	deliver  func(Event)
	log      hclog.Logger
	tunnels  *mesh.Server
	// maxConnections bounds the inbound connections, 0 for no limit.
	maxConnections int
	frames         frameMemory

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// unknown holds the connections of which nothing is known yet, the oldest first.
	unknown []net.Conn
	newest  map[string]net.Conn
	closed  bool
}

// serve accepts connections until the listener is closed.
func (in *acceptor) serve() {
	for {
		conn, err := in.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The peers reach this entry only through this listener.
			in.log.Error("accepting a connection failed; retrying", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !in.add(conn) {
			conn.Close()
			continue
		}
		go in.receive(conn)
	}
}

// add registers a connection, and returns false if there is no room for it. The oldest one of
// which nothing is known makes room.
func (in *acceptor) add(conn net.Conn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.closed {
		return false
	}
	if in.maxConnections > 0 && len(in.conns) >= in.maxConnections {
		if len(in.unknown) == 0 {
			return false
		}
		in.unknown[0].Close()
		delete(in.conns, in.unknown[0])
		in.unknown = in.unknown[1:]
	}
	in.conns[conn] = struct{}{}
	in.unknown = append(in.unknown, conn)
	return true
}

// setKnown records that a connection has begun as one of a peer.
func (in *acceptor) setKnown(conn net.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.unknown = slices.DeleteFunc(in.unknown, func(c net.Conn) bool { return c == conn })
}

// remove closes and unregisters a connection.
func (in *acceptor) remove(conn net.Conn) {
	conn.Close()
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.conns, conn)
	in.unknown = slices.DeleteFunc(in.unknown, func(c net.Conn) bool { return c == conn })
	for name, newest := range in.newest {
		if newest == conn {
			delete(in.newest, name)
		}
	}
}

// replaceConnection makes conn the only connection of its peer and closes an
// earlier one, so that messages of two connections never interleave.
func (in *acceptor) replaceConnection(name string, conn net.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if old := in.newest[name]; old != nil {
		old.Close()
	}
	in.newest[name] = conn
}

// receive delivers the messages of one connection until it ends.
func (in *acceptor) receive(conn net.Conn) {
	defer in.remove(conn)
	reader := frameReader{from: bufio.NewReader(conn), conn: conn, memory: in.frames}
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	from, understands, err := in.readHello(reader)
	if err == nil || errors.Is(err, errTunnel) {
		in.setKnown(conn)
	}
	if errors.Is(err, errTunnel) {
		_ = conn.SetReadDeadline(time.Time{})
		in.tunnels.ServeConn(&bufferedConn{TCPConn: conn.(*net.TCPConn), reader: reader.from})
		return
	}
	if err != nil {
		in.log.Warn("rejected connection from peer", "remote", conn.RemoteAddr(), "error", err)
		return
	}
	if understands == nil {
		in.log.Info("peer of an older version connected", "peer", from.Entry(), "incarnation", from.Incarnation())
	}
	in.replaceConnection(from.Entry(), conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		m, err := reader.next()
		if errors.Is(err, errUnknownKind) {
			in.log.Debug("message from peer skipped", "peer", from.Entry(), "reason", err)
			continue
		}
		if err != nil {
			in.log.Debug("peer connection ended", "peer", from.Entry(), "reason", err)
			return
		}
		in.deliver(Received{from: from, message: m, understands: understands})
	}
}

// readHello reads the hello message and returns the sender that it names and the kinds of
// messages that this understands.
func (in *acceptor) readHello(reader frameReader) (backend.Owner, []messageKind, error) {
	m, err := reader.first()
	if err != nil {
		return backend.Owner{}, nil, err
	}
	if t, ok := m.(*tunnel); ok && t.Protocol == protocolVersion && t.Region == in.region {
		return backend.Owner{}, nil, errTunnel
	}
	h, ok := m.(*hello)
	if !ok || h.Protocol != protocolVersion || h.Entry == "" || h.Region != in.region {
		return backend.Owner{}, nil, errInvalidHello
	}
	return backend.NewOwner(h.Entry, h.Incarnation), h.Understands, nil
}

// bufferedConn is a connection of which the first bytes were read into a buffer.
type bufferedConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

// Read reads the buffered bytes first.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// close closes the listener and every connection.
func (in *acceptor) close() {
	in.listener.Close()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed = true
	in.tunnels.Close()
	for conn := range in.conns {
		conn.Close()
	}
}
