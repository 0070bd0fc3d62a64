package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"greengagedock.example/mesh"
)

const (
	// beatInterval is the time between two rounds of heartbeats.
	beatInterval = 400 * time.Millisecond
	// firstRounds heartbeats follow each other at firstInterval, so that entries
	// that start together soon know each other.
	firstRounds   = 10
	firstInterval = 80 * time.Millisecond
	// beatTimeout bounds the wait for the answer to a heartbeat.
	beatTimeout = 900 * time.Millisecond
	// placerSilence is how long an entry that places requests may be silent
	// before another does: three heartbeats.
	placerSilence = 1200 * time.Millisecond
	// placerPart is the part of the largest processor that an entry needs to
	// place requests: one entry places all requests of a service.
	placerPart = 0.5
	// leastProcessor, in cores, is what an entry that states none counts as.
	leastProcessor = 0.05
	// addressSilence is how long the directory names a silent entry.
	addressSilence = 2 * time.Second
	// memberSilence is how long a silent entry is remembered and called.
	memberSilence = 15 * time.Second
	// watchers is how many entries watch the store: each call has a price, and
	// the others hear of changes with the next heartbeat.
	watchers = 5
	// watcherAge is how long ago the store must have answered an entry that
	// counts as a watcher: its longest wait, and a read that failed.
	watcherAge = 4 * time.Second
	// watchKey is what the order of the watchers is drawn from.
	watchKey = "store"
	// suspectTime is how long an entry that did not answer a call places nothing.
	suspectTime = time.Second
)

// memberState says what an entry does.
type memberState string

// The states of entries.
const (
	memberStarting memberState = "starting"
	memberReady    memberState = "ready"
	memberLeaving  memberState = "leaving"
)

// member is another entry as this one knows it.
type member struct {
	memberMessage
	// key is what pulses call the entry.
	key uint64
	// heardAt is when the entry was last heard itself, or its count of
	// heartbeats from another.
	heardAt      time.Time
	suspectUntil time.Time
	// storeAt is when the store last answered the entry, zero if never.
	storeAt time.Time
}

// members are the other entries.
type members struct {
	self  memberMessage
	byID  map[string]*member
	byKey map[uint64]*member
	seeds []string
	// random draws the order of the directory's addresses.
	random *rand.Rand
}

// heard takes what an entry says of itself, and reports whether it is news.
func (m *members) heard(now time.Time, from memberMessage) bool {
	if from.ID == m.self.ID {
		return false
	}
	known := m.byID[from.ID]
	if known == nil || known.Incarnation < from.Incarnation {
		m.remember(from).heardAt = now
		return true
	}
	if known.Incarnation > from.Incarnation {
		return false
	}
	changed := known.State != from.State
	from.Beats = max(from.Beats, known.Beats)
	if known.State != memberLeaving {
		known.memberMessage = from
	}
	known.heardAt = now
	return changed
}

// remember adds an entry, in place of its earlier incarnation.
func (m *members) remember(entry memberMessage) *member {
	if earlier := m.byID[entry.ID]; earlier != nil {
		delete(m.byKey, earlier.key)
	}
	added := &member{memberMessage: entry, key: entry.pulseKey()}
	m.byID[entry.ID] = added
	m.byKey[added.key] = added
	return added
}

// told takes what another entry says of an incarnation that this one does not know.
func (m *members) told(other memberMessage) bool {
	if other.ID == m.self.ID {
		return false
	}
	if known := m.byID[other.ID]; known != nil && known.Incarnation >= other.Incarnation {
		return false
	}
	m.remember(other)
	return true
}

// expire forgets the entries that have been silent for long and returns them.
func (m *members) expire(now time.Time) []*member {
	var gone []*member
	for id, known := range m.byID {
		if known.heardAt.IsZero() {
			known.heardAt = now.Add(-addressSilence)
		}
		if now.Sub(known.heardAt) > memberSilence {
			delete(m.byID, id)
			delete(m.byKey, known.key)
			gone = append(gone, known)
		}
	}
	return gone
}

