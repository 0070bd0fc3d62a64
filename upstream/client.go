package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/timer"
)

// Errors of requests that got no response.
var (
	// ErrNotSent is returned when no byte of the request was sent.
	ErrNotSent = eris.New("upstream: not sent")
	// ErrNoResponse is returned when the request may have run.
	ErrNoResponse = eris.New("upstream: no response")

	// ErrNoPath is returned when neither the server nor an entry that leads to it could be
	// reached, so that nothing is known of the server; no byte of the request was sent.
	ErrNoPath = eris.New("upstream: no way to the server")
	// ErrPathLost is returned when the request may have run, and its connection ended or was
	// silent while the direct way to the server is lost.
	ErrPathLost = eris.New("upstream: way to the server lost")

	errRequestCut     = eris.New("upstream: connection ended before the whole request was written")
	errHeadMemory     = eris.New("upstream: no memory for the head of a response")
	errStrayResponses = eris.New("upstream: only responses to other requests received")
	errNoHead         = eris.Errorf("upstream: %d bytes received without the head of a response", maxBytesBeforeResponse)
)

// maxIdlePerServer bounds the idle connections to one server.
const maxIdlePerServer = 32

// Client sends requests to backend servers.
type Client struct {
	headers HeaderCodec
	timers  *timer.Service
	dialer  Dialer
	network Network
	heads   headMemory

	mu   sync.Mutex
	idle map[string][]*connection

	opened atomic.Int64
	reused atomic.Int64
}

// NewClient returns a client that encodes request metadata with headers and opens
// connections with the dialer.
func NewClient(headers HeaderCodec, timers *timer.Service, dialer Dialer) *Client {
	return &Client{headers: headers, timers: timers, dialer: dialer, network: dialer, idle: make(map[string][]*connection)}
}

// SetNetwork has the client open connections through a network in place of its dialer. It is
// to be called before the first request.
func (c *Client) SetNetwork(network Network) { c.network = network }

// LimitHeads bounds the memory in bytes that the long heads of all responses take until these are
// closed; a response for whose head there is none is broken. It is to be called before the first
// request, without which there is no bound.
func (c *Client) LimitHeads(bytes int64) { c.heads.limit = bytes }

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() int64 { return c.opened.Load() }

// ConnectionsReused returns the number of requests sent over a reused connection.
func (c *Client) ConnectionsReused() int64 { return c.reused.Load() }

// Response is the response of a backend server; the caller must call Close.
type Response struct {
	client   *Client
	conn     *connection
	raw      *http.Response
	metadata ResponseMetadata
	stop     func() bool
	complete bool
	closed   bool
}

// Send sends the request to a server's address and returns its response. The
// connection is closed if ctx is done before the response is closed.
func (c *Client) Send(ctx context.Context, address string, r Request, m RequestMetadata) (*Response, error) {
	conn := c.takeIdle(address, m.server, r.attemptID)
	if conn == nil {
		var err error
		if conn, err = dial(ctx, c.network, address, m.server); err != nil {
			if errors.Is(err, ErrNoPath) {
				return nil, eris.Wrap(err, address)
			}
			return nil, eris.Wrapf(ErrNotSent, "%s: %v", address, err)
		}
		c.opened.Add(1)
	} else {
		c.reused.Add(1)
	}
	if m.reserves() {
		if err := c.dialer.limitSilence(conn.tcp, true); err != nil {
			conn.tcp.Close()
			return nil, eris.Wrapf(ErrNotSent, "%s: %v", address, err)
		}
		conn.reserved = true
	}
	stop := context.AfterFunc(ctx, func() { conn.tcp.Close() })
	header := endToEndHeader(r.header)
	c.headers.EncodeRequest(header, m)
	conn.headMemory = headReservation{memory: &c.heads}
	raw, metadata, err := conn.exchange(r, header, c.headers)
	if err != nil {
		conn.headMemory.release()
		stop()
		conn.tcp.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if c.doubt(conn) {
			return nil, eris.Wrapf(ErrPathLost, "%s: %v", address, err)
		}
		return nil, eris.Wrapf(ErrNoResponse, "%s: %v", address, err)
	}
	if metadata.NotRun() {
		conn.refuse(r.attemptID)
	}
	return &Response{client: c, conn: conn, raw: raw, metadata: metadata, stop: stop}, nil
}

// doubt has the network doubt the server of a connection that ended early or is silent. It
// reports whether the server is not at fault, since the way to it is known to be lost.
func (c *Client) doubt(conn *connection) bool {
	if conn.relay != "" {
		return false
	}
	c.network.Doubt(conn.address)
	return c.network.Lost(conn.address)
}

