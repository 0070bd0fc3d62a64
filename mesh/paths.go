package mesh

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
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
// dial through another entry, aside from any request.

const (
	// checkTimeout bounds a check of the way to a server: a dial, and one by another entry.
	checkTimeout = 1200 * time.Millisecond
	// checkInterval is the least time between two checks of the way to one server.
	checkInterval = time.Second
	// maxChecks bounds the checks at the same time.
	maxChecks = 3
	// rechecks is how often a server that no entry was found to reach is checked again. Other
	// entries may have lost the way as well and not know it, and a server that is suspended
	// gets no requests that would show it.
	rechecks = 3
	// minLostForCutOff is the number of ways that are lost, with none that is not, from which
	// all ways count as lost, if there are as many servers.
	minLostForCutOff = 2
	// probeInterval is the time between rounds of dials that show whether lost ways are back,
	// and probesPerRound the number of dials in a round.
	probeInterval  = 500 * time.Millisecond
	probesPerRound = 2
	// maxRelays is the number of entries that are asked for one connection.
	maxRelays = 3
	// refusedTime is how long an entry that opened no tunnel is asked after the others.
	refusedTime = 2 * time.Second
)

// Ways is what Paths need to know of the servers and the other entries.
type Ways interface {
	// Servers returns the IP:PORT addresses of the servers.
	Servers() []string
	// Relays returns the addresses of the entries that may lead to servers, in random order.
	Relays() []string
	// Open opens a tunnel to a server through the entry at the address relay.
	Open(ctx context.Context, relay, address string) (net.Conn, error)
	// CutOffChanged is called when the result of Paths.CutOff changes.
	CutOffChanged(cutOff bool)
}

// Paths is an upstream.Network that reaches servers through other entries where the direct
// way is lost; NewPaths returns one.
type Paths struct {
	direct upstream.Network
	ways   Ways
	timers *timer.Service
	log    hclog.Logger

	mu sync.Mutex
	// lost holds when the direct way to a server was found to be lost, by its address.
	lost map[string]time.Time
	// reachedAt is when a server was last reached directly.
	reachedAt time.Time
	cutOff    bool
	checks    int
	checkedAt map[string]time.Time
	// refusedAt holds when an entry last opened no tunnel, by its address.
	refusedAt map[string]time.Time
}

// NewPaths returns paths whose direct ways lead through a network.
func NewPaths(direct upstream.Network, ways Ways, timers *timer.Service, log hclog.Logger) *Paths {
	return &Paths{
		direct: direct, ways: ways, timers: timers, log: log,
		lost: make(map[string]time.Time), checkedAt: make(map[string]time.Time), refusedAt: make(map[string]time.Time),
	}
}

// relayedConn is a connection through another entry.
type relayedConn struct {
	*net.TCPConn
	relay string
}

// Relay implements upstream.Relayed.
func (c relayedConn) Relay() string { return c.relay }

// Dial implements upstream.Network.
func (p *Paths) Dial(ctx context.Context, address string) (net.Conn, error) {
	if p.isLost(address) {
		return p.dialRelayed(ctx, address)
	}
	conn, err := p.DialDirect(ctx, address)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	if p.isLost(address) {
		return p.dialRelayed(ctx, address)
	}
	p.check(address, false)
	return nil, err
}

// Doubt implements upstream.Network.
func (p *Paths) Doubt(address string) {
	if !p.isLost(address) {
		p.check(address, true)
	}
}

// CutOff implements upstream.Network.
func (p *Paths) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

// isLost reports whether the direct way to a server is lost.
func (p *Paths) isLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, lost := p.lost[address]
	return lost || p.cutOff
}

// DialDirect opens a direct connection, which shows that the way is not lost.
func (p *Paths) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.direct.Dial(ctx, address)
	if err == nil {
		p.reached(address)
	}
	return conn, err
}

// dialRelayed opens a connection through another entry.
func (p *Paths) dialRelayed(ctx context.Context, address string) (net.Conn, error) {
	relays := p.relays()
	lastErr := eris.New("no other entry reaches servers")
	for _, relay := range relays[:min(maxRelays, len(relays))] {
		conn, err := p.openTunnel(ctx, relay, address)
		switch {
		case err == nil:
			return relayedConn{conn.(*net.TCPConn), relay}, nil
		case errors.Is(err, ErrServerUnreachable) || ctx.Err() != nil:
			return nil, err
		}
		lastErr = err
	}
	return nil, eris.Wrapf(upstream.ErrNoPath, "%v", lastErr)
}

// openTunnel opens a tunnel through an entry, and notes it if the entry opens none.
func (p *Paths) openTunnel(ctx context.Context, relay, address string) (net.Conn, error) {
	conn, err := p.ways.Open(ctx, relay, address)
	if err != nil && !errors.Is(err, ErrServerUnreachable) && ctx.Err() == nil {
		p.mu.Lock()
		p.refusedAt[relay] = p.timers.Now()
		p.mu.Unlock()
	}
	return conn, err
}

