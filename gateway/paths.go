package gateway

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

	"greengagedock.example/mesh"
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
	// minLostForCutOff is the number of ways that are lost, with none that is not, from which
	// all ways count as lost, if there are as many servers.
	minLostForCutOff = 2
	// probeInterval is the time between rounds of dials that show whether lost ways are back,
	// and probesPerRound the number of dials in a round.
	probeInterval  = 500 * time.Millisecond
	probesPerRound = 2
	// maxRelays is the number of entries that are asked for one connection.
	maxRelays = 3
	// maxServedTunnels bounds the tunnels that this entry serves. Each takes two descriptors
	// and some ten kilobytes.
	maxServedTunnels = 512
)

// paths is a network that reaches servers through other entries where the direct way is lost.
type paths struct {
	direct upstream.Network
	timers *timer.Service
	log    hclog.Logger
	// open opens a tunnel through the entry at an address.
	open func(ctx context.Context, relay, address string) (net.Conn, error)
	// relays returns the addresses of entries that reach servers, in random order.
	relays func() []string
	// servers returns the addresses of the servers.
	servers func() []string
	// cutOffChanged is called, without a lock, when CutOff changes.
	cutOffChanged func(cutOff bool)

	mu sync.Mutex
	// lost holds when the direct way to a server was found to be lost, by its address.
	lost map[string]time.Time
	// reachedAt is when a server was last reached directly.
	reachedAt time.Time
	cutOff    bool
	checks    int
	checkedAt map[string]time.Time
}

// relayedConn is a connection through another entry.
type relayedConn struct {
	*net.TCPConn
	relay string
}

// Relay implements upstream.Relayed.
func (c relayedConn) Relay() string { return c.relay }

// Dial implements upstream.Network.
func (p *paths) Dial(ctx context.Context, address string) (net.Conn, error) {
	if p.isLost(address) {
		return p.dialRelayed(ctx, address)
	}
	conn, err := p.dialDirect(ctx, address)
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
func (p *paths) Doubt(address string) {
	if !p.isLost(address) {
		p.check(address, true)
	}
}

// CutOff implements upstream.Network.
func (p *paths) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

// isLost reports whether the direct way to a server is lost.
func (p *paths) isLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, lost := p.lost[address]
	return lost || p.cutOff
}

// dialDirect opens a direct connection, which shows that the way is not lost.
func (p *paths) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.direct.Dial(ctx, address)
	if err == nil {
		p.reached(address)
	}
	return conn, err
}

// dialRelayed opens a connection through another entry.
func (p *paths) dialRelayed(ctx context.Context, address string) (net.Conn, error) {
	relays := p.relays()
	lastErr := eris.New("no other entry reaches servers")
	for _, relay := range relays[:min(maxRelays, len(relays))] {
		conn, err := p.open(ctx, relay, address)
		switch {
		case err == nil:
			return relayedConn{conn.(*net.TCPConn), relay}, nil
		case errors.Is(err, mesh.ErrServerUnreachable):
			return nil, err
		}
		lastErr = err
	}
	return nil, eris.Wrapf(upstream.ErrNoPath, "%v", lastErr)
}

// check finds out, aside from any request, whether the direct way to a server is lost. With
// dial set it dials the server first.
func (p *paths) check(address string, dial bool) {
	now := p.timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checks >= maxChecks || now.Sub(p.checkedAt[address]) < checkInterval {
		return
	}
	if p.checkedAt == nil {
		p.checkedAt = make(map[string]time.Time)
	}
	maps.DeleteFunc(p.checkedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= checkInterval })
	p.checkedAt[address] = now
	p.checks++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		lost := p.wayLost(ctx, address, dial)
		p.mu.Lock()
		p.checks--
		p.mu.Unlock()
		if lost {
			p.lose(address, now)
		}
	}()
}

// wayLost reports whether another entry reaches a server that this one doesn't.
func (p *paths) wayLost(ctx context.Context, address string, dial bool) bool {
	if dial {
		if conn, err := p.dialDirect(ctx, address); err == nil {
			conn.Close()
			return false
		}
	}
	conn, err := p.dialRelayed(ctx, address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// lose records that the direct way to a server is lost, as found at a time.
func (p *paths) lose(address string, now time.Time) {
	servers := len(p.servers())
	p.mu.Lock()
	if p.lost == nil {
		p.lost = make(map[string]time.Time)
	}
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
		p.cutOffChanged(true)
	}
}

// reached records that a server was reached directly.
func (p *paths) reached(address string) {
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
		p.cutOffChanged(false)
	}
}

// probe dials servers to which the way is lost, at intervals until ctx ends.
func (p *paths) probe(ctx context.Context) {
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
				if conn, err := p.dialDirect(ctx, address); err == nil {
					conn.Close()
				}
			})
		}
	}
}

// probed returns the servers to dial in a round, and forgets those that are gone.
func (p *paths) probed() []string {
	servers := p.servers()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.lost, func(address string, _ time.Time) bool { return !slices.Contains(servers, address) })
	if !p.cutOff {
		servers = slices.Collect(maps.Keys(p.lost))
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers[:min(probesPerRound, len(servers))]
}

// idleOfUse returns which idle connections are of use for later requests, given the address
// of the server and that of the entry through which they lead, which is empty for direct ones.
func (p *paths) idleOfUse() func(address, relay string) bool {
	relays := p.relays()
	return func(address, relay string) bool {
		return p.isLost(address) == (relay != "") && (relay == "" || slices.Contains(relays, relay))
	}
}
