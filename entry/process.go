package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"greengagedock.example/backend"
	"greengagedock.example/caller"
	"greengagedock.example/mesh"
	"greengagedock.example/operator"
	"greengagedock.example/peer"
	"greengagedock.example/registry"
	"greengagedock.example/settings"
	"greengagedock.example/timer"
	"greengagedock.example/upstream"
)

// ErrStart is the error that every failed start of an entry wraps.
var ErrStart = eris.New("entry: not started")

// openRequestsInterval is the time between two reports of the number of open requests.
const openRequestsInterval = 100 * time.Millisecond

// Process is one running entry instance.
type Process struct {
	settings       settings.Settings
	log            hclog.Logger
	timers         timer.Service
	startedAt      time.Time
	client         backend.Client
	paths          *mesh.Paths
	control        *peer.Control
	controlStarted chan struct{} // closed once control is set
	server         *caller.Server
	admin          *operator.Server
	recorder       recorder
	listeners      listeners
	drainRequested chan struct{}
	drainOnce      sync.Once
	shuttingDown   atomic.Bool
	stopOnce       sync.Once
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
}

// Start opens the listeners of an entry and runs it until Shutdown or Kill; errors wrap ErrStart.
func Start(s settings.Settings, log hclog.Logger) (*Process, error) {
	return start(s, log, serverNetwork{})
}

// start is Start with the network to the servers.
func start(s settings.Settings, log hclog.Logger, network upstream.Network) (*Process, error) {
	open, err := listen(s)
	if err != nil {
		return nil, err
	}
	p := &Process{settings: s, log: log, listeners: open, drainRequested: make(chan struct{}), controlStarted: make(chan struct{})}
	p.startedAt = p.timers.Now()
	ways := ways{p}
	p.paths = mesh.NewPaths(network, ways, &p.timers, log.Named("mesh"))
	p.paths.SetProbe(backend.LoadPath)
	p.client.SetDial(p.dialServer)
	p.recorder.entryID = s.ID()
	p.recorder.timers = &p.timers
	self := registry.NewEntry(s.ID(), s.Location(), registry.StateLive, p.CallerAddress(), p.PeerAddress())
	peers := recordingLogger{Logger: log.Named("peer"), record: p.recorder.recordPeerLine}
	control, err := peer.Start(self, newIncarnation(), open.peers, s.Limits().MaxPeerConnections(), s.Peers(), &p.client, peers, &p.timers)
	if err != nil {
		open.close()
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	p.control = control
	close(p.controlStarted)
	control.ServeTunnels(ways.serveTunnel)
	callers := recordingLogger{Logger: log.Named("caller"), record: p.recorder.recordCallerLine}
	p.server = caller.NewServer(snapshotSource{control}, control, &p.client, limits(s), callers, &p.timers)
	p.admin = operator.NewServer(p, p, &p.recorder.decisions, log.Named("operator"))
	p.run()
	return p, nil
}

// newIncarnation returns a number that no earlier incarnation of the entry
// had: Unix seconds in the upper 32 bits, so that it increases, and random
// lower bits.
func newIncarnation() uint64 {
	var random [4]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic(err)
	}
	return uint64(time.Now().Unix())<<32 | uint64(binary.BigEndian.Uint32(random[:]))
}

// limits returns the limits of the caller server that the settings define.
func limits(s settings.Settings) caller.Limits {
	l := s.Limits()
	return caller.Limits{}.
		WithConnections(l.MaxConnections(), l.IdleTimeout()).
		WithHeader(int(l.MaxHeader()), l.HeaderTimeout()).
		WithBody(l.MaxBody(), l.BodyTimeout()).
		WithMaxBodyMemory(l.MaxBodyMemory()).
		WithMaxHeaderMemory(l.MaxHeaderMemory()).
		WithMaxAnswer(l.MaxAnswer()).
		WithStallTimeouts(l.WriteStallTimeout(), l.EventStallTimeout()).
		WithMaxCallRecords(l.MaxCallRecords())
}

