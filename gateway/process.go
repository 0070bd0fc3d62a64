package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"greengagedock.example/http1"
	"greengagedock.example/ingress"
	"greengagedock.example/mesh"
	"greengagedock.example/timer"
	"greengagedock.example/upstream"
)

// ErrStart is wrapped by the error for every failed start.
var ErrStart = eris.New("gateway: not started")

const (
	// sweepInterval is how often idle upstream connections are swept.
	sweepInterval = time.Second
	// tunnelPollInterval is how often a stopping entry looks whether tunnels are open.
	tunnelPollInterval = 50 * time.Millisecond
	// bodyMemoryDivisor is the memory of the process divided by the part that
	// request bodies may take.
	bodyMemoryDivisor = 4
	// responseHeadMemoryDivisor is the memory divided by the part for long heads of responses.
	responseHeadMemoryDivisor = 16
	// answerMemoryDivisor is the memory divided by the part for responses of servers that are
	// read whole before they are forwarded.
	answerMemoryDivisor = 8
	// lameDuckPeriod is how long a stopping entry keeps accepting requests: about
	// as long as callers cache a directory response.
	lameDuckPeriod = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period left for the process to exit.
	shutdownMargin = 400 * time.Millisecond
	// finalAnswerMargin is the part before that in which requests that are still open get
	// their final answers.
	finalAnswerMargin = 200 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of what a stopping entry refuses while there are
	// others, and restartTime how long after its end it is back if there are none.
	stoppingRetryAfter = 50 * time.Millisecond
	restartTime        = time.Second
	// httpTimeout bounds the reading of a request's head, and the writing of its response, by the
	// directory, the readiness check and the metrics; httpIdleTimeout bounds an idle connection.
	httpTimeout     = 5 * time.Second
	httpIdleTimeout = 20 * time.Second
	// maxHeaderBytes bounds a request's head there, as at the callers' listener.
	maxHeaderBytes = 64 << 10
)

// Platform holds the adapters to the platform on which an entry runs.
type Platform struct {
	Source Source
	Decode Decoder
	// KVReserver returns the client of model engines, which reaches them through a network;
	// nil if there are none.
	KVReserver func(upstream.Network) ingress.KVReserver
	// Network opens connections to backend servers; nil for TCP.
	Network upstream.Network
	Headers interface {
		ingress.HeaderDecoder
		upstream.HeaderCodec
	}
	// HealthPath is the path of a GET request that costs backend servers next to nothing. It is
	// sent while there is doubt about the way to one; empty if there is none.
	HealthPath string
	// Directory returns the HTTP handler for directory requests and readiness checks.
	Directory func(d Directory) http.Handler
}

// Directory returns the addresses for callers to connect to.
type Directory interface {
	// Addresses returns IP:PORT addresses for a caller in the failure domain, and
	// how long it may cache them.
	Addresses(domain string) ([]string, time.Duration)
	// Ready reports whether this entry accepts requests.
	Ready() bool
}

// Process is a running entry.
type Process struct {
	settings     Settings
	log          hclog.Logger
	timers       timer.Service
	control      *control
	paths        *mesh.Paths
	client       *upstream.Client
	peerClient   *mesh.Client
	clients      *http1.Clients
	callerServer *ingress.Server
	peerServer   *mesh.Server
	metrics      metrics
	logs         *AsyncLogWriter
	listeners    []net.Listener
	stop         chan struct{}
	cancel       context.CancelFunc
	running      sync.WaitGroup
}

// newIncarnation returns a number above those of earlier incarnations, provided
// that the wall clock does not go back.
func newIncarnation() uint64 {
	var random [2]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic(err)
	}
	return uint64(time.Now().UnixMilli())<<16 | uint64(binary.BigEndian.Uint16(random[:]))
}

