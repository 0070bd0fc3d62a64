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
	"greengagedock.example/operator"
	"greengagedock.example/peer"
	"greengagedock.example/registry"
	"greengagedock.example/settings"
	"greengagedock.example/timer"
)

// ErrStart is the error that every failed start of an entry wraps.
var ErrStart = eris.New("entry: not started")

// busyInterval is the time between two counts of open requests.
const busyInterval = 100 * time.Millisecond

// Process is one running entry instance.
type Process struct {
	settings settings.Settings
	log      hclog.Logger
	timers   timer.Service
	started  time.Time
	client   backend.Client
	control  *peer.Control
	server   *caller.Server
	admin    *operator.Server
	recorder recorder
	sockets  sockets
	drain    chan struct{}
	drained  sync.Once
	leaving  atomic.Bool
	stopped  sync.Once
	end      context.CancelFunc
	running  sync.WaitGroup
}

// Start opens the entry's addresses and runs it until Shutdown or Kill.
func Start(s settings.Settings, log hclog.Logger) (*Process, error) {
	open, err := listen(s)
	if err != nil {
		return nil, err
	}
	p := &Process{settings: s, log: log, sockets: open, drain: make(chan struct{})}
	p.started = p.timers.Now()
	p.recorder.self = s.ID()
	p.recorder.timers = &p.timers
	self := registry.NewEntry(s.ID(), s.Location(), registry.StateLive, p.CallerAddress(), p.PeerAddress())
	peers := recordingLogger{Logger: log.Named("peer"), record: p.recorder.peerLine}
	control, err := peer.Start(self, newIncarnation(), open.peers, s.Peers(), &p.client, peers, &p.timers)
	if err != nil {
		open.close()
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	p.control = control
	callers := recordingLogger{Logger: log.Named("caller"), record: p.recorder.callerLine}
	p.server = caller.NewServer(directories{control}, control, &p.client, limits(s), callers, &p.timers)
	p.admin = operator.NewServer(p, p, &p.recorder.decisions, log.Named("operator"))
	p.run()
	return p, nil
}

// newIncarnation returns a number that no earlier incarnation had: the time
// in its upper bits, so that it rises, and chance in the lower.
func newIncarnation() uint64 {
	var chance [4]byte
	if _, err := rand.Read(chance[:]); err != nil {
		panic(err)
	}
	return uint64(time.Now().Unix())<<32 | uint64(binary.BigEndian.Uint32(chance[:]))
}

// limits returns the limits on callers that the settings state.
func limits(s settings.Settings) caller.Limits {
	l := s.Limits()
	return caller.Limits{}.
		WithConnections(l.MaxConnections(), l.IdleTimeout()).
		WithHeader(int(l.MaxHeader()), l.HeaderTimeout()).
		WithBody(l.MaxBody(), l.BodyTimeout()).
		WithMaxBodyMemory(l.MaxBodyMemory()).
		WithMaxAnswer(l.MaxAnswer()).
		WithStallTimeouts(l.WriteStallTimeout(), l.EventStallTimeout()).
		WithMaxCallRecords(l.MaxCallRecords())
}

// run starts the parts that go on for the life of the process.
func (p *Process) run() {
	ctx, end := context.WithCancel(context.Background())
	p.end = end
	poll := &poller{control: p.control, client: &p.client, timers: &p.timers, reading: make(map[string]bool)}
	watch := &watcher{control: p.control, client: registry.NewClient(p.settings.PlatformAddresses()...), log: p.log.Named("platform")}
	p.running.Go(func() { poll.run(ctx) })
	p.running.Go(func() { watch.run(ctx) })
	p.running.Go(func() { p.count(ctx) })
	p.running.Go(func() { p.checkDeadlines(ctx) })
	p.running.Go(func() {
		if err := p.admin.Serve(p.sockets.operators); err != nil {
			p.log.Error("operators not served", "error", err)
		}
	})
	p.running.Go(func() {
		if err := p.server.Serve(p.sockets.callers); err != nil {
			p.log.Error("callers not served", "error", err)
		}
	})
	p.publish()
	p.log.Info("entry started", "id", p.settings.ID(), "callers", p.CallerAddress(), "peers", p.PeerAddress(),
		"admin", p.AdminAddress(), "incarnation", p.control.Snapshot().Self().Incarnation())
}

// count tells the control state how many requests are open.
func (p *Process) count(ctx context.Context) {
	tick := p.timers.Every(busyInterval)
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

// CallerAddress returns the IP and port on which callers are heard.
func (p *Process) CallerAddress() string { return p.sockets.callers.Addr().String() }

// PeerAddress returns the IP and port on which peers are heard.
func (p *Process) PeerAddress() string { return p.sockets.peers.Addr().String() }

// AdminAddress returns the IP and port on which operators are heard.
func (p *Process) AdminAddress() string { return p.sockets.operators.Addr().String() }

// DrainRequested returns a channel that is closed when an operator asks this entry to shut down.
func (p *Process) DrainRequested() <-chan struct{} { return p.drain }

// Drain asks this entry to shut down, as an operator does.
func (p *Process) Drain() {
	p.drained.Do(func() { close(p.drain) })
}

// draining reports whether this entry is shutting down.
func (p *Process) draining() bool { return p.leaving.Load() }

// Kill ends the entry at once, as a crash would.
func (p *Process) Kill() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	p.stop(ended)
}

// stop ends all parts, the connections of callers first; those still busy
// when ctx ends are cut.
func (p *Process) stop(ctx context.Context) {
	p.stopped.Do(func() {
		_ = p.server.Shutdown(ctx)
		_ = p.admin.Shutdown(ctx)
		p.end()
		p.sockets.close()
		p.control.Stop()
		p.timers.Stop()
		p.client.Close()
		p.unpublish()
		p.running.Wait()
	})
}

// sockets are the listeners of an entry.
type sockets struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// listen opens the addresses in the settings, all or none.
func listen(s settings.Settings) (sockets, error) {
	var open sockets
	for _, each := range []struct {
		to      *net.Listener
		field   string
		address string
	}{
		{&open.callers, "caller_address", s.CallerAddress()},
		{&open.peers, "peer_address", s.PeerAddress()},
		{&open.operators, "admin_address", s.AdminAddress()},
	} {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			open.close()
			return sockets{}, eris.Wrapf(ErrStart, "%s: %v", each.field, err)
		}
		*each.to = listener
	}
	return open, nil
}

// close closes the listeners that are open.
func (s sockets) close() {
	for _, listener := range []net.Listener{s.callers, s.peers, s.operators} {
		if listener != nil {
			listener.Close()
		}
	}
}
