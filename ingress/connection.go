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
	// maxHeaderBytes bounds a request's header whatever the configuration says.
	maxHeaderBytes = 64 << 10
	// headerTimeout and idleTimeout bound the reading of a header and an idle
	// connection while no configuration does.
	headerTimeout = 10 * time.Second
	idleTimeout   = 30 * time.Second
	// lineEnds is what a header line has besides its name and value: a colon, a
	// space and the end of the line.
	lineEnds = 4
)

// connection is a caller's connection; it is closed when it stays idle, or a
// header unfinished, for longer than the configuration in force allows.
type connection struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	timer *time.Timer
	// between tells that nothing came yet of the next request.
	between bool
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// connections returns a listener whose connections are of type *connection.
type connections struct {
	net.Listener
	server *Server
}

func (l connections) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, server: l.server}, nil
}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Read reads, and bounds the header that begins with what is read.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		begins := c.between
		c.mu.Unlock()
		if begins {
			c.limit(c.server.limits().HeaderTimeout(), false)
		}
	}
	return n, err
}

// limit has the connection closed after a time, 0 for never; it reports whether
// it was still open. With between, the next request has not begun.
func (c *connection) limit(d time.Duration, between bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.between = between
	if c.timer != nil && !c.timer.Stop() {
		return false
	}
	c.timer = nil
	if d > 0 {
		c.timer = time.AfterFunc(d, func() { c.Close() })
	}
	return true
}

// connState bounds what a connection waits for next.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.limit(s.limits().IdleTimeout(), true)
	case http.StateActive: // the header is read; reading ends its bound
	default:
		c.limit(0, false)
	}
}

// reading reports whether the request's connection is still open now that its
// header is read; if so it is no longer bounded.
func reading(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	return !ok || c.limit(0, false)
}

// limits returns the limits in force.
func (s *Server) limits() routing.Limits {
	if table := s.views.View().Table(); table != nil {
		return table.Limits()
	}
	return routing.Limits{}
}

// headerSize returns the bytes of a request's header.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineEnds
	size += len("Host") + len(r.Host) + lineEnds
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineEnds
		}
	}
	return size
}
