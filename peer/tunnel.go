package peer

import (
	"context"
	"math/rand/v2"
	"net"

	"greengagedock.example/mesh"
	"greengagedock.example/upstream"
)

// tunnelDialer opens the connections of tunnels, which live as long as those to servers.
var tunnelDialer = upstream.NewDialer(mesh.TunnelSilence, mesh.TunnelSilence)

// refuseCalls is the handler of the connections that are only for tunnels.
func refuseCalls(string, []byte) (any, error) { return nil, mesh.ErrRefused }

// ServeTunnels has this entry lead other entries to servers. Until then it opens no tunnels.
func (c *Control) ServeTunnels(dial mesh.TunnelDialer) { c.acceptor.tunnels.ServeTunnels(dial) }

// OpenTunnel connects to a server's IP and port through the entry that accepts its peers at an
// IP and port. Errors are those of mesh.OpenTunnel.
func (c *Control) OpenTunnel(ctx context.Context, entry, address string) (net.Conn, error) {
	opening, err := encodeFrame(&tunnel{Protocol: protocolVersion, Region: c.region})
	if err != nil {
		return nil, err
	}
	return mesh.OpenTunnel(ctx, tunnelDialer, entry, address, opening...)
}

// Relays returns where the other entries accept their peers that were heard recently, in
// random order.
func (c *Control) Relays() []string {
	var out []string
	s := c.Snapshot()
	for _, e := range s.Entries() {
		if !e.Silent() && !e.Draining() && e.Instance().ID() != s.Instance().ID() {
			out = append(out, e.Instance().ControlAddress())
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