// Doubt records that the server at an address is silent, and reports whether it may be at
// fault: not while the direct way to it is lost.
func (c *Client) Doubt(address string) (mayBeAtFault bool) {
	c.network.Doubt(address)
	return !c.network.Lost(address)
}

// PathLost reports whether the response ended early, or is silent, because the way to its
// server is lost.
func (r *Response) PathLost() bool { return r.client.doubt(r.conn) }

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.raw.StatusCode }

// Header returns a copy of the header without hop-by-hop fields.
func (r *Response) Header() http.Header { return endToEndHeader(r.raw.Header) }

// ContentLength returns the length of the body in bytes, -1 if unknown.
func (r *Response) ContentLength() int64 { return r.raw.ContentLength }

// Metadata returns what the server states in headers of the platform.
func (r *Response) Metadata() ResponseMetadata { return r.metadata }

// Read reads the body; it returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.raw.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if r.endsWithConnection() {
		// The system reports a reset once. If the writing of the request got the report, the end
		// looks clean here.
		if err := r.conn.sending.wait(); err != nil {
			return n, eris.Wrap(errRequestCut, err.Error())
		}
	}
	r.complete = true
	return n, io.EOF
}

// endsWithConnection reports whether the body has no other end than that of its connection.
func (r *Response) endsWithConnection() bool {
	return r.raw.ContentLength < 0 && len(r.raw.TransferEncoding) == 0 && r.raw.Body != http.NoBody
}

// Close returns the connection to the idle pool if the body was read to its end,
// and closes it otherwise.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.release(r.stop())
}

// release keeps the connection for reuse if it is sound and the response is complete, and
// closes it otherwise.
func (r *Response) release(sound bool) {
	r.conn.headMemory.release()
	reusable := sound && r.complete && !r.raw.Close && r.conn.sending.succeeded() && len(r.conn.refused) < maxRefusedKept
	if reusable && r.conn.reserved {
		r.conn.reserved = false
		reusable = r.client.dialer.limitSilence(r.conn.tcp, false) == nil // else another one is opened
	}
	if !reusable {
		r.conn.tcp.Close()
		return
	}
	if r.metadata.keepAlive > 0 {
		r.conn.idleTimeout = max(r.metadata.keepAlive-idleMargin, 0)
	}
	r.client.putIdle(r.conn)
}

// discardTimeout and maxDiscardedBytes bound the reading of a body that is of no interest.
const (
	discardTimeout    = time.Second
	maxDiscardedBytes = 64 << 10
)

// Discard closes the response once the rest of its body has arrived, so that its connection
// can be reused. It does not wait for that, and closes the connection of a long body.
func (r *Response) Discard() {
	if r.closed || !r.stop() || r.ContentLength() > maxDiscardedBytes {
		r.Close()
		return
	}
	r.closed = true
	go func() {
		late := time.AfterFunc(discardTimeout, func() { r.conn.tcp.Close() })
		_, err := io.Copy(io.Discard, io.LimitReader(r, maxDiscardedBytes))
		r.release(late.Stop() && err == nil)
	}()
}

// takeIdle returns the most recently used idle connection, or nil if none is reusable
// for an attempt.
func (c *Client) takeIdle(address, server, attemptID string) *connection {
	now := c.timers.Now()
	for {
		conn := c.popIdle(server, attemptID)
		if conn == nil {
			return nil
		}
		if conn.address == address && conn.reusable(now) && (conn.relay != "" || !c.network.Lost(address)) {
			return conn
		}
		conn.tcp.Close()
	}
}

// popIdle removes and returns the idle connection of a server that was used last, of those
// that have not carried the attempt, or nil.
func (c *Client) popIdle(server, attemptID string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[server]
	for i := len(list) - 1; i >= 0; i-- {
		if conn := list[i]; !conn.carried(attemptID) {
			c.idle[server] = slices.Delete(list, i, i+1)
			return conn
		}
	}
	return nil
}

func (c *Client) putIdle(conn *connection) {
	conn.idleAt = c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[conn.server]) >= maxIdlePerServer {
		conn.tcp.Close()
		return
	}
	c.idle[conn.server] = append(c.idle[conn.server], conn)
}

// Sweep closes idle connections that timed out or on which something arrived, and those for
// which keep returns false, given the server, its address and that of the entry through which
// the connection leads, which is empty for a direct one.
func (c *Client) Sweep(keep func(server, address, relay string) bool) {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if keep(server, conn.address, conn.relay) && conn.reusable(now) {
				kept = append(kept, conn)
				continue
			}
			conn.tcp.Close()
		}
		c.idle[server] = kept
		if len(kept) == 0 {
			delete(c.idle, server)
		}
	}
}
