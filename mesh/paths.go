package mesh

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"greengagedock.example/timer"
	"greengagedock.example/upstream"
)

// An entry may lose the way to some servers, or to all of them, while its callers and the
// other entries still reach it. It then sends requests on through other entries: it opens
// tunnels, so that each request and its response stay between this entry and the server, and
// what the response states, its end and what may have run are as exact as on a direct way.
//
// A way is lost only if another entry reaches the server: a server that no entry reaches is
// down. So a dial that failed, or a connection that ended or was silent, is followed by a
// small request of its own on the direct way and through other entries. Only bytes of a
// response show that a way works: whatever is on the way may accept connections for a server
// that it does not reach.

const (
	// checkTimeout bounds a check of the way to a server.
	checkTimeout = 1200 * time.Millisecond
	// checkInterval is the least time between two checks of the way to one server.
	checkInterval = time.Second
	// maxChecks bounds the checks at the same time, but for those of a survey.
	maxChecks = 8
	// rechecks is how often a server that no entry was found to reach is checked again. Other
	// entries may have lost the way as well and not know it, and a server that is suspended
	// gets no requests that would show it.
	rechecks = 3
	// relayDelay is how long the direct way, or one through another entry, may leave a check's
	// request unanswered until it is sent again beside it, also on the next way: several times
	// what a sound server takes.
	relayDelay = 100 * time.Millisecond
	// directPatience is how long the direct way may leave both unanswered once another entry has
	// got an answer: enough for one retransmission of a lost packet.
	directPatience = 350 * time.Millisecond
	// freshAnswer is how recently a server must have sent something on the direct way for its
	// silence on a single connection to raise no doubt about the way.
	freshAnswer = 250 * time.Millisecond
	// surveySize is the number of other ways that are checked at once if one is lost, since open
	// connections that hang don't show it soon; if one of them is lost too, as many others follow.
	surveySize = 12
	// minLostForCutOff is the number of ways that must be lost, with none that is known to work
	// after a survey, for all ways to count as lost, if there are as many servers.
	minLostForCutOff = 2
	// probeInterval is the time between rounds of probes that show whether lost ways are back,
	// and thus between two probes of one, and probesPerRound the number of probes in a round.
	probeInterval  = 500 * time.Millisecond
	probesPerRound = 8
	// minHold is for how long a lost way must answer each probe until it is used again: longer
	// than a way that comes and goes each second does. The time doubles with each loss, up to
	// maxHoldDoublings times, until the way has been whole for forgetLosses.
	minHold          = 1500 * time.Millisecond
	maxHoldDoublings = 4
	forgetLosses     = time.Minute
	// maxRelays is the number of entries that are asked for one connection: most may have lost
	// the way to the server too. checkRelays is the number that a check asks at once after the
	// first one.
	maxRelays   = 8
	checkRelays = 3
	// refusedTime is how long an entry that opened no tunnel, or one that passed nothing on,
	// is asked after the others, and one that led to a server before them: one that has lost
	// its own way to a server may not know it yet.
	refusedTime = 2 * time.Second
)

// Ways is what Paths need to know of the servers and the other entries.
type Ways interface {
	// Servers returns the IP:PORT addresses of the servers.
	Servers() []string
	// Relays returns the addresses of the entries that may lead to servers, in random order.
	Relays() []string
	// Open opens a tunnel to a server through the entry at the address relay, as OpenTunnel does.
	Open(ctx context.Context, relay, address string) (net.Conn, error)
	// Changed is called when the results of Paths.Lost change, with that of Paths.CutOff.
	Changed(cutOff bool)
}

// Paths is an upstream.Network that reaches servers through other entries where the direct
// way is lost; NewPaths returns one.
type Paths struct {
	direct upstream.Network
	ways   Ways
	timers *timer.Service
	log    hclog.Logger
	// probePath is the path of the request of a probe, empty if a handshake must do.
	probePath string
	start     time.Time

	mu        sync.Mutex
	paths     map[string]*path // by the server's address
	cutOff    bool
	surveying bool
	// surveySince is when the ways were lost that led to the survey, as the time since start.
	surveySince int64
	surveyedAt  time.Time
	checks      int
	// refusedAt holds when an entry last opened no tunnel, or none that works, by its address.
	refusedAt map[string]time.Time
	// ledAt holds when a server last responded to a check through an entry, by its address.
	ledAt map[string]time.Time
}

