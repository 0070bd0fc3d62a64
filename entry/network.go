package entry

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/backend"
	"greengagedock.example/mesh"
)

// pathSilence is how long a request may be without a byte, and its server send nothing on any
// direct connection, until the way to it is checked.
const pathSilence = 500 * time.Millisecond

// serverNetwork is the direct way to backend servers.
type serverNetwork struct{}

// Dial implements upstream.Network.
func (serverNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return backend.Dial(ctx, address)
}

// Doubt implements upstream.Network.
func (serverNetwork) Doubt(string) {}

// Lost implements upstream.Network.
func (serverNetwork) Lost(string) bool { return false }

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

// Changed ends the idle connections, which lead through ways that are lost or no longer
// needed.
func (w ways) Changed(bool) { w.process.client.Close() }

// serveTunnel connects to a server for another entry that has lost the way to it.
func (w ways) serveTunnel(ctx context.Context, address string) (net.Conn, error) {
	switch {
	case !slices.Contains(w.Servers(), address):
		return nil, eris.Wrapf(mesh.ErrRefused, "%s: not a listed server", address)
	case w.process.paths.Lost(address) || w.process.draining():
		return nil, eris.Wrap(mesh.ErrRefused, "way to the server lost, or draining")
	}
	return w.process.paths.DialDirect(ctx, address)
}