// Start opens the entry's listeners and runs the entry until Shutdown. Errors wrap
// ErrStart.
func Start(settings Settings, platform Platform, logs *AsyncLogWriter, log hclog.Logger) (*Process, error) {
	p := &Process{settings: settings, log: log, logs: logs, stop: make(chan struct{})}
	incarnation := newIncarnation()
	p.control = newControl(settings, incarnation, platform.Decode, log, &p.timers)
	dialer := settings.timeouts.ServerDialer()
	var network upstream.Network = dialer
	if platform.Network != nil {
		network = platform.Network
	}
	ways := ways{process: p, dialer: dialer}
	p.paths = mesh.NewPaths(network, ways, &p.timers, log)
	p.paths.SetProbe(platform.HealthPath)
	p.client = upstream.NewClient(platform.Headers, &p.timers, dialer)
	p.client.SetNetwork(p.paths)
	p.client.LimitHeads(settings.MemoryBytes() / responseHeadMemoryDivisor)
	p.peerClient = mesh.NewClient(settings.timeouts.Dialer()).WithKinds(callKinds)
	var reserver ingress.KVReserver
	if platform.KVReserver != nil {
		reserver = platform.KVReserver(p.paths)
	}
	p.control.markReachable = p.peerClient.MarkReachable
	p.control.askRunning = func(entry, address, service string) {
		go p.control.askEntry(entry, address, service)
	}
	p.control.caller = p.peerClient
	p.control.tell = func(h handover) { go p.control.sendHandover(context.Background(), h) }
	retries := ingress.NewRetryBudget(settings.RetryRatio(), settings.RetrySlack(), settings.RetryWindow())
	p.clients = http1.NewClients(clientLimits(settings), log)
	limits := ingress.NewLimits(retries, settings.MemoryBytes()/bodyMemoryDivisor, settings.timeouts.prefillWorker(), settings.timeouts.reservationHold()).
		WithAnswerMemory(settings.MemoryBytes() / answerMemoryDivisor).
		WithClients(p.clients)
	scheduler := &schedulerClient{control: p.control, client: p.peerClient}
	p.callerServer = ingress.NewServer(p.control, scheduler, reserver, p.client, platform.Headers, limits, &p.metrics, log, &p.timers)
	p.peerServer = mesh.NewServer(p.control.handle).WithKinds(callKinds).WithLog(log).WithLimits(peerLimits(settings))
	p.peerServer.ServeTunnels(ways.serveTunnel)
	p.control.tunnels = p.peerServer.Tunnels
	if err := p.listen(platform); err != nil {
		for _, listener := range p.listeners {
			listener.Close()
		}
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.control.run(p.stop) })
	p.running.Go(func() { p.control.watch(ctx, platform.Source) })
	p.running.Go(func() { p.control.sendHeartbeats(ctx, p.peerClient) })
	for range fetchWorkers {
		p.running.Go(func() { p.control.catchUp(ctx, p.peerClient) })
	}
	p.running.Go(func() { p.sweep(ctx) })
	p.running.Go(func() { p.paths.Probe(ctx) })
	log.Info("started", "entry", settings.ID(), "domain", settings.Domain(), "region", settings.Region(), "incarnation", incarnation, "callers", settings.CallerAddress(), "peers", settings.PeerAddress())
	return p, nil
}

// listen opens the listeners and starts to serve them.
func (p *Process) listen(platform Platform) error {
	directory := platform.Directory(p.control)
	for _, endpoint := range []struct {
		name    string
		address string
		serve   func(net.Listener) error
	}{
		{"callers", p.settings.CallerAddress(), p.callerServer.Serve},
		{"peers", p.settings.PeerAddress(), p.peerServer.Serve},
		{"directory", p.settings.DirectoryAddress(), p.serveHTTP(directory)},
		{"readiness", p.settings.ReadinessAddress(), p.serveHTTP(directory)},
		{"metrics", p.settings.MetricsAddress(), p.serveHTTP(p.metrics.handler(p.gauges))},
	} {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return eris.Wrapf(ErrStart, "%s: %v", endpoint.name, err)
		}
		p.listeners = append(p.listeners, listener)
		go func() {
			if err := endpoint.serve(listener); err != nil {
				p.log.Debug("listener closed", "address", endpoint.address, "error", err)
			}
		}()
	}
	return nil
}

// serveHTTP returns a function that serves a handler, within the limits of clients.
func (p *Process) serveHTTP(handler http.Handler) func(net.Listener) error {
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpIdleTimeout,
	}
	p.clients.Attach(server)
	return func(listener net.Listener) error {
		return server.Serve(p.clients.Listen(listener, p.callerServer.HeadLimit))
	}
}

