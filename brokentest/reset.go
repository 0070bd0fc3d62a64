package brokentest

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"greengagedock.example/upstream"
)

// socketBufferBytes is the size of a socket's buffer for writing, so that a long request is still being
// written while its answer arrives.
const socketBufferBytes = 32 << 10

// Network opens connections whose reset, or other end with an error, is reported to the writer
// alone, and to the reader as a clean end: the system reports it once, to whichever call meets
// it first.
type Network struct {
	upstream.Dialer
	err   error
	delay time.Duration
}

// NewNetwork returns a network whose connections report their end to the writer as err, delayed
// for a time after the reader got its clean end.
func NewNetwork(err error, delay time.Duration) *Network { return &Network{err: err, delay: delay} }

// Dial opens a connection to an IP:PORT address.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	if err := tcp.SetWriteBuffer(socketBufferBytes); err != nil {
		tcp.Close()
		return nil, err
	}
	return &connection{TCPConn: tcp, network: n, failed: make(chan struct{})}, nil
}

// connection is a connection of a Network.
type connection struct {
	*net.TCPConn
	network *Network
	once    sync.Once
	failed  chan struct{} // closed once a write has failed
}

// Write sends bytes, and returns the network's error if that fails.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
		time.Sleep(c.network.delay)
		err = c.network.err
	}
	return n, err
}

// Read returns io.EOF where a write gets the error.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil && err != io.EOF {
		<-c.failed
		err = io.EOF
	}
	return n, err
}
