package gateway

import (
	"slices"
	"time"
)

// An entry that knows no other scheduler grants for the whole fleet. It may only seem to be the
// only one: entries find each other through seeds alone, so that all that start while the seeds
// are down know nobody, and each part of a partition has a scheduler of its own.

const (
	// discoveryTime is how long after its first contact with another entry, or for a seed after
	// its start, an entry knows those that started with it: two rounds of heartbeats.
	discoveryTime = 2*heartbeatInterval + 200*time.Millisecond
	// lostMemory is for how long entries that vanished count as part of the fleet: they may
	// schedule in another part of a partition.
	lostMemory = 10 * time.Minute
	// maxPartitionGrants bounds what the schedulers of all parts of a partition grant together,
	// as a multiple of the fleet-wide limit; a part with half of the entries grants all of it.
	maxPartitionGrants = 2
)

// fleetShare returns the fraction of the fleet-wide limits that this entry, which started at a
// time, may grant while it knows no other scheduler.
func (m *members) fleetShare(now, started time.Time) float64 {
	if !m.knowsFleet(now, started) {
		return 1.0 / startupEntries
	}
	live, known := 1, 1
	for _, other := range m.byID {
		if other.State == memberLeaving {
			continue
		}
		known++
		if now.Sub(other.lastHeard) <= m.timeouts.scheduler() {
			live++
		}
	}
	for _, at := range m.lost {
		if now.Sub(at) < lostMemory {
			known++
		}
	}
	return min(1, maxPartitionGrants*float64(live)/float64(known))
}

// knowsFleet reports whether this entry, which started at a time, has had the opportunity to
// learn of the entries that started with it.
func (m *members) knowsFleet(now, started time.Time) bool {
	isSeed := slices.Contains(m.seeds, m.self.PeerAddress)
	others := len(m.seeds)
	if isSeed {
		others--
	}
	switch {
	case others <= 0: // the others, if any, come to this entry
		return true
	case isSeed:
		return now.Sub(started) >= discoveryTime
	default:
		return !m.firstHeard.IsZero() && now.Sub(m.firstHeard) >= discoveryTime
	}
}

// forget records that an entry was removed because it was silent.
func (m *members) forget(now time.Time, known *member) {
	for id, at := range m.lost {
		if now.Sub(at) >= lostMemory {
			delete(m.lost, id)
		}
	}
	if known.State == memberLeaving {
		return
	}
	if m.lost == nil {
		m.lost = make(map[string]time.Time)
	}
	m.lost[known.ID] = now
}
