package mesh

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/porttest"
)

func serve(c *qt.C, handler Handler) (address string, server *Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server = NewServer(handler)
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(func() {
		listener.Close()
		server.Close()
	})
	return listener.Addr().String(), server
}

func TestResponsesArriveInAnyOrder(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	address, _ := serve(c, func(kind string, body []byte) (any, error) {
		if kind == "slow" {
			<-release
		}
		return kind, nil
	})
	var client Client
	var calls sync.WaitGroup
	var slow string
	var slowErr error
	calls.Go(func() { slowErr = client.Call(context.Background(), address, "slow", 1, &slow) })
	var quick string
	c.Assert(client.Call(context.Background(), address, "quick", 1, &quick), qt.IsNil)
	c.Assert(quick, qt.Equals, "quick")
	close(release)
	calls.Wait()
	c.Assert(slowErr, qt.IsNil)
	c.Assert(slow, qt.Equals, "slow")
}

func TestRefusedCall(t *testing.T) {
	c := qt.New(t)
	address, _ := serve(c, func(string, []byte) (any, error) { return nil, errors.New("no") })
	var client Client
	err := client.Call(context.Background(), address, "any", 1, new(string))
	c.Assert(err, qt.ErrorIs, ErrRefused)
}

func TestLostConnectionEndsCallsAndIsReplaced(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	server := NewServer(func(string, []byte) (any, error) { return "ok", nil })
	defer server.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		// Close the connection once the first byte of the call has arrived.
		_, _ = conn.Read(make([]byte, 1))
		conn.Close()
		_ = server.Serve(listener)
	}()
	var client Client
	var reply string
	c.Assert(client.Call(context.Background(), listener.Addr().String(), "any", 1, &reply), qt.ErrorIs, ErrUnreachable)
	c.Assert(client.Call(context.Background(), listener.Addr().String(), "any", 1, &reply), qt.IsNil)
	c.Assert(reply, qt.Equals, "ok")
}

func TestCallEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	address, _ := serve(c, func(string, []byte) (any, error) {
		<-release
		return nil, nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	var client Client
	c.Assert(client.Call(ctx, address, "any", 1, new(string)), qt.ErrorIs, ErrUnreachable)
}

// unusedAddress returns a loopback address on which nobody listens.
func unusedAddress(c *qt.C) string {
	c.Helper()
	address, err := porttest.Address()
	c.Assert(err, qt.IsNil)
	return address
}

func TestUnreachableEntryIsNotRedialedAtOnce(t *testing.T) {
	c := qt.New(t)
	address := unusedAddress(c)
	var client Client
	c.Assert(client.Call(context.Background(), address, "any", 1, new(string)), qt.ErrorMatches, ".*refused.*")
	c.Assert(client.Call(context.Background(), address, "any", 1, new(string)), qt.ErrorMatches, ".*last dial failed recently; not redialed yet.*")
}

// Both ends count what they send and receive, by the kind of call.
func TestTrafficIsCountedByKind(t *testing.T) {
	c := qt.New(t)
	address, server := serve(c, func(_ string, body []byte) (any, error) { return "four", nil })
	var client Client
	for range 2 {
		c.Assert(client.Call(context.Background(), address, "beat", "request", new(string)), qt.IsNil)
	}
	c.Assert(client.Call(context.Background(), address, "items", "x", new(string)), qt.IsNil)
	sent, received := client.Traffic().Sent(), client.Traffic().Received()
	c.Assert(sent, qt.DeepEquals, map[string]int64{"beat": 2 * 8, "items": 2}) // a byte of type and length each
	c.Assert(received, qt.DeepEquals, map[string]int64{"beat": 2 * 5, "items": 5})
	c.Assert(server.Traffic().Received(), qt.DeepEquals, sent)
	c.Assert(server.Traffic().Sent(), qt.DeepEquals, received)
}