// audible returns the entries that were heard lately, in order.
func (m *members) audible(now time.Time, silence time.Duration) []*member {
	var out []*member
	for _, known := range m.byID {
		if now.Sub(known.heardAt) < silence {
			out = append(out, known)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// digest returns a number that tells whether two entries know the same
// incarnations, themselves included.
func (m *members) digest() uint64 {
	digest := m.self.pulseKey()
	for key := range m.byKey {
		digest ^= key
	}
	return digest
}

// placer returns the entry that places a service's requests, nil for this one:
// the highest in rendezvous hashing of those that take requests and have a
// large part of a processor.
func (m *members) placer(now time.Time, service string) *member {
	selfReady := m.self.State == memberReady
	largest := 0.0
	if selfReady {
		largest = m.self.Processor
	}
	for _, known := range m.byID {
		if known.mayPlace(now) {
			largest = max(largest, known.Processor)
		}
	}
	least := placerPart * largest
	var best *member
	bestRank := uint64(0)
	if selfReady && m.self.Processor >= least {
		bestRank = mesh.RendezvousWeight(service, m.self.ID)
	}
	for _, known := range m.byID {
		if !known.mayPlace(now) || known.Processor < least {
			continue
		}
		if rank := mesh.RendezvousWeight(service, known.ID); rank > bestRank {
			best, bestRank = known, rank
		}
	}
	return best
}

// mayPlace reports whether the entry takes requests, as far as is known.
func (m *member) mayPlace(now time.Time) bool {
	return m.State == memberReady && now.Sub(m.heardAt) <= placerSilence && !now.Before(m.suspectUntil)
}

// placers returns the addresses of the entries that place requests of the services.
func (m *members) placers(now time.Time, services []string) map[string]bool {
	out := make(map[string]bool)
	for _, service := range services {
		if known := m.placer(now, service); known != nil {
			out[known.Peers] = true
		}
	}
	return out
}

// watches reports whether this entry is among those that watch the store: the
// first few in an order that all entries share, where one that the store does
// not answer counts for nothing.
func (m *members) watches(now time.Time) bool {
	ahead := m.watchers(now)
	own := mesh.RendezvousWeight(watchKey, m.self.ID)
	return len(ahead) < watchers || mesh.RendezvousWeight(watchKey, ahead[len(ahead)-1].ID) > own
}

// watchers returns the first few other entries that the store answers, in the
// order that all entries share.
func (m *members) watchers(now time.Time) []*member {
	audible := m.audible(now, placerSilence)
	audible = slices.DeleteFunc(audible, func(known *member) bool {
		return known.State == memberLeaving || now.Sub(known.storeAt) >= watcherAge
	})
	slices.SortFunc(audible, func(a, b *member) int {
		return cmp.Compare(mesh.RendezvousWeight(watchKey, a.ID), mesh.RendezvousWeight(watchKey, b.ID))
	})
	return audible[:min(watchers, len(audible))]
}

// targets returns the addresses to send heartbeats to: known entries, and
// seeds of which no entry is known.
func (m *members) targets() []string {
	var out []string
	for _, known := range m.byID {
		out = append(out, known.Peers)
	}
	for _, seed := range m.seeds {
		if seed != m.self.Peers && !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	slices.Sort(out)
	return out
}

// addresses returns where callers are to connect, in a drawn order: who can't
// use all takes the first, among whom entries with much of a processor come
// more often.
func (m *members) addresses(now time.Time) []string {
	type place struct {
		address string
		key     float64
	}
	var places []place
	add := func(entry memberMessage) {
		if entry.State == memberReady {
			places = append(places, place{entry.Callers, m.random.ExpFloat64() / max(leastProcessor, entry.Processor)})
		}
	}
	add(m.self)
	for _, known := range m.audible(now, addressSilence) {
		add(known.memberMessage)
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Compare(a.key, b.key) })
	var out []string
	for _, p := range places {
		out = append(out, p.address)
	}
	return out
}
