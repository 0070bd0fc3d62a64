package caller

import (
	"net"
	"sync"
)

// limitedListener limits the number of open connections; further ones wait in
// the kernel's accept queue.
type limitedListener struct {
	net.Listener
	sem    chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(listener net.Listener, connections int) *limitedListener {
	return &limitedListener{
		Listener: listener,
		sem:      make(chan struct{}, connections),
		closed:   make(chan struct{}),
	}
}

// Accept waits until the number of open connections is below the limit, and
// then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.sem <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.sem
		return nil, err
	}
	return &limitedConn{Conn: conn, sem: l.sem}, nil
}

// Close closes the listener. Accepted connections stay open.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its place in the semaphore when it is closed.
type limitedConn struct {
	net.Conn
	sem  chan struct{}
	once sync.Once
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.sem })
	return err
}

// NetConn returns the connection that was accepted.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
