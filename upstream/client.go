package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"greengagedock.example/timer"
)

// Errors of requests that got no answer.
var (
	// ErrNotSent tells that no byte of the request left.
	ErrNotSent = eris.New("upstream: not sent")
	// ErrNoResponse tells that the request may have run.
	ErrNoResponse = eris.New("upstream: no answer")

	errStray = eris.New("upstream: answers to other requests only")
)

// maxIdlePerServer bounds the idle connections that are kept for one server.
const maxIdlePerServer = 32

// Client sends requests to backend servers.
type Client struct {
	headers HeaderCodec
	timers  *timer.Service

	mu   sync.Mutex
	idle map[string][]*connection

	opened atomic.Int64
	reused atomic.Int64
}

// NewClient returns a client that states deliveries by headers.
func NewClient(headers HeaderCodec, timers *timer.Service) *Client {
	return &Client{headers: headers, timers: timers, idle: make(map[string][]*connection)}
}

// ConnectionsOpened returns how many connections were opened.
func (c *Client) ConnectionsOpened() int64 { return c.opened.Load() }

// ConnectionsReused returns how many requests went over a kept connection.
func (c *Client) ConnectionsReused() int64 { return c.reused.Load() }

// Response is the answer of a backend server; Close must be called.
type Response struct {
	client   *Client
	conn     *connection
	raw      *http.Response
	metadata ResponseMetadata
	stop     func() bool
	whole    bool
	closed   bool
}

// Send sends the request to a server's address and returns its answer. The
// connection is closed when ctx ends before the answer is closed.
func (c *Client) Send(ctx context.Context, address string, r Request, d RequestMetadata) (*Response, error) {
	conn := c.take(address, d.server)
	if conn == nil {
		var err error
		if conn, err = dial(ctx, address, d.server); err != nil {
			return nil, eris.Wrapf(ErrNotSent, "%s: %v", address, err)
		}
		c.opened.Add(1)
	} else {
		c.reused.Add(1)
	}
	stop := context.AfterFunc(ctx, func() { conn.net.Close() })
	header := headerWithoutHops(r.header)
	c.headers.EncodeRequest(header, d)
	response, notice, err := conn.exchange(r, header, c.headers)
	if err != nil {
		stop()
		conn.net.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, eris.Wrapf(ErrNoResponse, "%s: %v", address, err)
	}
	return &Response{client: c, conn: conn, raw: response, metadata: notice, stop: stop}, nil
}

// Status returns the answer's status.
func (a *Response) Status() int { return a.raw.StatusCode }

// Header returns the answer's header without what concerns one connection.
func (a *Response) Header() http.Header { return headerWithoutHops(a.raw.Header) }

// ContentLength returns the length of the body, -1 if unknown.
func (a *Response) ContentLength() int64 { return a.raw.ContentLength }

// Metadata returns what the headers say besides HTTP.
func (a *Response) Metadata() ResponseMetadata { return a.metadata }

// Read reads the body; io.EOF tells that it is whole.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.raw.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end, else closes it.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	kept := a.stop() && a.whole && !a.raw.Close && a.conn.settled()
	if !kept {
		a.conn.net.Close()
		return
	}
	if a.metadata.keepAlive > 0 {
		a.conn.keepFor = max(a.metadata.keepAlive-idleMargin, 0)
	}
	a.client.put(a.conn)
}

// take returns the idle connection that was used last, nil without a usable one.
func (c *Client) take(address, server string) *connection {
	now := c.timers.Now()
	for {
		c.mu.Lock()
		list := c.idle[server]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		conn := list[len(list)-1]
		c.idle[server] = list[:len(list)-1]
		c.mu.Unlock()
		if conn.net.RemoteAddr().String() == address && conn.fresh(now) {
			return conn
		}
		conn.net.Close()
	}
}

func (c *Client) put(conn *connection) {
	conn.idleAt = c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[conn.server]) >= maxIdlePerServer {
		conn.net.Close()
		return
	}
	c.idle[conn.server] = append(c.idle[conn.server], conn)
}

// Sweep closes idle connections that are too old, and those of servers that keep refuses.
func (c *Client) Sweep(keep func(server string) bool) {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if keep(server) && now.Sub(conn.idleAt) < conn.keepFor {
				kept = append(kept, conn)
				continue
			}
			conn.net.Close()
		}
		c.idle[server] = kept
		if len(kept) == 0 {
			delete(c.idle, server)
		}
	}
}