// path is the direct way to a server. Only answeredAt may be used without Paths.mu.
type path struct {
	// answeredAt is when the server last sent something on it, as the time since Paths.start.
	answeredAt atomic.Int64
	lost       bool
	// inferred is set if the way counts as lost only because all ways do.
	inferred bool
	lostAt   time.Time
	losses   int
	// returnedAt is when the way was last found to be whole again.
	returnedAt time.Time
	// goodSince is when it answered the first probe after the last one that it did not.
	goodSince time.Time
	checkedAt time.Time
	probedAt  time.Time
	probing   bool
	conns     map[*directConn]bool
}

// NewPaths returns paths whose direct ways lead through a network.
func NewPaths(direct upstream.Network, ways Ways, timers *timer.Service, log hclog.Logger) *Paths {
	return &Paths{
		direct: direct, ways: ways, timers: timers, log: log, start: timers.Now(),
		paths: make(map[string]*path), refusedAt: make(map[string]time.Time), ledAt: make(map[string]time.Time),
	}
}

// SetProbe has ways checked by a GET request for a path, which must cost servers next to
// nothing. Without it, a handshake counts as an answer. It is to be called before the first
// Dial.
func (p *Paths) SetProbe(path string) { p.probePath = path }

// relayedConn is a connection through another entry.
type relayedConn struct {
	tunnel
	relay string
}

// tunnel is what Ways.Open returns.
type tunnel interface {
	net.Conn
	syscall.Conn
}

// Relay implements upstream.Relayed.
func (c relayedConn) Relay() string { return c.relay }

// HasUnread implements upstream.Relayed.
func (c relayedConn) HasUnread() bool {
	framed, ok := c.tunnel.(*framedConn)
	return ok && framed.HasUnread()
}

// pathOf returns the direct way to a server; p.mu must be held.
func (p *Paths) pathOf(address string) *path {
	known := p.paths[address]
	if known == nil {
		known = &path{conns: make(map[*directConn]bool)}
		p.paths[address] = known
	}
	return known
}

// sinceStart returns a time as that since p.start, which is never 0.
func (p *Paths) sinceStart(now time.Time) int64 { return max(1, int64(now.Sub(p.start))) }

// Dial implements upstream.Network.
func (p *Paths) Dial(ctx context.Context, address string) (net.Conn, error) {
	if !p.Lost(address) {
		conn, err := p.DialDirect(ctx, address)
		if err == nil || ctx.Err() != nil {
			return conn, err
		}
		if !p.Lost(address) {
			p.check(address)
			return nil, err
		}
	}
	conn, err := p.dialRelayed(ctx, address)
	if errors.Is(err, upstream.ErrNoPath) && p.answersProbes(address) {
		return p.DialDirect(ctx, address)
	}
	return conn, err
}

// Doubt implements upstream.Network.
func (p *Paths) Doubt(address string) {
	p.mu.Lock()
	answeredAt := p.pathOf(address).answeredAt.Load()
	p.mu.Unlock()
	if answeredAt == 0 || p.sinceStart(p.timers.Now())-answeredAt >= int64(freshAnswer) {
		p.doubt(address)
	}
}

// doubt has the direct way to a server checked.
func (p *Paths) doubt(address string) {
	if !p.isLost(address) {
		p.check(address)
	}
}

// CutOff reports whether the direct ways to all servers are lost.
func (p *Paths) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

// Lost implements upstream.Network. While it is being found out whether all ways are lost, it
// reports true for those on which nothing has arrived since.
func (p *Paths) Lost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pathOf(address)
	return p.cutOff || known.lost || p.surveying && known.answeredAt.Load() < p.surveySince
}

// isLost reports whether the direct way to a server was found to be lost.
func (p *Paths) isLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff || p.pathOf(address).lost
}

// LostSince returns when the direct ways were lost that are, by the server's address.
func (p *Paths) LostSince() map[string]time.Time {
	out := make(map[string]time.Time)
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.paths {
		if known.lost {
			out[address] = known.lostAt
		}
	}
	return out
}

// answersProbes reports whether a lost way has answered the last probe.
func (p *Paths) answersProbes(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.pathOf(address).goodSince.IsZero()
}

// lastAnswer returns when a server last sent something on a way that is not lost, as the time
// since p.start; p.mu must be held.
func (p *Paths) lastAnswer() int64 {
	last := int64(0)
	for _, known := range p.paths {
		if !known.lost {
			last = max(last, known.answeredAt.Load())
		}
	}
	return last
}

// DialDirect opens a direct connection.
func (p *Paths) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.direct.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.observe(address, conn), nil
}

