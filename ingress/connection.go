package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"greengagedock.example/routing"
)

const (
	// maxHeaderBytes bounds a request's header even if the configuration allows more.
	maxHeaderBytes = 64 << 10
	// headerTimeout and idleTimeout bound the reading of a header and an idle
	// connection while no configuration sets a timeout.
	headerTimeout = 10 * time.Second
	idleTimeout   = 30 * time.Second
	// headerLineOverhead is the least size of a line beyond name and value, a colon and LF, in
	// bytes.
	headerLineOverhead = 2
)

// connection is a caller's connection; it is closed when it is idle, or a header
// is incomplete, for longer than the active configuration allows.
type connection struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	timer *time.Timer
	// timeouts counts the timeouts that were set: one that was replaced has no effect.
	timeouts int
	// expired is set once a timeout has ended the reading of the connection.
	expired bool
	// awaitingRequest is set until the first byte of the next request arrives, and
	// idleSince is when the connection began to wait for it.
	awaitingRequest bool
	idleSince       time.Time
	// used is set once a byte was read.
	used bool
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// connectionListener is a listener that accepts connections of type *connection.
type connectionListener struct {
	net.Listener
	server *Server
}

func (l connectionListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, l.acceptError(err)
	}
	c := &connection{Conn: conn, server: l.server}
	c.closeAfter(l.server.limits().IdleTimeout(), true)
	l.server.open.add(c)
	return c, nil
}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Read reads from the connection and starts the header timeout at the first byte of a request.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		newRequest := c.awaitingRequest
		c.used = true
		c.mu.Unlock()
		if newRequest {
			c.closeAfter(c.server.limits().HeaderTimeout(), false)
		}
	}
	return n, err
}

// closeAfter replaces the connection's timeout by d, 0 for none. What was read before the
// previous timeout took effect can still be answered.
func (c *connection) closeAfter(d time.Duration, awaitingRequest bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = awaitingRequest
	c.idleSince = c.server.timers.Now()
	c.setTimeout(d)
	if c.expired {
		c.expired = false
		c.logError(c.Conn.SetReadDeadline(time.Time{}))
	}
}

// setTimeout replaces the connection's timeout by d, 0 for none; c.mu must be held.
func (c *connection) setTimeout(d time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.timeouts++
	if n := c.timeouts; d > 0 {
		c.timer = time.AfterFunc(d, func() { c.timeOut(n) })
	}
}

// timeOut ends the reading of the connection, upon which net/http closes it, unless the
// n-th timeout was replaced. The active configuration may allow for a longer idle time
// than when the connection became idle.
func (c *connection) timeOut(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n != c.timeouts {
		return
	}
	if left := c.server.limits().IdleTimeout() - c.server.timers.Now().Sub(c.idleSince); c.awaitingRequest && left > 0 {
		c.setTimeout(left)
		return
	}
	c.expired = true
	c.logError(c.Conn.SetReadDeadline(time.Unix(1, 0)))
}

// NetConn returns the connection that was accepted.
func (c *connection) NetConn() net.Conn { return c.Conn }

// logError logs an error of the connection, which its next use also returns.
func (c *connection) logError(err error) {
	if err != nil {
		c.server.log.Debug("caller's connection failed", "caller", c.RemoteAddr(), "error", err)
	}
}

// connState sets the timeout for what a connection waits for next.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew: // its first request is awaited since it was accepted
	case http.StateIdle:
		c.closeAfter(s.limits().IdleTimeout(), true)
	case http.StateActive: // clearHeaderTimeout ends the header timeout once the header is read
	default:
		c.closeAfter(0, false)
		s.open.remove(c)
	}
}

// clearHeaderTimeout ends the header timeout of a request whose header is read.
func clearHeaderTimeout(r *http.Request) {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		c.closeAfter(0, false)
	}
}

// limits returns the limits of the active configuration.
func (s *Server) limits() routing.Limits {
	if table := s.views.View().Table(); table != nil {
		return table.Limits()
	}
	return routing.Limits{}
}

// HeadLimit returns the size of the largest request head of the active configuration in bytes,
// 0 if it states none.
func (s *Server) HeadLimit() int { return s.limits().HeaderBytes() }

// headerSize returns the least size that a request's header has on the wire in bytes. Connections
// of Serve count the exact one before net/http parses the header; this is for one that arrived
// together with the request before.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerLineOverhead
	size += len("Host") + len(r.Host) + headerLineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerLineOverhead
		}
	}
	return size
}
