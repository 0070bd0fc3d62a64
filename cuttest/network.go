package cuttest

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/upstream"
)

// Mode is how an entry is cut off from all servers.
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
)

// Network is the way of one entry to the servers, which can be cut.
type Network struct {
	dialer upstream.Dialer

	mu     sync.Mutex
	mode   Mode
	healed chan struct{} // closed when a silent cut ends
	conns  map[*connection]bool
}

// NewNetwork returns a network that opens connections with a dialer while it is whole.
func NewNetwork(dialer upstream.Dialer) *Network {
	return &Network{dialer: dialer, conns: make(map[*connection]bool)}
}

// connection is a connection of a Network.
type connection struct {
	*net.TCPConn
	network *Network
	close   sync.Once
	closed  chan struct{}
}

// SetMode cuts the way, or restores it.
func (n *Network) SetMode(mode Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.healed != nil {
		close(n.healed)
		n.healed = nil
	}
	n.mode = mode
	if mode == Silent {
		n.healed = make(chan struct{})
	}
	if mode == Reset {
		for conn := range n.conns {
			_ = conn.SetLinger(0) // fails only if the connection is closed
			conn.TCPConn.Close()
		}
	}
}

// state returns the mode and the end of a silent cut.
func (n *Network) state() (Mode, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode, n.healed
}

// silentDialTime is after how long a dial fails that is not answered.
const silentDialTime = 500 * time.Millisecond

// Dial implements upstream.Network.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	mode, _ := n.state()
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
	c := &connection{TCPConn: conn.(*net.TCPConn), network: n, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	return c, nil
}

// Read returns nothing while the way is silent, until the connection would time out.
func (c *connection) Read(p []byte) (int, error) {
	read, err := c.TCPConn.Read(p)
	if mode, healed := c.network.state(); mode == Silent {
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

// Doubt implements upstream.Network.
func (n *Network) Doubt(string) {}

// CutOff implements upstream.Network.
func (n *Network) CutOff() bool { return false }

// Close closes the connection.
func (c *connection) Close() error {
	c.close.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.TCPConn.Close()
}
