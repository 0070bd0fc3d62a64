package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/upstream"
)

const (
	// redialPause is the time between two tries to reach an entry.
	redialPause = 300 * time.Millisecond
	// writeTimeout bounds the writing of one message.
	writeTimeout = time.Second
)

// Client calls other entries; its zero value is ready to use.
type Client struct {
	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one entry.
type link struct {
	address string

	dialing  sync.Mutex
	failedAt time.Time

	mu      sync.Mutex
	conn    net.Conn
	last    uint64
	waiting map[uint64]chan envelope
}

// Call sends a call to the entry at the IP and port and decodes its answer into reply.
func (c *Client) Call(ctx context.Context, address, kind string, call, reply any) error {
	body, err := encode(call)
	if err != nil {
		return eris.Wrapf(ErrRefused, "encode %s: %v", kind, err)
	}
	answer, err := c.link(address).call(ctx, kind, body)
	if err != nil {
		return eris.Wrapf(ErrUnreachable, "%s to %s: %v", kind, address, err)
	}
	if answer.Problem != "" {
		return eris.Wrapf(ErrRefused, "%s at %s: %s", kind, address, answer.Problem)
	}
	if err := msgpack.Unmarshal(answer.Body, reply); err != nil {
		return eris.Wrapf(ErrRefused, "answer to %s from %s: %v", kind, address, err)
	}
	return nil
}

// Drop closes the connection to an entry.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	l := c.links[address]
	delete(c.links, address)
	c.mu.Unlock()
	if l != nil {
		l.mu.Lock()
		conn := l.conn
		l.mu.Unlock()
		l.fail(conn)
	}
}

func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l == nil {
		l = &link{address: address, waiting: make(map[uint64]chan envelope)}
		if c.links == nil {
			c.links = make(map[string]*link)
		}
		c.links[address] = l
	}
	return l
}

// call sends a call and waits for its answer.
func (l *link) call(ctx context.Context, kind string, body []byte) (envelope, error) {
	conn, err := l.connect(ctx)
	if err != nil {
		return envelope{}, err
	}
	id, answered, err := l.send(conn, kind, body)
	if err != nil {
		l.fail(conn)
		return envelope{}, err
	}
	select {
	case answer, ok := <-answered:
		if !ok {
			return envelope{}, eris.New("connection lost")
		}
		return answer, nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.waiting, id)
		l.mu.Unlock()
		return envelope{}, ctx.Err()
	}
}

// connect returns the open connection, or opens one.
func (l *link) connect(ctx context.Context) (net.Conn, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	l.dialing.Lock()
	defer l.dialing.Unlock()
	l.mu.Lock()
	conn = l.conn
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	if time.Since(l.failedAt) < redialPause {
		return nil, eris.New("lately not reached")
	}
	conn, err := upstream.Dial(ctx, l.address)
	if err != nil {
		l.failedAt = time.Now()
		return nil, err
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	go l.receive(conn)
	return conn, nil
}

// send writes a call and returns where its answer will arrive.
func (l *link) send(conn net.Conn, kind string, body []byte) (uint64, chan envelope, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return 0, nil, eris.New("connection lost")
	}
	l.last++
	id := l.last
	answered := make(chan envelope, 1)
	l.waiting[id] = answered
	if err := writeEnvelope(conn, envelope{ID: id, Kind: kind, Body: body}); err != nil {
		delete(l.waiting, id)
		return 0, nil, err
	}
	return id, answered, nil
}

// receive hands the answers on until the connection ends.
func (l *link) receive(conn net.Conn) {
	defer l.fail(conn)
	r := newReceiver(conn)
	for {
		answer, err := r.next()
		if err != nil {
			return
		}
		l.mu.Lock()
		answered := l.waiting[answer.ID]
		delete(l.waiting, answer.ID)
		l.mu.Unlock()
		if answered != nil {
			answered <- answer
		}
	}
}

// fail ends a connection and all calls that wait on it.
func (l *link) fail(conn net.Conn) {
	if conn == nil {
		return
	}
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	l.conn = nil
	for id, answered := range l.waiting {
		close(answered)
		delete(l.waiting, id)
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
