package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// maxLineBytes bounds what is kept of a line of a head: more than any name of a field.
const maxLineBytes = 1 << 10

// Transport is an http.Transport that refuses responses with a malformed head. NewTransport
// returns one.
type Transport struct {
	unchecked *http.Transport
}

// NewTransport returns a transport that opens connections as the given one does, which must not
// have been used and is not to be used by itself.
func NewTransport(transport *http.Transport) Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &ResponseConn{Conn: conn}, nil
	}
	return Transport{unchecked: transport}
}

// CloseIdleConnections closes the connections that are kept for later requests.
func (t Transport) CloseIdleConnections() { t.unchecked.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*ResponseConn); ok {
			conn.expectHead()
		}
	}}
	return t.unchecked.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// ResponseConn is a connection of a Transport.
type ResponseConn struct {
	net.Conn

	mu sync.Mutex
	// head checks the head that is expected, nil while a body is. line is what has arrived of its
	// current line, up to maxLineBytes, and err is set once the head is malformed.
	head *ResponseHead
	line []byte
	err  error
}

// NetConn returns the connection below.
func (c *ResponseConn) NetConn() net.Conn { return c.Conn }

// expectHead has the next bytes checked as a head. A transport uses a connection for a request
// only if nothing has arrived since the response before.
func (c *ResponseConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.line = new(ResponseHead), c.line[:0]
}

// Read reads bytes, and fails from the first line on that can't be one of the expected head.
func (c *ResponseConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = c.check(p[:n])
	}
	if c.err != nil {
		return 0, c.err
	}
	return n, err
}

// check checks the part of a head in p.
func (c *ResponseConn) check(p []byte) error {
	for _, b := range p {
		if c.head == nil {
			return nil
		}
		if len(c.line) < maxLineBytes {
			c.line = append(c.line, b)
		}
		if b != '\n' {
			continue
		}
		ended, err := c.head.Add(c.line)
		c.line = c.line[:0]
		switch {
		case err != nil:
			return err
		case ended && c.head.Interim():
			*c.head = ResponseHead{}
		case ended:
			c.head = nil
		}
	}
	return nil
}
