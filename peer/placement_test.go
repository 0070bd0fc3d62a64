package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
)

// trustGap lets time pass until every server has a keeper with full trust, and
// returns how long that took for the servers whose keeper stayed and for the others.
func trustGap(w *world, before map[string]string, limit time.Duration) (stayed, changed time.Duration) {
	for start := w.now; w.now.Sub(start) < limit; {
		w.advance(worldStep)
		for server, keeper := range w.keepers() {
			if w.trusted(keeper, server) {
				continue
			}
			gap := w.now.Sub(start)
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
func (w *world) keepers() map[string]string {
	list := w.nodes[sortedKeys(w.platform.entries)[0]].node.members.list
	out := make(map[string]string)
	for id, s := range w.servers {
		out[id] = keeperOf(list, id, s.domain, func(string) bool { return false })
	}
	return out
}

func (w *world) trusted(keeper, server string) bool {
	n := w.nodes[keeper]
	if n == nil {
		return false
	}
	for _, s := range n.node.keeping.ledger.Servers(w.now) {
		if s.Server() == server {
			return s.KeeperLease() == backend.KeeperLeaseFull
		}
	}
	return false
}

// TestListChangePausesOnlyWhatMoves checks that a replaced entry does not keep
// cold servers from work whose keeper stays.
func TestListChangePausesOnlyWhatMoves(t *testing.T) {
	const (
		// patience is how long a few heartbeats take.
		patience = 4 * minHeartbeat
		// waits is how long a fresh entry waits before its word counts, and a
		// new keeper for what the old one granted, by docs/design/keeper.md.
		waits = minVouch + (minVouch + backend.StartWindow) + patience
	)
	for seed := range uint64(5) {
		w := newWorld(seed, 5, 12)
		w.advance(15 * time.Second)
		before := w.keepers()
		m := &worldMachine{world: w, next: 5}
		m.replace(1)
		stayed, changed := trustGap(w, before, 20*time.Second)
		qt.Check(t, stayed <= patience, qt.IsTrue, qt.Commentf("seed %d: %v", seed, stayed))
		qt.Check(t, changed <= waits, qt.IsTrue, qt.Commentf("seed %d: %v", seed, changed))
		t.Logf("seed %d: stayed %v, changed %v", seed, stayed, changed)
	}
}
