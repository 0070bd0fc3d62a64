package mesh

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/upstream"
)

const (
	// redialDelay is the minimum time after a failed dial before the next one.
	redialDelay = 300 * time.Millisecond
	// writeTimeout bounds the write of one message.
	writeTimeout = time.Second
)

// Client calls other entries. Its zero value is ready to use.
type Client struct {
	dialer  upstream.Dialer
	traffic Traffic
	kinds   Kinds

	mu    sync.Mutex
	peers map[string]*peerConn
}

// NewClient returns a client that opens connections with the dialer.
func NewClient(dialer upstream.Dialer) *Client {
	return &Client{dialer: dialer}
}

// WithKinds has the client state the kinds of calls on each connection, and send none of the
// later ones to an entry that has not stated it. It must be called before the first call.
func (c *Client) WithKinds(kinds Kinds) *Client {
	c.kinds = kinds
	return c
}

// Older returns the number of connected entries that state no kinds of calls, as those of
// versions before this statement.
func (c *Client) Older() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	older := 0
	for _, p := range c.peers {
		if p.isOlder() {
			older++
		}
	}
	return older
}

// peerConn is the connection to one entry.
type peerConn struct {
	address string
	dialer  upstream.Dialer
	kinds   Kinds

	// dialing has room for one dial at a time; who sends to it may use failedAt, when a
	// dial last failed.
	dialing  chan struct{}
	failedAt time.Time
	// reachable is set if the entry is known to be up since the last dial failed.
	reachable atomic.Bool

	// mu guards the fields below.
	mu      sync.Mutex
	conn    net.Conn
	lastID  uint64
	pending map[uint64]chan envelope
	// statement is what the entry stated on this connection.
	statement *statement
}

// statement is what an entry states about itself at the beginning of a connection.
type statement struct {
	// opening is the ID of the first request, 0 before it. The response to it has what the
	// entry understands.
	opening     uint64
	known       chan struct{} // closed once that response has arrived
	understands []string      // nil if the entry states nothing
}

// Traffic returns the traffic of the client's calls; a call that fails counts as sent.
func (c *Client) Traffic() *Traffic { return &c.traffic }

// Call calls the entry at the given IP:PORT address and decodes its response
// into reply. Errors wrap ErrUnreachable, ErrRefused or ErrNotUnderstood.
func (c *Client) Call(ctx context.Context, address, kind string, call, reply any) error {
	body, err := encode(call)
	if err != nil {
		return eris.Wrapf(ErrRefused, "encode %s: %v", kind, err)
	}
	if len(body) > maxBodyBytes {
		return eris.Wrapf(ErrRefused, "%s to %s: %v: %d bytes", kind, address, errTooLong, len(body))
	}
	p := c.peer(address)
	if !c.kinds.original(kind) {
		if err := p.waitUnderstood(ctx, kind); err != nil {
			return eris.Wrapf(err, "%s to %s", kind, address)
		}
	}
	response, err := p.call(ctx, kind, body)
	c.traffic.count(kind, len(body), len(response.Body))
	if err != nil {
		return eris.Wrapf(ErrUnreachable, "%s to %s: %v", kind, address, err)
	}
	if response.Error != "" {
		return eris.Wrapf(ErrRefused, "%s at %s: %s", kind, address, response.Error)
	}
	if err := msgpack.Unmarshal(response.Body, reply); err != nil {
		return eris.Wrapf(ErrRefused, "response to %s from %s: %v", kind, address, err)
	}
	return nil
}

// MarkReachable records that an entry was heard, so that a recent failure to dial it does
// not delay the next dial.
func (c *Client) MarkReachable(address string) { c.peer(address).reachable.Store(true) }

// Connect opens a connection to an entry unless there is one, also right after a failed
// dial. Errors wrap ErrUnreachable.
func (c *Client) Connect(ctx context.Context, address string) error {
	p := c.peer(address)
	p.reachable.Store(true)
	if _, err := p.connect(ctx); err != nil {
		return eris.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	return nil
}

// Drop closes the connection to an entry.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p != nil {
		p.mu.Lock()
		conn := p.conn
		p.mu.Unlock()
		p.fail(conn)
	}
}

