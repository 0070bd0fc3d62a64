package mesh

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against one long message that ends a connection, and with it the calls beside it: the
// sender refuses it.
func TestLongMessageEndsNoOtherCall(t *testing.T) {
	c := qt.New(t)
	address, _ := serve(c, func(kind string, _ []byte) (any, error) {
		if kind == "long" {
			return strings.Repeat("x", maxMessageBytes), nil
		}
		time.Sleep(500 * time.Millisecond)
		return kind, nil
	})
	var client Client
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	beside := make(chan error, 1)
	go func() { beside <- client.Call(ctx, address, "other", 1, new(string)) }()
	time.Sleep(100 * time.Millisecond)
	c.Assert(client.Call(ctx, address, "long", 1, new(string)), qt.ErrorIs, ErrRefused)
	c.Assert(client.Call(ctx, address, "other", strings.Repeat("x", maxMessageBytes), new(string)), qt.ErrorIs, ErrRefused)
	c.Assert(<-beside, qt.IsNil)
}

// sizedReply is a reply that states its length.
type sizedReply string

func (r sizedReply) EncodedBytes() int { return len(r) }

// Guards against responses to many calls at a time that take more memory than there is.
func TestLongResponsesStayWithinMemory(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := NewServer(func(string, []byte) (any, error) { return sizedReply(strings.Repeat("x", 64<<10)), nil }).WithLimits(NewLimits(0, 300<<10))
	go func() { _ = server.Serve(listener) }() // ends with the listener
	c.Cleanup(func() {
		listener.Close()
		server.Close()
	})
	address := listener.Addr().String()
	var client Client
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Assert(client.Call(ctx, address, "one", 1, new(string)), qt.IsNil)
	server.mu.Lock()
	server.messages += 64 << 10 // another response is being written
	server.mu.Unlock()
	c.Assert(client.Call(ctx, address, "one", 1, new(string)), qt.ErrorIs, ErrRefused)
	server.mu.Lock()
	server.messages -= 64 << 10
	server.mu.Unlock()
	c.Assert(client.Call(ctx, address, "one", 1, new(string)), qt.IsNil)
	awaitServer(c, server, func() bool { return server.messages == 0 })
}
