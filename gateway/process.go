package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"greengagedock.example/ingress"
	"greengagedock.example/mesh"
	"greengagedock.example/timer"
	"greengagedock.example/upstream"
)

// ErrStart is the error that every failed start wraps.
var ErrStart = eris.New("gateway: not started")

const (
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = time.Second
	// bodyMemoryPart is the part of the process's memory that bodies may take.
	bodyMemoryPart = 4
	// stopListening is how long a stopping entry goes on taking requests:
	// callers keep an answer of the directory for about that time.
	stopListening = 2500 * time.Millisecond
	// stopMargin is left of the grace for the process's end.
	stopMargin = 400 * time.Millisecond
)

// Platform is what an entry needs of the platform on which it runs.
type Platform struct {
	Source     Source
	Decode     Decoder
	KVReserver ingress.KVReserver
	Headers    interface {
		ingress.HeaderDecoder
		upstream.HeaderCodec
	}
	// Directory returns the handler that answers where to connect and whether the entry is ready.
	Directory func(d Directory) http.Handler
}

// Directory tells where callers are to connect.
type Directory interface {
	// Addresses returns IPs and ports for a caller in the failure domain, and
	// how long it may keep them.
	Addresses(domain string) ([]string, time.Duration)
	// Ready reports whether this entry takes requests.
	Ready() bool
}

// Process is one running entry.
type Process struct {
	settings Settings
	log      hclog.Logger
	timers   timer.Service
	control  *control
	client   *upstream.Client
	peers    mesh.Client
	callers  *ingress.Server
	server   *mesh.Server
	metrics  metrics
	output   *AsyncLogWriter
	sockets  []net.Listener
	stop     chan struct{}
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// newIncarnation returns a number above those of earlier incarnations, as far
// as the time of day goes forward.
func newIncarnation() uint64 {
	var chance [2]byte
	if _, err := rand.Read(chance[:]); err != nil {
		panic(err)
	}
	return uint64(time.Now().UnixMilli())<<16 | uint64(binary.BigEndian.Uint16(chance[:]))
}

// Start opens the entry's addresses and runs it until Shutdown.
func Start(settings Settings, outside Platform, output *AsyncLogWriter, log hclog.Logger) (*Process, error) {
	p := &Process{settings: settings, log: log, output: output, stop: make(chan struct{})}
	incarnation := newIncarnation()
	p.control = newControl(settings, incarnation, outside.Decode, log, &p.timers)
	p.client = upstream.NewClient(outside.Headers, &p.timers)
	retries := ingress.NewRetryBudget(settings.RetryRatio(), settings.RetrySlack(), settings.RetryWindow())
	limits := ingress.NewLimits(retries, settings.MemoryBytes()/bodyMemoryPart, settings.PrefillStallTimeout(), settings.ReleaseTimeout())
	slots := &slots{control: p.control, client: &p.peers}
	p.callers = ingress.NewServer(p.control, slots, outside.KVReserver, p.client, outside.Headers, limits, &p.metrics, log, &p.timers)
	p.server = mesh.NewServer(p.control.handle)
	if err := p.listen(outside); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.control.run(p.stop) })
	p.running.Go(func() { p.control.watch(ctx, outside.Source) })
	p.running.Go(func() { p.control.beats(ctx, &p.peers) })
	for range fetchers {
		p.running.Go(func() { p.control.catchUp(ctx, &p.peers) })
	}
	p.running.Go(func() { p.sweep(ctx) })
	log.Info("started", "entry", settings.ID(), "domain", settings.Domain(), "region", settings.Region(), "incarnation", incarnation, "callers", settings.CallerAddress(), "peers", settings.PeerAddress())
	return p, nil
}

// listen opens the addresses and serves them.
func (p *Process) listen(outside Platform) error {
	directory := outside.Directory(p.control)
	for _, each := range []struct {
		field   string
		address string
		serve   func(net.Listener) error
	}{
		{"callers", p.settings.CallerAddress(), p.callers.Serve},
		{"peers", p.settings.PeerAddress(), p.server.Serve},
		{"directory", p.settings.DirectoryAddress(), plainServer(directory).Serve},
		{"readiness", p.settings.ReadinessAddress(), plainServer(directory).Serve},
		{"metrics", p.settings.MetricsAddress(), plainServer(p.metrics.handler(p.counts)).Serve},
	} {
		if each.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return eris.Wrapf(ErrStart, "%s: %v", each.field, err)
		}
		p.sockets = append(p.sockets, listener)
		go func() {
			if err := each.serve(listener); err != nil {
				p.log.Debug("listener ended", "address", each.address, "error", err)
			}
		}()
	}
	return nil
}

// plainServer returns a server of short answers.
func plainServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second}
}

// counts returns the values that the metrics state besides the requests'.
func (p *Process) counts() map[string]any {
	values := map[string]any{
		"open": p.callers.OpenRequests(), "log_lines_dropped": p.output.Dropped(),
		"connections_opened": p.client.ConnectionsOpened(), "connections_reused": p.client.ConnectionsReused(),
	}
	p.control.do(func(now time.Time) {
		values["waiting"] = p.control.book.Waiting()
		values["processor"] = p.control.members.self.Processor
		values["entries"] = len(p.control.members.audible(now, addressSilence)) + 1
		values["revision"] = p.control.mirror.revision
		if table := p.control.mirror.table; table != nil {
			values["version"] = table.Version()
		}
	})
	return values
}

// sweep closes idle connections that are of no use until ctx ends.
func (p *Process) sweep(ctx context.Context) {
	tick := p.timers.Every(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			view := p.control.View()
			p.client.Sweep(func(server string) bool { return view.Usable(server) })
		case <-ctx.Done():
			return
		}
	}
}

// Reload takes changed settings: the seeds, the size of the processor, and what is looked up anew.
func (p *Process) Reload(settings Settings) {
	p.control.do(func(time.Time) {
		p.control.members.seeds = settings.Seeds()
		p.control.members.self.Processor = settings.CPUCores()
		p.control.settings = settings
	})
	p.log.Info("settings reloaded", "seeds", len(settings.Seeds()), "processor", settings.CPUCores())
}

// Shutdown stops being an address, serves on while callers learn of it, ends
// what is open, and stops within the settings' grace.
func (p *Process) Shutdown() {
	began := p.timers.Now()
	end, cancel := context.WithDeadline(context.Background(), began.Add(p.settings.ShutdownGrace()-stopMargin))
	defer cancel()
	p.log.Info("stopping", "open", p.callers.OpenRequests())
	p.control.leave()
	p.callers.DisableKeepAlives()
	sleep(end, min(stopListening, p.settings.ShutdownGrace()/3))
	err := p.callers.Shutdown(end)
	p.cancel()
	close(p.stop)
	for _, socket := range p.sockets {
		socket.Close()
	}
	p.server.Close()
	p.log.Info("stopped", "took", p.timers.Now().Sub(began), "error", err)
}
