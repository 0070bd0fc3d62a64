package ingress

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"greengagedock.example/dispatch"
	"greengagedock.example/upstream"
)

// pathNetwork is a network whose ways are lost as set.
type pathNetwork struct {
	upstream.Dialer
	lost   bool
	noPath bool

	mu      sync.Mutex
	doubted []string
}

// Dial implements upstream.Network.
func (n *pathNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.noPath {
		return nil, eris.Wrap(upstream.ErrNoPath, address)
	}
	return n.Dialer.Dial(ctx, address)
}

// Doubt implements upstream.Network.
func (n *pathNetwork) Doubt(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.doubted = append(n.doubted, address)
}

// Lost implements upstream.Network.
func (n *pathNetwork) Lost(string) bool { return n.lost }

// Guards against RECOVER: servers are blamed for what an entry that has lost the way to them
// sees of them.
func TestLostPathBlamesNoServer(t *testing.T) {
	for _, test := range []struct {
		network *pathNetwork
		path    string
		outcome dispatch.Outcome
		status  int
	}{
		{&pathNetwork{}, "/once/x", dispatch.OutcomeBroken, http.StatusBadGateway},
		{&pathNetwork{lost: true}, "/once/x", dispatch.OutcomePathLost, http.StatusBadGateway},
		{&pathNetwork{lost: true}, "/stream/fixed/x", dispatch.OutcomePathLost, http.StatusBadGateway},
		{&pathNetwork{lost: true, noPath: true}, "/once/x", dispatch.OutcomeWithdrawn, http.StatusServiceUnavailable},
	} {
		backend := newBackend(qt.New(t), "")
		b := newTestbed(t, backend)
		network := test.network
		b.server.client.SetNetwork(network)
		response, _, _ := b.do(b.request(http.MethodPost, test.path, ""))
		comment := qt.Commentf("%s, lost %v, no path %v", test.path, network.lost, network.noPath)
		b.c.Check(response.StatusCode, qt.Equals, test.status, comment)
		b.c.Check(b.scheduler.ended()[0], qt.Equals, test.outcome, comment)
	}
}

// A call that gets no byte of its answer for a while has the way to its server checked, also
// if it may not be repeated; one that is answered soon has not.
func TestSilenceHasTheWayChecked(t *testing.T) {
	c := qt.New(t)
	silent, quick := newBackend(c, hang), newBackend(c, fullResponse(http.StatusOK, "x"))
	b := newTestbedOn(c, silent, quick)
	network := &pathNetwork{}
	b.server.client.SetNetwork(network)
	r := b.request(http.MethodPost, "/once/x", "")
	r.Header.Set("Left", "900ms")
	response, _, _ := b.do(r)
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	response, _, _ = b.do(b.request(http.MethodPost, "/once/x", ""))
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	time.Sleep(doubtTimeout + 100*time.Millisecond)
	network.mu.Lock()
	defer network.mu.Unlock()
	c.Assert(slices.Contains(network.doubted, silent.address), qt.IsTrue)
	c.Assert(slices.Contains(network.doubted, quick.address), qt.IsFalse)
}
