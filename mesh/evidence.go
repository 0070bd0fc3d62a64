package mesh

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// tcpConn has the methods of a TCP connection that its users need.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// directConn is a direct connection to a server, which shows whether the way works.
type directConn struct {
	tcpConn
	paths   *Paths
	path    *path
	address string
	// asked is when bytes were first sent since the server last sent some, as the time since
	// Paths.start, 0 if none were.
	asked atomic.Int64
}

// observe returns a direct connection to a server that shows whether the way works.
func (p *Paths) observe(address string, conn net.Conn) net.Conn {
	tcp, ok := conn.(tcpConn)
	if !ok {
		return conn
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &directConn{tcpConn: tcp, paths: p, path: p.pathOf(address), address: address}
	if p.probePath == "" {
		c.path.answeredAt.Store(p.sinceStart(p.timers.Now()))
	}
	c.path.conns[c] = true
	return c
}

// Write sends bytes.
func (c *directConn) Write(b []byte) (int, error) {
	c.asked.CompareAndSwap(0, c.paths.sinceStart(c.paths.timers.Now()))
	return c.tcpConn.Write(b)
}

// Read receives bytes, which show that the way works. An end before the first byte of a
// response raises doubt about it.
func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.tcpConn.Read(b)
	if n > 0 {
		c.asked.Store(0)
		c.path.answeredAt.Store(c.paths.sinceStart(c.paths.timers.Now()))
		return n, err
	}
	if err != nil && c.asked.Load() != 0 && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.paths.doubt(c.address)
	}
	return n, err
}

// Close closes the connection.
func (c *directConn) Close() error {
	c.paths.mu.Lock()
	delete(c.path.conns, c)
	c.paths.mu.Unlock()
	return c.tcpConn.Close()
}

// Watch raises doubt, until ctx ends, about the ways to servers that have sent nothing since
// a request was sent that is older than a time. It is for callers that don't use Doubt.
func (p *Paths) Watch(ctx context.Context, silence time.Duration) {
	tick := p.timers.Every(silence / 4)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			for _, address := range p.silent(silence) {
				p.doubt(address)
			}
		case <-ctx.Done():
			return
		}
	}
}

// silent returns the servers that have sent nothing since a request was sent that is older
// than a time.
func (p *Paths) silent(silence time.Duration) []string {
	now := p.sinceStart(p.timers.Now())
	var out []string
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.paths {
		for conn := range known.conns {
			if asked := conn.asked.Load(); asked != 0 && now-asked >= int64(silence) && known.answeredAt.Load() < asked {
				out = append(out, address)
				break
			}
		}
	}
	return out
}

// opener opens a connection to a server.
type opener func(ctx context.Context) (net.Conn, error)

// directly opens a connection on the direct way, which does not show whether the way works.
func (p *Paths) directly(address string) opener {
	return func(ctx context.Context) (net.Conn, error) { return p.direct.Dial(ctx, address) }
}

// ask opens a connection, sends a small request on it and returns once the first byte of a
// response has arrived.
func (p *Paths) ask(ctx context.Context, open opener) error {
	conn, err := open(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	if p.probePath == "" {
		return nil
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	request := "GET " + p.probePath + " HTTP/1.1\r\nHost: " + conn.RemoteAddr().String() + "\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

// wayLost reports whether another entry gets a response of a server that this one does not.
func (p *Paths) wayLost(ctx context.Context, address string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := time.After(directPatience)
	direct := make(chan error, 2)
	askDirectly := func() { direct <- p.ask(ctx, p.directly(address)) }
	go askDirectly()
	pending := 1
	select {
	case err := <-direct:
		if err == nil {
			p.answered(address)
			return false
		}
		pending--
	case <-time.After(relayDelay):
		go askDirectly() // one lost packet is not a lost way
		pending++
	}
	if !p.reachedByOthers(ctx, address) {
		return false
	}
	for ; pending > 0; pending-- {
		select {
		case err := <-direct:
			if err == nil {
				p.answered(address)
				return false
			}
		case <-patience:
			return true
		}
	}
	return true
}

// answered records that a server sent something on the direct way.
func (p *Paths) answered(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pathOf(address).answeredAt.Store(p.sinceStart(p.timers.Now()))
}

// reachedByOthers reports whether a server responds through another entry. Those that leave
// the request unanswered may have lost the way themselves, so others are asked beside them.
func (p *Paths) reachedByOthers(ctx context.Context, address string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relays := p.relays()
	relays = relays[:min(maxRelays, len(relays))]
	type result struct {
		relay string
		err   error
	}
	results := make(chan result, len(relays))
	open := make(map[string]bool)
	for next := 0; next < len(relays) || len(open) > 0; {
		count := 1
		if next > 0 {
			count = checkRelays
		}
		for ; count > 0 && next < len(relays); count-- {
			relay := relays[next]
			next++
			open[relay] = true
			go func() {
				results <- result{relay, p.ask(ctx, func(ctx context.Context) (net.Conn, error) { return p.ways.Open(ctx, relay, address) })}
			}()
		}
		var late <-chan time.Time
		if next < len(relays) {
			late = time.After(relayDelay)
		}
		select {
		case r := <-results:
			delete(open, r.relay)
			if r.err == nil {
				p.led(r.relay)
				for silent := range open {
					p.refused(silent)
				}
				return true
			}
			if !errors.Is(r.err, ErrServerUnreachable) {
				p.refused(r.relay)
			}
		case <-late:
		case <-ctx.Done():
			return false
		}
	}
	return false
}
