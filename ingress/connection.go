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
	// headerLineOverhead is the size of a colon, a space and CRLF in bytes.
	headerLineOverhead = 4
)

// connection is a caller's connection; it is closed when it is idle, or a header
// is incomplete, for longer than the active configuration allows.
type connection struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	timer *time.Timer
	// awaitingRequest is set until the first byte of the next request arrives.
	awaitingRequest bool
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
		return nil, err
	}
	return &connection{Conn: conn, server: l.server}, nil
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
		c.mu.Unlock()
		if newRequest {
			c.closeAfter(c.server.limits().HeaderTimeout(), false)
		}
	}
	return n, err
}

// closeAfter replaces the connection's timeout by d, 0 for none; it reports
// false if the previous timeout has already closed the connection.
func (c *connection) closeAfter(d time.Duration, awaitingRequest bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = awaitingRequest
	if c.timer != nil && !c.timer.Stop() {
		return false
	}
	c.timer = nil
	if d > 0 {
		c.timer = time.AfterFunc(d, func() { c.Close() })
	}
	return true
}

// connState sets the timeout for what a connection waits for next.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.closeAfter(s.limits().IdleTimeout(), true)
	case http.StateActive: // clearHeaderTimeout ends the header timeout once the header is read
	default:
		c.closeAfter(0, false)
	}
}

// clearHeaderTimeout ends the header timeout of a request whose header is read;
// it reports whether the connection is still open.
func clearHeaderTimeout(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	return !ok || c.closeAfter(0, false)
}

// limits returns the limits of the active configuration.
func (s *Server) limits() routing.Limits {
	if table := s.views.View().Table(); table != nil {
		return table.Limits()
	}
	return routing.Limits{}
}

// headerSize returns the size of a request's header on the wire in bytes.
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
