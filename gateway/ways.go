package gateway

import (
	"context"
	"net"
	"slices"

	"github.com/rotisserie/eris"

	"greengagedock.example/mesh"
	"greengagedock.example/upstream"
)

// ways implements mesh.Ways for an entry.
type ways struct {
	process *Process
	dialer  upstream.Dialer
}

// Servers returns the addresses of the known servers.
func (w ways) Servers() []string {
	var out []string
	for _, server := range w.process.control.View().Servers() {
		out = append(out, server.Address())
	}
	return out
}

// Relays returns the other entries that reach servers.
func (w ways) Relays() []string { return w.process.control.relays() }

// Open opens a tunnel to a server through another entry.
func (w ways) Open(ctx context.Context, relay, address string) (net.Conn, error) {
	return mesh.OpenTunnel(ctx, w.dialer, relay, address)
}

// Changed tells the other entries, and ends the idle connections on ways that are lost or no
// longer needed.
func (w ways) Changed(cutOff bool) {
	w.process.control.setPaths(cutOff, w.process.paths.LostSince())
	w.process.sweepOnce()
}

// serveTunnel connects to a server for another entry that has lost the way to it.
func (w ways) serveTunnel(ctx context.Context, address string) (net.Conn, error) {
	state := w.process.control.state.Load()
	switch {
	case !slices.Contains(w.Servers(), address):
		return nil, eris.Wrapf(mesh.ErrRefused, "%s: not a known server", address)
	case w.process.paths.Lost(address):
		return nil, eris.Wrapf(mesh.ErrRefused, "%s: way to the server lost", address)
	case state != memberReady:
		return nil, eris.Wrapf(mesh.ErrRefused, "entry is %v", state)
	}
	return w.process.paths.DialDirect(ctx, address)
}
