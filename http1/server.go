package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// unreadBodyTimeout bounds the time for which net/http reads on in the body of a request that
// was answered before its body had arrived.
const unreadBodyTimeout = 5 * time.Second

// listener accepts connections within the limits of clients.
type listener struct {
	net.Listener
	clients   *Clients
	headLimit func() int
}

// NoHeadLimit is for listeners whose server limits heads by itself.
func NoHeadLimit() int { return 0 }

// Listen returns a listener whose connections count among the clients. headLimit returns the
// size of the largest head in bytes without the empty line at its end, 0 for no limit.
func (c *Clients) Listen(l net.Listener, headLimit func() int) net.Listener {
	return &listener{Listener: l, clients: c, headLimit: headLimit}
}

// Accept waits for a connection that is not refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if added := l.clients.add(conn, l.headLimit); added != nil {
			return added, nil
		}
		conn.Close()
	}
}

// SetDeadline sets when Accept fails.
func (l *listener) SetDeadline(t time.Time) error {
	if inner, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return inner.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// Attach has a server tell the clients what its connections do. It must be called before the
// server serves, on listeners of Listen.
func (c *Clients) Attach(server *http.Server) {
	connState, connContext, handler := server.ConnState, server.ConnContext, server.Handler
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if added := connOf(conn); added != nil {
			added.setState(state)
		}
		if connState != nil {
			connState(conn, state)
		}
	}
	server.ConnContext = withConn
	if connContext != nil {
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			return withConn(connContext(ctx, conn), conn)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := requestConn(r)
		if conn == nil {
			handler.ServeHTTP(w, r)
			return
		}
		if err := conn.beginRequest(r); err != nil {
			Refuse(w, err)
		} else {
			handler.ServeHTTP(w, r)
		}
		if r.Body != http.NoBody {
			// If it fails, the connection is closed.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
		}
	})
}

// Refuse answers a request that is refused for a reason, or closes its connection.
func Refuse(w http.ResponseWriter, reason error) {
	if errors.Is(reason, ErrClosed) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, reason.Error(), http.StatusServiceUnavailable)
}

// setState records that the connection waits for a request, or has ended.
func (c *Conn) setState(state http.ConnState) {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.inHead, c.headBytes, c.lines, c.lineBytes, c.started = true, 0, 0, 0, false
		c.clients.setReserved(c, 0)
		c.holdsBody = false
		if !c.removed {
			c.clients.setWaiting(c, true)
		}
	case http.StateClosed, http.StateHijacked:
		c.clients.remove(c)
	}
}

// beginRequest records that the head of a request is complete. It returns a reason to refuse the
// request: its head may have arrived together with the request before.
func (c *Conn) beginRequest(r *http.Request) error {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	c.inHead = false
	if c.evicted {
		return ErrClosed
	}
	evicted, ok := c.clients.reserve(c, parsedMemory(r))
	for _, conn := range evicted {
		conn.Conn.Close()
	}
	if !ok {
		c.clients.counts.noMemory++
		return ErrNoMemory
	}
	c.clients.setWaiting(c, r.Body != http.NoBody)
	return nil
}

// HoldsBody records that memory is reserved for the body of a request.
func (c *Clients) HoldsBody(r *http.Request) {
	if conn := requestConn(r); conn != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		conn.holdsBody = true
	}
}

// EvictBody closes the connection that has waited longest for the rest of a body for which memory
// is reserved. It reports false if none has waited longer than that of the request.
func (c *Clients) EvictBody(r *http.Request) bool {
	conn := requestConn(r)
	if conn == nil {
		return false
	}
	c.mu.Lock()
	evicted := c.longestWaiting(conn, func(other *Conn) bool { return other.holdsBody })
	if evicted != nil {
		c.evict(evicted)
	}
	c.mu.Unlock()
	if evicted == nil {
		return false
	}
	evicted.Conn.Close()
	c.logRefusals()
	return true
}

// Received records that a request has arrived as a whole, so that its connection is not closed
// in favour of another one any more. It returns a reason to refuse the request instead. A
// request that is answered from what is at hand need not call it.
func (c *Clients) Received(r *http.Request) error {
	conn := requestConn(r)
	if conn == nil {
		return nil
	}
	c.mu.Lock()
	if conn.evicted {
		c.mu.Unlock()
		return ErrClosed
	}
	c.setWaiting(conn, false)
	busy := c.tooBusy()
	if busy {
		c.counts.refused++
	}
	c.mu.Unlock()
	if !busy {
		return nil
	}
	c.logRefusals()
	return ErrBusy
}