// relays returns the entries that may lead to servers; those that lately opened no tunnel
// come last.
func (p *Paths) relays() []string {
	relays, now := slices.Clone(p.ways.Relays()), p.timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.refusedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= refusedTime })
	slices.SortStableFunc(relays, func(a, b string) int { return p.refusedAt[a].Compare(p.refusedAt[b]) })
	return relays
}

// check finds out, aside from any request, whether the direct way to a server is lost. With
// dial set it dials the server first.
func (p *Paths) check(address string, dial bool) { p.checkAgain(address, dial, rechecks) }

// checkAgain makes a check, and up to a number of further ones while no entry is found to
// reach the server.
func (p *Paths) checkAgain(address string, dial bool, again int) {
	now := p.timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checks >= maxChecks || now.Sub(p.checkedAt[address]) < checkInterval {
		return
	}
	maps.DeleteFunc(p.checkedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= checkInterval })
	p.checkedAt[address] = now
	p.checks++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		state, rest := p.stateOfWay(ctx, address, dial)
		switch {
		case state == wayLost:
			p.lose(address, now)
		case state == wayUnknown && again > 0:
			time.AfterFunc(checkInterval, func() {
				if slices.Contains(p.ways.Servers(), address) && !p.isLost(address) {
					p.checkAgain(address, true, again-1)
				}
			})
		}
		rest.Wait()
		p.mu.Lock()
		p.checks--
		p.mu.Unlock()
	}()
}

// wayState is what a check shows of the direct way to a server.
type wayState string

// States of ways.
const (
	wayWhole wayState = "whole"
	// wayLost: another entry reaches the server.
	wayLost wayState = "lost"
	// wayUnknown: the server is down, or those that were asked don't reach it either.
	wayUnknown wayState = "unknown"
)

// stateOfWay checks the direct way to a server. It asks several entries at once: one that has
// lost the way as well, and does not know it yet, does not reach the server. It returns as
// soon as one reaches the server, and what waits for the answers of the others.
func (p *Paths) stateOfWay(ctx context.Context, address string, dial bool) (wayState, *sync.WaitGroup) {
	var asking sync.WaitGroup
	if dial {
		if conn, err := p.DialDirect(ctx, address); err == nil {
			conn.Close()
			return wayWhole, &asking
		}
	}
	relays := p.relays()
	relays = relays[:min(maxRelays, len(relays))]
	reached := make(chan bool, len(relays))
	for _, relay := range relays {
		asking.Go(func() {
			conn, err := p.openTunnel(ctx, relay, address)
			if err == nil {
				conn.Close()
			}
			reached <- err == nil
		})
	}
	for range relays {
		if <-reached {
			return wayLost, &asking
		}
	}
	return wayUnknown, &asking
}

// lose records that the direct way to a server is lost, as found at a time.
func (p *Paths) lose(address string, now time.Time) {
	servers := len(p.ways.Servers())
	p.mu.Lock()
	p.lost[address] = now
	since := 0
	for _, at := range p.lost {
		if at.After(p.reachedAt) {
			since++
		}
	}
	changed := !p.cutOff && since >= min(minLostForCutOff, servers)
	p.cutOff = p.cutOff || changed
	p.mu.Unlock()
	p.log.Warn("way to server lost", "address", address, "lost", since, "servers", servers, "cut_off", changed)
	if changed {
		p.ways.CutOffChanged(true)
	} else {
		p.checkOthers()
	}
}

// checkOthers checks the ways to some servers to which they are not known to be lost: open
// connections that hang don't show it soon.
func (p *Paths) checkOthers() {
	servers := slices.Clone(p.ways.Servers())
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	checked := 0
	for _, address := range servers {
		if checked < minLostForCutOff && !p.isLost(address) {
			p.check(address, true)
			checked++
		}
	}
}

// reached records that a server was reached directly.
func (p *Paths) reached(address string) {
	p.mu.Lock()
	_, lost := p.lost[address]
	changed := p.cutOff
	delete(p.lost, address)
	p.reachedAt = p.timers.Now()
	p.cutOff = false
	p.mu.Unlock()
	if lost || changed {
		p.log.Info("way to server is back", "address", address, "cut_off", false)
	}
	if changed {
		p.ways.CutOffChanged(false)
	}
}

// Probe dials servers to which the way is lost, at intervals until ctx ends.
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
		for _, address := range p.probed() {
			running.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, checkTimeout)
				defer cancel()
				if conn, err := p.DialDirect(ctx, address); err == nil {
					conn.Close()
				}
			})
		}
	}
}

// probed returns the servers to dial in a round, and forgets those that are gone.
func (p *Paths) probed() []string {
	servers := slices.Clone(p.ways.Servers())
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.lost, func(address string, _ time.Time) bool { return !slices.Contains(servers, address) })
	if !p.cutOff {
		servers = slices.Collect(maps.Keys(p.lost))
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers[:min(probesPerRound, len(servers))]
}

// IdleOfUse returns which idle connections are of use for later requests, given the address
// of the server and that of the entry through which they lead, which is empty for direct ones.
func (p *Paths) IdleOfUse() func(address, relay string) bool {
	relays := p.ways.Relays()
	return func(address, relay string) bool {
		return p.isLost(address) == (relay != "") && (relay == "" || slices.Contains(relays, relay))
	}
}
