package http1

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

const (
	// ConnectionBytes is about the memory of one connection and an ordinary request on it:
	// goroutines, buffers, and a head of up to ordinaryHeadBytes.
	ConnectionBytes = 40 << 10
	// ordinaryHeadBytes is the memory of a head that its connection accounts for. Only what a
	// head takes beyond it is reserved.
	ordinaryHeadBytes = 8 << 10
	// A head takes headByteFactor bytes for each byte on the wire, and lineBytes for each line:
	// entries of the map of its fields, and of the copy that is sent to a server.
	headByteFactor = 2
	lineBytes      = 256
	// spareDivisor is the number of connections divided by those that are left for requests
	// that are answered at once while all others wait.
	spareDivisor = 16
	// logInterval is the minimum time between two log lines about clients that were refused.
	logInterval = 10 * time.Second
)

// Reasons for which a client is refused.
var (
	// ErrBusy is the reason for refusing a request while too many others are open.
	ErrBusy = eris.New("http1: too many open requests")
	// ErrNoMemory is the reason for refusing a request whose head takes more memory than is left.
	ErrNoMemory = eris.New("http1: memory for request heads exhausted")
	// ErrClosed is the reason for not handling a request whose connection was closed.
	ErrClosed = eris.New("http1: connection closed")
	// ErrHeadTooLarge is the reason for refusing a head over the limit.
	ErrHeadTooLarge = eris.New("http1: request head over the limit")
)

// Limits bound what all clients of a process may take together. The zero value has no bounds.
type Limits struct {
	connections int
	headMemory  int64
}

// NewLimits returns limits of the number of open connections and of the memory of request heads
// in bytes, 0 for no limit.
func NewLimits(connections int, headMemory int64) Limits {
	return Limits{connections: connections, headMemory: headMemory}
}

// Connections returns the maximum number of open connections, 0 for no limit.
func (l Limits) Connections() int { return l.connections }

// HeadMemory returns the memory of request heads in bytes, 0 for no limit.
func (l Limits) HeadMemory() int64 { return l.headMemory }

// Clients are the clients of one process. Its zero value bounds nothing.
//
// A connection on which no request runs is closed if a new one needs its place, and the one that
// has waited longest first: a client that behaves sends its next request soon, and retries one
// that was not read.
type Clients struct {
	limits Limits
	log    hclog.Logger

	mu sync.Mutex
	// open is the number of connections, and waiting holds those that wait for the rest of a
	// request, the one that has waited longest first.
	open    int
	waiting list.List
	// heads is the memory that is reserved for heads.
	heads    int64
	counts   Counts
	loggedAt time.Time
}

// Counts counts what clients were refused.
type Counts struct {
	evicted  int64
	refused  int64
	noMemory int64
	tooLarge int64
}

// Evicted returns the number of waiting connections that were closed in favour of others.
func (c Counts) Evicted() int64 { return c.evicted }

// Refused returns the number of connections and requests that were refused since too many were
// open.
func (c Counts) Refused() int64 { return c.refused }

// NoMemory returns the number of requests that were refused for the memory of their heads.
func (c Counts) NoMemory() int64 { return c.noMemory }

// TooLarge returns the number of requests that were refused since their heads were over the limit.
func (c Counts) TooLarge() int64 { return c.tooLarge }

// NewClients returns clients within limits that logs those that are refused.
func NewClients(limits Limits, log hclog.Logger) *Clients {
	return &Clients{limits: limits, log: log}
}

// Counts returns what was counted so far.
func (c *Clients) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Open returns the number of open connections and the memory that is reserved for heads in bytes.
func (c *Clients) Open() (connections int, headMemory int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.heads
}

// add returns a connection that was accepted, or nil if it is refused: all others have requests.
func (c *Clients) add(conn net.Conn, headLimit func() int) *Conn {
	added := &Conn{Conn: conn, clients: c, headLimit: headLimit, inHead: true}
	c.mu.Lock()
	var evicted *Conn
	if c.limits.connections > 0 && c.open >= c.limits.connections {
		if evicted = c.evictOldest(); evicted == nil {
			c.counts.refused++
			c.mu.Unlock()
			c.logRefusals()
			return nil
		}
	}
	c.open++
	added.place = c.waiting.PushBack(added)
	c.mu.Unlock()
	if evicted != nil {
		evicted.Conn.Close()
		c.logRefusals()
	}
	return added
}