// dialRelayed opens a connection through another entry.
func (p *Paths) dialRelayed(ctx context.Context, address string) (net.Conn, error) {
	relays := p.relays()
	lastErr := eris.New("no other entry reaches servers")
	var unreachable error
	for _, relay := range relays[:min(maxRelays, len(relays))] {
		conn, err := p.ways.Open(ctx, relay, address)
		switch {
		case err == nil:
			return relayedConn{conn.(tunnel), relay}, nil
		case ctx.Err() != nil:
			return nil, err
		case errors.Is(err, ErrServerUnreachable):
			unreachable = err // another entry may reach it
			continue
		}
		lastErr = err
		p.refused(relay)
	}
	if unreachable != nil {
		return nil, unreachable
	}
	return nil, eris.Wrapf(upstream.ErrNoPath, "%v", lastErr)
}

// refused records that an entry opened no tunnel, or none that works.
func (p *Paths) refused(relay string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedAt[relay] = p.timers.Now()
}

// led records that a server responded through an entry.
func (p *Paths) led(relay string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledAt[relay] = p.timers.Now()
	delete(p.refusedAt, relay)
}

// relays returns the entries that may lead to servers: those first that lately did, and those
// last that opened no tunnel, or none that worked.
func (p *Paths) relays() []string {
	relays, now := slices.Clone(p.ways.Relays()), p.timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.refusedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= refusedTime })
	maps.DeleteFunc(p.ledAt, func(_ string, at time.Time) bool { return now.Sub(at) >= refusedTime })
	slices.SortStableFunc(relays, func(a, b string) int {
		return cmp.Or(p.refusedAt[a].Compare(p.refusedAt[b]), cmp.Compare(p.leads(b), p.leads(a)))
	})
	return relays
}

// leads returns 1 for an entry through which a server lately responded, and 0 for any other;
// p.mu must be held.
func (p *Paths) leads(relay string) int {
	if _, led := p.ledAt[relay]; led {
		return 1
	}
	return 0
}

// check finds out, aside from any request, whether the direct way to a server is lost.
func (p *Paths) check(address string) { p.checkAgain(address, rechecks) }

// checkAgain makes a check, and up to a number of further ones while the server responds to
// nobody.
func (p *Paths) checkAgain(address string, again int) {
	now := p.timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pathOf(address)
	if p.checks >= maxChecks || !known.checkedAt.IsZero() && now.Sub(known.checkedAt) < checkInterval {
		return
	}
	known.checkedAt = now
	p.checks++
	go func() {
		p.checkNow(address, now)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.checks--
		if again > 0 && !known.lost && known.answeredAt.Load() < p.sinceStart(now) {
			time.AfterFunc(checkInterval, func() {
				if slices.Contains(p.ways.Servers(), address) && !p.isLost(address) {
					p.checkAgain(address, again-1)
				}
			})
		}
	}()
}

// checkNow is check without its limits.
func (p *Paths) checkNow(address string, now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if p.wayLost(ctx, address) {
		p.lose(address, now)
	}
}

// lose records that the direct way to a server is lost, as found by a check that began at a
// time. Connections may hang for seconds, or for as long as the way accepts them, so those are
// closed on which a request has got no byte, unless some arrived on others since then.
func (p *Paths) lose(address string, now time.Time) {
	servers := p.ways.Servers()
	p.mu.Lock()
	known := p.pathOf(address)
	found := !known.lost
	if found {
		known.lose(now)
	}
	var hanging []*directConn
	for conn := range known.conns {
		if conn.asked.Load() != 0 && known.answeredAt.Load() < p.sinceStart(now) {
			hanging = append(hanging, conn)
		}
	}
	lost := 0
	for _, other := range p.paths {
		if other.lost {
			lost++
		}
	}
	survey := found && !p.cutOff && !p.surveying && now.Sub(p.surveyedAt) >= checkInterval
	if survey {
		p.surveying, p.surveySince, p.surveyedAt = true, p.sinceStart(now), now
	}
	cutOff := p.cutOff
	p.mu.Unlock()
	for _, conn := range hanging {
		conn.Close()
	}
	if !found {
		return
	}
	p.log.Warn("way to server lost", "address", address, "lost", lost, "servers", len(servers), "ended", len(hanging))
	p.ways.Changed(cutOff)
	if survey {
		go p.survey()
	}
}

