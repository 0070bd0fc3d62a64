package cuttest

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/upstream"
)

// Mode is how an entry is cut off from servers.
type Mode string

// The modes.
const (
	// None: the way is whole.
	None Mode = ""
	// Silent: connections hang, and new ones are not answered.
	Silent Mode = "silent"
	// Reset: connections are reset, and new ones refused.
	Reset Mode = "reset"
	// New: connections live on, and new ones are refused.
	New Mode = "new"
	// Accepting: connections are accepted, and nothing is passed on in either direction.
	Accepting Mode = "accepting"
	// Resetting: connections are accepted, and reset once something is sent.
	Resetting Mode = "resetting"
	// OneWay: what is sent arrives, and no response does.
	OneWay Mode = "one_way"
)

// Network is the way of one entry to the servers, which can be cut.
type Network struct {
	dialer upstream.Dialer

	mu   sync.Mutex
	mode Mode
	// only holds the servers to which the way is cut, nil for all.
	only   map[string]bool
	healed chan struct{} // closed when a silent cut ends
	conns  map[*connection]bool
	// dials counts the connections that were tried while a way was cut, by server.
	dials map[string]int
}

// NewNetwork returns a network that opens connections with a dialer while it is whole.
func NewNetwork(dialer upstream.Dialer) *Network {
	return &Network{dialer: dialer, conns: make(map[*connection]bool), dials: make(map[string]int)}
}

// connection is a connection of a Network.
type connection struct {
	*net.TCPConn
	network *Network
	address string
	close   sync.Once
	closed  chan struct{}
	// broken is set once bytes were dropped, since later ones must not follow.
	broken atomic.Bool
}

// SetMode cuts the way to some servers, or to all if none is named, or restores it.
func (n *Network) SetMode(mode Mode, servers ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.healed != nil {
		close(n.healed)
		n.healed = nil
	}
	n.mode, n.only = mode, nil
	if len(servers) > 0 {
		n.only = make(map[string]bool)
		for _, server := range servers {
			n.only[server] = true
		}
	}
	if mode == Silent {
		n.healed = make(chan struct{})
	}
	if mode == Reset || mode == Resetting {
		for conn := range n.conns {
			if n.only == nil || n.only[conn.address] {
				conn.reset()
			}
		}
	}
}

// reset resets the connection.
func (c *connection) reset() {
	_ = c.SetLinger(0) // fails only if the connection is closed
	c.TCPConn.Close()
}

// DialsWhileCut returns how many connections to a server were tried while the way was cut.
func (n *Network) DialsWhileCut(server string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[server]
}

// state returns the mode of the way to a server and the end of a silent cut.
func (n *Network) state(server string) (Mode, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.only != nil && !n.only[server] {
		return None, nil
	}
	return n.mode, n.healed
}

// silentDialTime is after how long a dial fails that is not answered.
const silentDialTime = 500 * time.Millisecond

// Dial implements upstream.Network.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	mode, _ := n.state(address)
	if mode != None {
		n.mu.Lock()
		n.dials[address]++
		n.mu.Unlock()
	}
	switch mode {
	case Silent:
		select {
		case <-time.After(silentDialTime):
			return nil, eris.Wrap(syscall.ETIMEDOUT, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	case Reset, New:
		return nil, eris.Wrap(syscall.ECONNREFUSED, address)
	}
	conn, err := n.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &connection{TCPConn: conn.(*net.TCPConn), network: n, address: address, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	return c, nil
}

// Read returns nothing while the way is silent, until the connection would time out.
func (c *connection) Read(p []byte) (int, error) {
	read, err := c.TCPConn.Read(p)
	mode, healed := c.network.state(c.address)
	switch {
	case c.broken.Load() || mode == Accepting || mode == OneWay:
		c.broken.Store(true)
		if err == nil || err == io.EOF {
			<-c.closed
			return 0, net.ErrClosed
		}
	case mode == Resetting:
		return 0, syscall.ECONNRESET
	case mode == Silent:
		select {
		case <-healed:
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(c.network.dialer.Unacknowledged()):
			return 0, syscall.ETIMEDOUT
		}
	}
	return read, err
}

// Write sends bytes, which get lost or have the connection reset in some modes.
func (c *connection) Write(p []byte) (int, error) {
	mode, _ := c.network.state(c.address)
	switch {
	case mode == Accepting || c.broken.Load():
		c.broken.Store(true)
		return len(p), nil
	case mode == Resetting:
		c.reset()
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Doubt implements upstream.Network.
func (n *Network) Doubt(string) {}

// Lost implements upstream.Network.
func (n *Network) Lost(string) bool { return false }

// Close closes the connection.
func (c *connection) Close() error {
	c.close.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.TCPConn.Close()
}