// gauges returns the metrics of the entry's current state.
func (p *Process) gauges() map[string]any {
	values := map[string]any{
		"open": p.callerServer.OpenRequests(), "log_lines_dropped": p.logs.Dropped(), "clients": p.clientGauges(),
		"tunnels_served":     p.peerServer.Tunnels(),
		"panics_contained":   p.control.panics.Load(),
		"older_entries":      p.peerClient.Older(),
		"paths_lost":         len(p.paths.LostSince()),
		"connections_opened": p.client.ConnectionsOpened(), "connections_reused": p.client.ConnectionsReused(),
		"control_bytes_sent":     sum(p.peerClient.Traffic().Sent(), p.peerServer.Traffic().Sent()),
		"control_bytes_received": sum(p.peerClient.Traffic().Received(), p.peerServer.Traffic().Received()),
	}
	p.control.do(func(now time.Time) {
		values["waiting"] = p.control.scheduler.Waiting()
		values["accounts"] = accountGauges(p.control.scheduler.AccountUsages(now))
		values["unseen_load"], values["seen_share"] = p.control.observedLoad(now)
		values["speed_factors"] = p.control.speedFactors(now)
		admission := p.control.scheduler.Admission(now)
		values["forecast_wait_seconds"], values["promised_returns"] = admission.Wait().Seconds(), admission.Promised()
		values["fleet_share"] = p.control.fleetShare
		values["room_slots"] = admission.Room()
		values["processor"] = p.control.members.self.CPUCores
		values["entries"] = len(p.control.members.live(now, p.settings.timeouts.listed())) + 1
		values["revision"] = p.control.cache.revision.Number()
		values["store_era"] = p.control.cache.revision.Era()
		values["store_restores"] = p.control.cache.restores
		values["store_outages"] = p.control.outages
		values["behind_seconds"], values["store_reads_behind"] = p.control.lag.behindFor(now).Seconds(), p.control.lag.reads
		values["store_items"], values["store_items_left_out"] = len(p.control.cache.items), p.control.cache.leftOut
		values["store_used_bytes"], values["store_unused_bytes"] = p.control.cache.content.usedBytes, p.control.cache.content.unusedBytes
		values["store_kept"] = p.control.cache.keptCounts()
		values["quarantined"] = p.control.quarantined()
		values["refused_repeats"] = len(p.control.repeats().Refused())
		values["handovers"] = p.control.handovers.values()
		values["servers_leaving"], values["servers_refusing"] = p.control.notices.Count(now)
		values["servers_limited"] = p.control.notices.CountLimited()
		if table := p.control.cache.table; table != nil {
			values["version"] = table.Version()
		}
	})
	return values
}

// sum adds counts by key.
func sum(counts ...map[string]int64) map[string]int64 {
	out := make(map[string]int64)
	for _, values := range counts {
		for key, value := range values {
			out[key] += value
		}
	}
	return out
}

// sweep periodically closes idle upstream connections that are too old or whose
// server is not usable, until ctx ends.
func (p *Process) sweep(ctx context.Context) {
	tick := p.timers.Every(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			p.sweepOnce()
		case <-ctx.Done():
			return
		}
	}
}

// awaitTunnels waits until the entries that send requests through this one have ended their
// tunnels, or ctx ends. They open no more since this entry leaves, and close idle ones.
func (p *Process) awaitTunnels(ctx context.Context) {
	tick := p.timers.Every(tunnelPollInterval)
	defer tick.Stop()
	for p.peerServer.Tunnels() > 0 {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// sweepOnce closes the idle upstream connections that are of no more use.
func (p *Process) sweepOnce() {
	view, ofUse := p.control.View(), p.paths.IdleOfUse()
	p.client.Sweep(func(server, address, relay string) bool { return view.Usable(server) && ofUse(address, relay) })
}

// Reload applies changed settings that take effect without a restart: the seeds,
// the CPU cores and the address TTL.
func (p *Process) Reload(settings Settings) {
	p.control.do(func(time.Time) {
		p.control.members.seeds = settings.Seeds()
		p.control.members.self.CPUCores = settings.CPUCores()
		p.control.settings = settings
	})
	p.log.Info("settings reloaded", "seeds", len(settings.Seeds()), "processor", settings.CPUCores())
}

// returnAfter returns after which time a caller may retry that this entry refuses because it
// stops: soon if there are other entries, else after the stop.
func (p *Process) returnAfter(stop time.Time) time.Duration {
	if addresses, _ := p.control.Addresses(""); slices.ContainsFunc(addresses, func(a string) bool { return a != p.settings.CallerAddress() }) {
		return stoppingRetryAfter
	}
	return stop.Sub(p.timers.Now()) + shutdownMargin + restartTime
}

// Shutdown tells the next schedulers what this entry has learned, leaves the directory,
// keeps serving for a lame-duck period while callers move to other entries, waits for open
// requests, and stops the entry within the grace period of the settings.
func (p *Process) Shutdown() {
	started := p.timers.Now()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(p.settings.ShutdownGrace()-shutdownMargin))
	defer cancel()
	p.log.Info("stopping", "open", p.callerServer.OpenRequests())
	lameDuck := min(lameDuckPeriod, p.settings.ShutdownGrace()/3)
	cutAt := started.Add(p.settings.ShutdownGrace() - shutdownMargin - finalAnswerMargin)
	p.callerServer.BeginStop(ingress.NewGrace(started.Add(lameDuck), cutAt, func() time.Duration { return p.returnAfter(cutAt) }))
	p.control.handOver(ctx)
	p.control.leave()
	sleep(ctx, lameDuck)
	p.control.handOver(ctx)
	err := p.callerServer.Shutdown(ctx)
	p.awaitTunnels(ctx)
	p.cancel()
	close(p.stop)
	for _, listener := range p.listeners {
		listener.Close()
	}
	p.peerServer.Close()
	p.log.Info("stopped", "took", p.timers.Now().Sub(started), "error", err)
}
