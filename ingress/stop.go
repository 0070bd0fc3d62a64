package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// acceptLinger is how long a stopping server still accepts connections: the kernel resets
	// those that are in the queue of a listener when it is closed.
	acceptLinger = 50 * time.Millisecond
	// newConnectionLinger is how long a stopping server waits for the first byte on a
	// connection that it has just accepted.
	newConnectionLinger = time.Second
	// stopPollInterval is how often a stopping server looks for connections that are idle.
	stopPollInterval = 10 * time.Millisecond
)

// openConnections are the listeners and the connections of a server.
type openConnections struct {
	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*connection]struct{}
	// stopping is set once the listeners are to be closed.
	stopping bool
}

// listen adds a listener and returns false if the server has stopped.
func (o *openConnections) listen(listener net.Listener) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listeners = append(o.listeners, listener)
	return !o.stopping
}

func (o *openConnections) add(c *connection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns == nil {
		o.conns = make(map[*connection]struct{})
	}
	o.conns[c] = struct{}{}
}

func (o *openConnections) remove(c *connection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
}

func (o *openConnections) isStopping() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopping
}

// stopAccepting has the listeners accept what is in their queues and then close.
func (o *openConnections) stopAccepting() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
	for _, listener := range o.listeners {
		deadline, ok := listener.(interface{ SetDeadline(time.Time) error })
		if !ok || deadline.SetDeadline(time.Now().Add(acceptLinger)) != nil {
			listener.Close()
		}
	}
}

// closeIdle ends the reading of the connections that are idle and returns how many are open.
func (o *openConnections) closeIdle() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.conns {
		c.closeIfIdle()
	}
	return len(o.conns)
}

// DisableKeepAlives asks callers with each response to close their connections. Idle ones
// stay open: a request may be on its way on them.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// setClosing asks the caller to close its connection if the server stops.
func (s *Server) setClosing(header http.Header) {
	if s.closing.Load() {
		header.Set("Connection", "close")
	}
}

// Shutdown closes the listeners and idle connections and waits until no connection is open
// or ctx ends. A request of which a part has arrived is still answered: http.Server.Shutdown
// closes its connection without a response if its header is read after the call.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	s.open.stopAccepting()
	select {
	case <-time.After(acceptLinger): // the listeners are closed
	case <-ctx.Done():
	}
	tick := time.NewTicker(stopPollInterval)
	defer tick.Stop()
	for s.open.closeIdle() > 0 && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	if err := s.http.Shutdown(ctx); err != nil {
		s.http.Close()
		return eris.Wrapf(ErrServer, "%d requests still open: %v", s.openRequests.Load(), err)
	}
	return nil
}

// acceptError returns net.ErrClosed for the error with which a stopping listener ends.
func (l connectionListener) acceptError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && l.server.open.isStopping() {
		l.Listener.Close()
		return net.ErrClosed
	}
	return err
}

// closeIfIdle ends the reading of the connection if no byte of a next request has arrived.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := !c.used && c.server.timers.Now().Sub(c.idleSince) < newConnectionLinger
	if !c.awaitingRequest || isNew || hasUnreadBytes(c.Conn) {
		return
	}
	c.timeouts++ // a timeout that runs now has no effect
	c.expired = true
	c.logError(c.Conn.SetReadDeadline(time.Unix(1, 0)))
}

// hasUnreadBytes reports whether bytes have arrived on the connection that are not read yet.
func hasUnreadBytes(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
