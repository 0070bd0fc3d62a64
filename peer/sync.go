package peer

import "time"

const (
	// minPullInterval is the shortest time between two pulls.
	minPullInterval = 300 * time.Millisecond
	// syncTimeout is how long an entry that has started waits for the answers
	// of its peers before it serves with the items that it has.
	syncTimeout = 3 * time.Second
)

// syncState tracks how far an entry that has started has learned the active
// items: whether it has read the platform, which may be stale, and which listed
// peers have answered.
type syncState struct {
	startedAt     time.Time
	platformRead  bool
	done          bool
	answeredPeers map[string]bool
	lastPull      time.Time
}

func newSyncState(now time.Time) syncState {
	return syncState{startedAt: now, answeredPeers: make(map[string]bool)}
}

// recordPlatformRead records that the platform was read.
func (s *syncState) recordPlatformRead() { s.platformRead = true }

// recordPeerAnswer records that a peer has sent its newer items, or has none.
func (s *syncState) recordPeerAnswer(entry string) { s.answeredPeers[entry] = true }

// pullIfDifferent pulls from a peer whose items differ from this entry's.
func (n *Node) pullIfDifferent(now time.Time, entry string, digest uint64) {
	if digest == n.items.digest {
		n.sync.recordPeerAnswer(entry)
		return
	}
	if now.Sub(n.sync.lastPull) < minPullInterval {
		return
	}
	n.sync.lastPull = now
	n.send(entry, &pull{Versions: n.items.versions()})
}

// tickSync marks this entry as synced when the platform and all peers have
// answered, or after syncTimeout. It waits for at least one item.
func (n *Node) tickSync(now time.Time) {
	if n.sync.done || len(n.items.active) == 0 {
		return
	}
	timedOut := now.Sub(n.sync.startedAt) >= syncTimeout
	if !timedOut && !n.allAnswered() {
		return
	}
	n.sync.done = true
	n.changed = true
	n.logInfo("synced", "items", len(n.items.active), "peers", len(n.sync.answeredPeers), "platform_read", n.sync.platformRead)
}

// allAnswered reports whether the platform and every listed peer have answered.
func (n *Node) allAnswered() bool {
	if !n.sync.platformRead {
		return false
	}
	for _, entry := range n.membership.list.All() {
		if entry.ID() != n.self.ID() && !n.sync.answeredPeers[entry.ID()] {
			return false
		}
	}
	return true
}
