package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
)

// leaseGap advances the simulation by limit, and returns how long servers whose
// keeper stayed, and servers whose keeper changed, were without a keeper that
// holds the full lease.
func leaseGap(sim *simulation, before map[string]string, limit time.Duration) (stayed, changed time.Duration) {
	for start := sim.now; sim.now.Sub(start) < limit; {
		sim.advance(simStep)
		for server, keeper := range sim.keepers() {
			if sim.hasFullLease(keeper, server) {
				continue
			}
			gap := sim.now.Sub(start)
			if keeper == before[server] {
				stayed = max(stayed, gap)
			} else {
				changed = max(changed, gap)
			}
		}
	}
	return stayed, changed
}

// keepers returns the keeper of each server by the published list.
func (sim *simulation) keepers() map[string]string {
	list := sim.nodes[sortedKeys(sim.platform.entries)[0]].node.membership.list
	out := make(map[string]string)
	for id, s := range sim.servers {
		out[id] = keeperOf(list, id, s.domain, func(string) bool { return false })
	}
	return out
}

func (sim *simulation) hasFullLease(keeper, server string) bool {
	n := sim.nodes[keeper]
	if n == nil {
		return false
	}
	for _, s := range n.node.keeper.allocator.Servers(sim.now) {
		if s.Server() == server {
			return s.KeeperLease() == backend.KeeperLeaseFull
		}
	}
	return false
}

// TestListChangeKeepsLeasesOfUnchangedKeepers checks that replacing an entry
// takes the full lease only from servers whose keeper changes: cold servers
// whose keeper stays must not go without work for longer than a few heartbeats.
func TestListChangeKeepsLeasesOfUnchangedKeepers(t *testing.T) {
	const (
		// fewHeartbeats is the time that a few heartbeats take.
		fewHeartbeats = 4 * minHeartbeat
		// maxNewKeeperGap is how long an entry that has started waits until it
		// is established, and a new keeper until the slots of the old one are
		// started or expired; see docs/design/keeper.md.
		maxNewKeeperGap = minLease + (minLease + backend.StartWindow) + fewHeartbeats
	)
	for seed := range uint64(5) {
		sim := newSimulation(seed, 5, 12)
		sim.advance(15 * time.Second)
		before := sim.keepers()
		m := &stateMachine{simulation: sim, nextEntry: 5}
		m.replace(1)
		stayed, changed := leaseGap(sim, before, 20*time.Second)
		qt.Check(t, stayed <= fewHeartbeats, qt.IsTrue, qt.Commentf("seed %d: %v", seed, stayed))
		qt.Check(t, changed <= maxNewKeeperGap, qt.IsTrue, qt.Commentf("seed %d: %v", seed, changed))
		t.Logf("seed %d: stayed %v, changed %v", seed, stayed, changed)
	}
}