func (c *Client) peer(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peerConn{address: address, dialer: c.dialer, kinds: c.kinds, dialing: make(chan struct{}, 1), pending: make(map[uint64]chan envelope)}
		if c.peers == nil {
			c.peers = make(map[string]*peerConn)
		}
		c.peers[address] = p
	}
	return p
}

// call sends a request and waits for its response.
func (p *peerConn) call(ctx context.Context, kind string, body []byte) (envelope, error) {
	conn, err := p.connect(ctx)
	if err != nil {
		return envelope{}, err
	}
	id, responses, err := p.send(conn, kind, body)
	if err != nil {
		p.fail(conn)
		return envelope{}, err
	}
	select {
	case response, ok := <-responses:
		if !ok {
			return envelope{}, eris.New("connection lost")
		}
		return response, nil
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.pending, id)
		p.mu.Unlock()
		return envelope{}, ctx.Err()
	}
}

// lockDial waits until no other call dials, and returns the function that lets the
// next one dial, nil if ctx ends first.
func (p *peerConn) lockDial(ctx context.Context) (release func()) {
	select {
	case p.dialing <- struct{}{}:
		return func() { <-p.dialing }
	case <-ctx.Done():
		return nil
	}
}

// connect returns the open connection or dials a new one.
func (p *peerConn) connect(ctx context.Context) (net.Conn, error) {
	p.mu.Lock()
	conn := p.conn
	p.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	release := p.lockDial(ctx)
	if release == nil {
		return nil, ctx.Err()
	}
	defer release()
	p.mu.Lock()
	conn = p.conn
	p.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	if time.Since(p.failedAt) < redialDelay && !p.reachable.Swap(false) {
		return nil, eris.New("last dial failed recently; not redialed yet")
	}
	conn, err := p.dialer.Dial(ctx, p.address)
	if err != nil {
		p.failedAt = time.Now()
		return nil, err
	}
	opened := &statement{known: make(chan struct{})}
	p.mu.Lock()
	p.conn, p.statement = conn, opened
	p.mu.Unlock()
	go p.receive(conn, opened)
	return conn, nil
}

// send writes a request and returns the channel that will receive its response.
func (p *peerConn) send(conn net.Conn, kind string, body []byte) (uint64, chan envelope, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return 0, nil, eris.New("connection lost")
	}
	p.lastID++
	id := p.lastID
	responses := make(chan envelope, 1)
	p.pending[id] = responses
	request := envelope{ID: id, Kind: kind, Body: body}
	if p.statement.opening == 0 {
		p.statement.opening, request.Understands = id, p.kinds.all()
	}
	if err := writeEnvelope(conn, request); err != nil {
		delete(p.pending, id)
		return 0, nil, err
	}
	return id, responses, nil
}

// receive delivers responses to waiting calls until the connection ends.
func (p *peerConn) receive(conn net.Conn, opened *statement) {
	defer p.fail(conn)
	r := newMessageReader(conn)
	for {
		response, err := r.next()
		if err != nil {
			return
		}
		p.mu.Lock()
		responses := p.pending[response.ID]
		delete(p.pending, response.ID)
		if response.ID == opened.opening && !opened.isKnown() {
			opened.understands = response.Understands
			close(opened.known)
		}
		p.mu.Unlock()
		if responses != nil {
			responses <- response
		}
	}
}

// fail closes a connection and fails all calls pending on it.
func (p *peerConn) fail(conn net.Conn) {
	if conn == nil {
		return
	}
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return
	}
	p.conn = nil
	for id, responses := range p.pending {
		close(responses)
		delete(p.pending, id)
	}
}

func writeEnvelope(conn net.Conn, e envelope) error {
	message, err := encode(&e)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = conn.Write(message)
	return err
}