// lose records that the way is lost.
func (k *path) lose(now time.Time) {
	if now.Sub(k.returnedAt) >= forgetLosses {
		k.losses = 0
	}
	k.lost, k.inferred, k.lostAt, k.goodSince = true, false, now, time.Time{}
	k.losses++
}

// hold returns for how long the way must answer each probe until it is used again.
func (k *path) hold() time.Duration { return minHold << min(max(0, k.losses-1), maxHoldDoublings) }

// unchecked returns the servers to which the ways are not known to be lost, in random order.
func (p *Paths) unchecked() []string {
	servers := slices.Clone(p.ways.Servers())
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return slices.DeleteFunc(servers, p.isLost)
}

// survey finds out which other ways are lost, and whether all are.
func (p *Paths) survey() {
	others := p.unchecked()
	for found := true; found && len(others) > 0; {
		batch := others[:min(surveySize, len(others))]
		others = others[len(batch):]
		var running sync.WaitGroup
		now := p.timers.Now()
		for _, address := range batch {
			running.Go(func() { p.checkNow(address, now) })
		}
		running.Wait()
		found = slices.ContainsFunc(batch, p.isLost)
	}
	servers := p.ways.Servers()
	now := p.timers.Now()
	p.mu.Lock()
	p.surveying = false
	lost := 0
	for _, known := range p.paths {
		if known.lost {
			lost++
		}
	}
	p.cutOff = p.lastAnswer() < p.surveySince && lost >= min(minLostForCutOff, len(servers))
	for _, address := range servers {
		if known := p.pathOf(address); p.cutOff && !known.lost {
			known.lose(now)
			known.inferred = true
		}
	}
	cutOff := p.cutOff
	p.mu.Unlock()
	if cutOff {
		p.log.Warn("ways to all servers lost", "servers", len(servers), "cut_off", true)
		p.ways.Changed(true)
	}
}

// Probe finds out at intervals whether ways that are lost are back, until ctx ends.
func (p *Paths) Probe(ctx context.Context) {
	tick := p.timers.Every(probeInterval)
	defer tick.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		for _, address := range p.toProbe() {
			running.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, checkTimeout)
				defer cancel()
				p.probed(address, p.ask(ctx, p.directly(address)) == nil)
			})
		}
	}
}

// toProbe returns the servers to probe in a round, and forgets those that are gone. Ways that
// answered the last probe come first, then those that were not probed for longest.
func (p *Paths) toProbe() []string {
	servers, now := p.ways.Servers(), p.timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.paths, func(address string, known *path) bool {
		return !slices.Contains(servers, address) && len(known.conns) == 0
	})
	var out []string
	for address, known := range p.paths {
		if known.lost && !known.probing && now.Sub(known.probedAt) >= probeInterval*9/10 {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		first, second := p.paths[a], p.paths[b]
		if first.goodSince.IsZero() != second.goodSince.IsZero() {
			return second.goodSince.Compare(first.goodSince)
		}
		return cmp.Or(first.probedAt.Compare(second.probedAt), cmp.Compare(a, b))
	})
	out = out[:min(probesPerRound, len(out))]
	for _, address := range out {
		p.paths[address].probing, p.paths[address].probedAt = true, now
	}
	return out
}

// probed records whether a probe on the direct way to a server was answered. The way is back
// once it has answered for long enough; so are then the ways that only counted as lost because
// all did.
func (p *Paths) probed(address string, answered bool) {
	now := p.timers.Now()
	p.mu.Lock()
	known := p.pathOf(address)
	known.probing = false
	switch {
	case !answered:
		known.goodSince = time.Time{}
	case known.goodSince.IsZero():
		known.goodSince = now
	}
	back := answered && known.lost && now.Sub(known.goodSince) >= known.hold()
	if back {
		known.lost, known.returnedAt = false, now
		p.cutOff = false
		for _, other := range p.paths {
			if other.lost && other.inferred {
				other.lost, other.losses = false, other.losses-1
			}
		}
	}
	held := known.hold()
	p.mu.Unlock()
	if back {
		p.log.Info("way to server is back", "address", address, "after", held, "cut_off", false)
		p.ways.Changed(false)
	}
}

// IdleOfUse returns which idle connections are of use for later requests, given the address
// of the server and that of the entry through which they lead, which is empty for direct ones.
func (p *Paths) IdleOfUse() func(address, relay string) bool {
	relays := p.ways.Relays()
	return func(address, relay string) bool {
		return p.Lost(address) == (relay != "") && (relay == "" || slices.Contains(relays, relay))
	}
}
