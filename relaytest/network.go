package relaytest

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/rotisserie/eris"

	"greengagedock.example/mesh"
	"greengagedock.example/upstream"
)

// Network reaches all servers through another entry. Serve returns one.
type Network struct {
	upstream.Dialer
	relay string
}

// Serve starts an entry that reaches servers through a network, and relays until the test ends.
func Serve(t testing.TB, servers upstream.Network) Network {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entry := mesh.NewServer(func(string, []byte) (any, error) { return nil, eris.New("relaytest: no calls") })
	entry.ServeTunnels(servers.Dial)
	go func() { _ = entry.Serve(listener) }() // ends with the listener
	t.Cleanup(func() {
		listener.Close()
		entry.Close()
	})
	return Network{relay: listener.Addr().String()}
}

// Dial opens a connection to a server at an IP:PORT address.
func (n Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := mesh.OpenTunnel(ctx, n.Dialer, n.relay, address)
	if err != nil {
		return nil, err
	}
	return connection{conn.(tunnel), n.relay}, nil
}

// connection is a connection of a Network.
type connection struct {
	tunnel
	relay string
}

// tunnel is what mesh.OpenTunnel returns through an entry of this version.
type tunnel interface {
	net.Conn
	syscall.Conn
	HasUnread() bool
}

// Relay implements upstream.Relayed.
func (c connection) Relay() string { return c.relay }