// run starts the goroutines that run for the life of the process.
func (p *Process) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	poll := &poller{control: p.control, client: &p.client, doubt: p.paths.Doubt, timers: &p.timers, inFlight: make(map[string]bool)}
	watch := &watcher{control: p.control, client: registry.NewClient(p.settings.PlatformAddresses()...), log: p.log.Named("platform")}
	p.goroutines.Go(func() { poll.run(ctx) })
	p.goroutines.Go(func() { p.paths.Probe(ctx) })
	p.goroutines.Go(func() { p.paths.Watch(ctx, pathSilence) })
	p.goroutines.Go(func() { watch.run(ctx) })
	p.goroutines.Go(func() { p.reportOpenRequests(ctx) })
	p.goroutines.Go(func() { p.checkDeadlines(ctx) })
	p.goroutines.Go(func() {
		if err := p.admin.Serve(p.listeners.operators); err != nil {
			p.log.Error("admin server failed", "error", err)
		}
	})
	p.goroutines.Go(func() {
		if err := p.server.Serve(p.listeners.callers); err != nil {
			p.log.Error("caller server failed", "error", err)
		}
	})
	p.publish()
	p.log.Info("entry started", "id", p.settings.ID(), "callers", p.CallerAddress(), "peers", p.PeerAddress(),
		"admin", p.AdminAddress(), "incarnation", p.control.Snapshot().Self().Incarnation())
}

// reportOpenRequests periodically reports the number of open requests to the control goroutine.
func (p *Process) reportOpenRequests(ctx context.Context) {
	tick := p.timers.Every(openRequestsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			p.control.Deliver(peer.NewOpenRequests(p.server.OpenRequests()))
		case <-ctx.Done():
			return
		}
	}
}

// CallerAddress returns the IP and port on which the entry listens for callers.
func (p *Process) CallerAddress() string { return p.listeners.callers.Addr().String() }

// PeerAddress returns the IP and port on which the entry listens for peers.
func (p *Process) PeerAddress() string { return p.listeners.peers.Addr().String() }

// AdminAddress returns the IP and port on which the entry listens for operators.
func (p *Process) AdminAddress() string { return p.listeners.operators.Addr().String() }

// DrainRequested returns a channel that is closed when an operator asks this entry to drain.
func (p *Process) DrainRequested() <-chan struct{} { return p.drainRequested }

// Drain asks the owner of the process to shut the entry down gracefully, by
// closing the DrainRequested channel.
func (p *Process) Drain() {
	p.drainOnce.Do(func() { close(p.drainRequested) })
}

// draining reports whether Shutdown has been called.
func (p *Process) draining() bool { return p.shuttingDown.Load() }

// Kill stops the entry immediately, as a crash would.
func (p *Process) Kill() {
	done, cancel := context.WithCancel(context.Background())
	cancel()
	p.stop(done)
}

// stop stops all parts of the entry, the caller server first; connections
// that are still busy when ctx is done are closed.
func (p *Process) stop(ctx context.Context) {
	p.stopOnce.Do(func() {
		_ = p.server.Shutdown(ctx)
		_ = p.admin.Shutdown(ctx)
		p.cancel()
		p.listeners.close()
		p.control.Stop()
		p.timers.Stop()
		p.client.Close()
		p.unpublish()
		p.goroutines.Wait()
	})
}

// listeners holds the listeners of an entry.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// listen listens on all addresses in the settings, or on none if one fails.
func listen(s settings.Settings) (listeners, error) {
	var open listeners
	for _, target := range []struct {
		listener *net.Listener
		field    string
		address  string
	}{
		{&open.callers, "caller_address", s.CallerAddress()},
		{&open.peers, "peer_address", s.PeerAddress()},
		{&open.operators, "admin_address", s.AdminAddress()},
	} {
		listener, err := net.Listen("tcp", target.address)
		if err != nil {
			open.close()
			return listeners{}, eris.Wrapf(ErrStart, "%s: %v", target.field, err)
		}
		*target.listener = listener
	}
	return open, nil
}

// close closes the listeners that were opened.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			listener.Close()
		}
	}
}
