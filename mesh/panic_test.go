package mesh

import (
	"context"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// failingListener fails the first accept as the kernel does without file descriptors.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a process that ends by one call: its handler's panic is an error for the
// caller, and later calls are served. A failed accept must not end the listener.
func TestPanicOfHandlerAndFailedAcceptAreContained(t *testing.T) {
	c := qt.New(t)
	server := NewServer(func(kind string, _ []byte) (any, error) {
		if kind == "bad" {
			panic("malformed")
		}
		return "ok", nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go server.Serve(&failingListener{Listener: listener})
	var client Client
	var reply string
	c.Assert(client.Call(context.Background(), listener.Addr().String(), "bad", 1, &reply), qt.ErrorIs, ErrRefused)
	c.Assert(client.Call(context.Background(), listener.Addr().String(), "good", 1, &reply), qt.IsNil)
	c.Assert(reply, qt.Equals, "ok")
}
