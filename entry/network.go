package entry

import (
	"context"
	"net"

	"greengagedock.example/backend"
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