// evictOldest takes the connection that has waited longest out, nil if none waits. The caller
// holds c.mu and closes the connection.
func (c *Clients) evictOldest() *Conn {
	first := c.waiting.Front()
	if first == nil {
		return nil
	}
	return c.evict(first.Value.(*Conn))
}

// evict takes a connection out in favour of another one; the caller holds c.mu and closes it.
func (c *Clients) evict(conn *Conn) *Conn {
	c.counts.evicted++
	conn.evicted = true
	c.remove(conn)
	return conn
}

// remove takes a connection out; the caller holds c.mu.
func (c *Clients) remove(conn *Conn) {
	if conn.removed {
		return
	}
	conn.removed = true
	c.open--
	c.setReserved(conn, 0)
	c.setWaiting(conn, false)
}

// setWaiting moves a connection to the end of those that wait, or out of them; the caller holds
// c.mu.
func (c *Clients) setWaiting(conn *Conn, waiting bool) {
	switch {
	case !waiting && conn.place != nil:
		c.waiting.Remove(conn.place)
		conn.place = nil
	case waiting && conn.place != nil:
		c.waiting.MoveToBack(conn.place)
	case waiting && !conn.removed:
		conn.place = c.waiting.PushBack(conn)
	}
}

// setReserved sets the memory of a connection's head; the caller holds c.mu.
func (c *Clients) setReserved(conn *Conn, bytes int64) {
	c.heads += bytes - conn.reserved
	conn.reserved = bytes
}

// reserve reserves the memory of a head, and returns the connections to close for it: those
// that have waited longer for the rest of a head that takes reserved memory too. It reports false
// if there is not enough. The caller holds c.mu.
func (c *Clients) reserve(conn *Conn, bytes int64) (evicted []*Conn, ok bool) {
	bytes = max(0, bytes-ordinaryHeadBytes)
	if bytes <= conn.reserved {
		return nil, true
	}
	for c.limits.headMemory > 0 && c.heads-conn.reserved+bytes > c.limits.headMemory {
		holder := c.longestWaiting(conn, func(other *Conn) bool { return other.reserved > 0 })
		if holder == nil {
			return evicted, false
		}
		evicted = append(evicted, c.evict(holder))
	}
	c.setReserved(conn, bytes)
	return evicted, true
}

// longestWaiting returns the connection that has waited longest of those for which holds is true,
// nil if none of them has waited longer than conn; the caller holds c.mu.
func (c *Clients) longestWaiting(conn *Conn, holds func(*Conn) bool) *Conn {
	for e := c.waiting.Front(); e != nil && e != conn.place; e = e.Next() {
		if other := e.Value.(*Conn); holds(other) {
			return other
		}
	}
	return nil
}

// tooBusy reports whether all connections but a few have requests; the caller holds c.mu.
func (c *Clients) tooBusy() bool {
	limit := c.limits.connections - c.limits.connections/spareDivisor
	return c.limits.connections > 0 && c.open-c.waiting.Len() > limit
}

// logRefusals logs what was refused so far, once in a while.
func (c *Clients) logRefusals() {
	now := time.Now()
	c.mu.Lock()
	due := c.log != nil && now.Sub(c.loggedAt) >= logInterval
	if due {
		c.loggedAt = now
	}
	counts, open, waiting, heads := c.counts, c.open, c.waiting.Len(), c.heads
	c.mu.Unlock()
	if due {
		c.log.Warn("clients refused", "evicted", counts.evicted, "refused", counts.refused, "no_memory", counts.noMemory, "too_large", counts.tooLarge,
			"connections", open, "waiting", waiting, "connections_limit", c.limits.connections, "head_memory", heads, "head_memory_limit", c.limits.headMemory)
	}
}

// HeadMemory returns the memory in bytes that a head of a size and a number of lines takes, with
// a copy of it.
func HeadMemory(bytes, lines int) int64 { return headByteFactor*int64(bytes) + lineBytes*int64(lines) }

// parsedMemory returns the memory that a parsed head takes.
func parsedMemory(r *http.Request) int64 {
	bytes, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
		}
		lines += len(values)
	}
	return HeadMemory(bytes, lines)
}
