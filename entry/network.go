package entry

import (
	"context"
	"net"
	"slices"

	"github.com/rotisserie/eris"

	"greengagedock.example/backend"
	"greengagedock.example/mesh"
)

// serverNetwork is the direct way to backend servers.
type serverNetwork struct{}

// Dial implements upstream.Network.
func (serverNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return backend.Dial(ctx, address)
}

// Doubt implements upstream.Network.
func (serverNetwork) Doubt(string) {}

// CutOff implements upstream.Network.
func (serverNetwork) CutOff() bool { return false }

// dialServer opens a connection to a server, once the control state is there to tell which
// ways lead to it.
func (p *Process) dialServer(ctx context.Context, address string) (net.Conn, error) {
	select {
	case <-p.controlStarted:
		return p.paths.Dial(ctx, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ways implements mesh.Ways for an entry.
type ways struct{ process *Process }

// Servers returns where the listed servers are.
func (w ways) Servers() []string { return w.process.control.Snapshot().ServerAddresses() }

// Relays returns the other entries that were heard recently.
func (w ways) Relays() []string { return w.process.control.Relays() }

// Open opens a tunnel to a server through another entry.
func (w ways) Open(ctx context.Context, relay, address string) (net.Conn, error) {
	return w.process.control.OpenTunnel(ctx, relay, address)
}

// CutOffChanged ends the idle connections, which lead through ways that are lost or no longer
// needed.
func (w ways) CutOffChanged(bool) { w.process.client.Close() }

// serveTunnel connects to a server for another entry that has lost the way to it.
func (w ways) serveTunnel(ctx context.Context, address string) (net.Conn, error) {
	switch {
	case !slices.Contains(w.Servers(), address):
		return nil, eris.Wrapf(mesh.ErrRefused, "%s: not a listed server", address)
	case w.process.paths.CutOff() || w.process.draining():
		return nil, eris.Wrap(mesh.ErrRefused, "cut off from the servers, or draining")
	}
	return w.process.paths.DialDirect(ctx, address)
}
