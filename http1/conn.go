package http1

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// refusalLinger is how long the connection of a refused request is read on, and
	// refusalBytes how far: closing it with unread bytes resets it, and the client may lose
	// the answer.
	refusalLinger = 500 * time.Millisecond
	refusalBytes  = 256 << 10
	// retryAfter is the Retry-After of refused requests in seconds.
	retryAfter = "1"
)

// errRefused is the error of reading from a connection that was refused.
var errRefused = errors.New("http1: client refused")

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	clients *Clients
	// headLimit returns the size of the largest head in bytes, 0 for no limit.
	headLimit func() int

	// The fields below are guarded by clients.mu.

	// inHead is set until the end of the next head has arrived. Of that head, headBytes and
	// lines have.
	inHead    bool
	headBytes int
	lines     int
	// lineBytes is the number of bytes of the current line without CR, and started is set once
	// a line was not empty: net/http skips a few empty lines before a request.
	lineBytes int
	started   bool
	// place is the connection's place among those that wait, nil while its request runs.
	place    *list.Element
	reserved int64
	// holdsBody is whether memory is reserved for the body of the request.
	holdsBody bool
	evicted   bool
	removed   bool
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close closes the connection and gives its place and memory back.
func (c *Conn) Close() error {
	c.clients.mu.Lock()
	c.clients.remove(c)
	c.clients.mu.Unlock()
	return c.Conn.Close()
}

// Read reads what net/http may parse: memory was reserved for it. A client whose head is not
// accepted gets an answer here.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.clients.mu.Lock()
	evicted, reason := c.receive(p[:n])
	c.clients.mu.Unlock()
	for _, conn := range evicted {
		conn.Conn.Close()
	}
	if reason == nil {
		return n, err
	}
	c.clients.logRefusals()
	if !errors.Is(reason, ErrClosed) {
		c.refuse(p, reason)
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
}

// receive reserves the memory for the part of a head in p. It returns the connections to close
// for it, and a reason to refuse the head.
func (c *Conn) receive(p []byte) (evicted []*Conn, reason error) {
	if c.evicted {
		return nil, ErrClosed
	}
	if !c.inHead {
		return nil, nil
	}
	if c.headBytes == 0 {
		c.clients.setWaiting(c, true)
	}
	c.scan(p)
	if limit := c.headLimit(); limit > 0 && c.headBytes > limit+len("\r") { // of the empty line
		c.clients.counts.tooLarge++
		return nil, ErrHeadTooLarge
	}
	evicted, ok := c.clients.reserve(c, HeadMemory(c.headBytes, c.lines))
	if !ok {
		c.clients.counts.noMemory++
		return evicted, ErrNoMemory
	}
	return evicted, nil
}

// scan counts the bytes and lines of the head in p, without the empty line at its end.
func (c *Conn) scan(p []byte) {
	for _, b := range p {
		switch {
		case b == '\n' && c.lineBytes == 0 && c.started:
			c.inHead = false
			return
		case b == '\n':
			c.lines++
			c.lineBytes = 0
		case b != '\r':
			c.lineBytes++
			c.started = true
		}
		c.headBytes++
	}
}

// refuse answers a head that is not accepted, and reads on for a while with the buffer p.
func (c *Conn) refuse(p []byte, reason error) {
	end := time.Now().Add(refusalLinger)
	if c.SetDeadline(end) != nil {
		return
	}
	status, header, text := http.StatusServiceUnavailable, "Retry-After: "+retryAfter+"\r\n", reason.Error()
	if errors.Is(reason, ErrHeadTooLarge) {
		status, header, text = http.StatusRequestHeaderFieldsTooLarge, "", "header over the limit"
	}
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), header, len(text), text)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && err == nil {
		err = half.CloseWrite()
	}
	for read := 0; err == nil && read < refusalBytes; {
		var n int
		n, err = c.Conn.Read(p)
		read += n
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connOf returns the connection that was accepted, through those that wrap it.
func connOf(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapped.NetConn()
	}
}

// requestConn returns the connection of a request, nil if it did not come from a Listener.
func requestConn(r *http.Request) *Conn {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	return conn
}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	if c := connOf(conn); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}
