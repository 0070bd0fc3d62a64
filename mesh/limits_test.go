package mesh

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serveLimited serves calls within limits; calls of the kind "wait" wait until the test ends.
func serveLimited(c *qt.C, limits Limits) (address string, server *Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ended := make(chan struct{})
	server = NewServer(func(kind string, _ []byte) (any, error) {
		if kind == "wait" {
			<-ended
		}
		return kind, nil
	}).WithLimits(limits)
	go func() { _ = server.Serve(listener) }() // ends with the listener
	c.Cleanup(func() {
		close(ended)
		listener.Close()
		server.Close()
	})
	return listener.Addr().String(), server
}

// awaitServer waits until a condition on the server's state holds.
func awaitServer(c *qt.C, s *Server, holds func() bool) {
	c.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		held := holds()
		s.mu.Unlock()
		if held {
			return
		}
	}
	c.Fatal("the condition does not hold")
}

// dialWith connects and sends a text.
func dialWith(c *qt.C, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	_, err = conn.Write([]byte(text))
	c.Assert(err, qt.IsNil)
	return conn
}

// assertEnded asserts that the server closes a connection.
func assertEnded(c *qt.C, conn net.Conn) {
	c.Helper()
	c.Assert(conn.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	c.Assert(err, qt.IsNotNil)
	c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
}

// callOnce calls an entry on a connection of its own.
func callOnce(c *qt.C, address, kind, body string) error {
	var client Client
	defer client.Drop(address)
	ctx, cancel := context.WithTimeout(c.Context(), 20*time.Second)
	defer cancel()
	return client.Call(ctx, address, kind, body, new(string))
}

// Guards against other entries that are kept out by connections on which nothing is sent: the one
// that has waited longest makes room, and none on which a call is handled.
func TestConnectionsAreLimited(t *testing.T) {
	c := qt.New(t)
	address, server := serveLimited(c, NewLimits(3, 0))
	var waiting Client
	defer waiting.Drop(address)
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	calls.Go(func() { _ = waiting.Call(ctx, address, "wait", "", new(string)) }) // cancelled below
	awaitServer(c, server, func() bool { return server.accepted == 1 && server.waiting.Len() == 0 })
	silent := dialWith(c, address, "")
	awaitServer(c, server, func() bool { return server.accepted == 2 })
	partial := dialWith(c, address, "\x94\x01")
	awaitServer(c, server, func() bool { return server.accepted == 3 })
	var kept Client
	defer kept.Drop(address)
	c.Assert(kept.Call(t.Context(), address, "quick", "", new(string)), qt.IsNil)
	assertEnded(c, silent)
	c.Assert(callOnce(c, address, "quick", ""), qt.IsNil)
	assertEnded(c, partial)
	c.Assert(kept.Call(t.Context(), address, "quick", "", new(string)), qt.IsNil)
	awaitServer(c, server, func() bool { return server.accepted <= 3 })
	cancel()
	calls.Wait()
}

// Guards against memory that messages take before they are whole, by their bytes and by the
// number of their values, and that is not given back.
func TestMessageMemoryIsLimited(t *testing.T) {
	c := qt.New(t)
	address, server := serveLimited(c, NewLimits(0, 1<<20))
	partial := dialWith(c, address, "\x94\x01\xdb\x00\x10\x00\x00"+strings.Repeat("k", 150_000))
	awaitServer(c, server, func() bool { return server.messages > 600_000 })
	c.Assert(callOnce(c, address, "quick", strings.Repeat("b", 200_000)), qt.IsNil)
	assertEnded(c, partial)
	assertEnded(c, dialWith(c, address, "\x95\x01\xa1k\xa0\xc0\xdd\x00\x10\x00\x00"+strings.Repeat("\xa1a", 50_000)))
	c.Assert(callOnce(c, address, "quick", ""), qt.IsNil)
	awaitServer(c, server, func() bool { return server.messages == 0 })
}

// Guards against calls without end on one connection: beyond the memory for calls they are
// refused, and those that are handled go on.
func TestCallsAreLimited(t *testing.T) {
	c := qt.New(t)
	const (
		calls        = 10
		messageBytes = 600 // of a call without a body, and less than a call
	)
	address, server := serveLimited(c, NewLimits(0, calls*(callBytes+messageBytes)))
	var client Client
	defer client.Drop(address)
	ctx, cancel := context.WithCancel(t.Context())
	var waiting sync.WaitGroup
	for range calls {
		waiting.Go(func() { _ = client.Call(ctx, address, "wait", "", new(string)) }) // cancelled below
	}
	awaitServer(c, server, func() bool {
		handled := 0
		for _, in := range server.conns {
			handled += in.calls
		}
		return handled == calls
	})
	err := client.Call(ctx, address, "quick", "", new(string))
	c.Assert(err, qt.ErrorIs, ErrRefused)
	c.Assert(err, qt.ErrorMatches, ".*too many calls.*")
	cancel()
	waiting.Wait()
}
