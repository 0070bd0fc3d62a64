package gateway

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"greengagedock.example/mesh"
)

const (
	// heartbeatInterval is the time between rounds of heartbeats.
	heartbeatInterval = 400 * time.Millisecond
	// The first startupRounds rounds of heartbeats are startupInterval apart, so
	// that entries that start together soon know each other; so are later ones of an
	// entry that knows no other one.
	startupRounds   = 10
	startupInterval = 80 * time.Millisecond
	// discoveryDialTimeout bounds a dial to a seed at which no entry is known: one whose
	// instance starts meanwhile answers only a new one. Every longDiscoveryDial-th dial
	// may take the time of others, for seeds that are far away.
	discoveryDialTimeout = 100 * time.Millisecond
	longDiscoveryDial    = 4
	// heartbeatTimeout bounds the wait for the response to a heartbeat.
	heartbeatTimeout = 900 * time.Millisecond
	// minSchedulerCPUShare is the least CPU that an entry needs to be a scheduler,
	// relative to the entry with the most: one entry schedules all requests of a
	// service.
	minSchedulerCPUShare = 0.5
	// settledRounds is the number of an entry's rounds of heartbeats from which it
	// schedules, some three seconds after its start: what runs on the servers is known
	// to the entry that scheduled before, and callers come to the fresh one only now.
	settledRounds = 15
	// restartRounds is by how many rounds entries may differ that started together;
	// if all entries are fresh, any of them schedules.
	restartRounds = 5
	// nextInLineShare is the fraction of the servers' rate limits that the entry next in line
	// may use beside the scheduler.
	nextInLineShare = 0.5
	// minCPUCores is the lowest weight of an entry in the directory; an entry with
	// unknown cores gets it.
	minCPUCores = 0.05
	// memberTimeout is how long a silent entry stays a member and gets heartbeats.
	memberTimeout = 15 * time.Second
	// storeWatcherCount is how many entries watch the store: each call to it has a
	// cost, and the others learn of changes from the next heartbeat.
	storeWatcherCount = 5
	// maxStoreAge is the longest time since the store last responded to an entry
	// that counts as a watcher: the longest watch plus one failed read.
	maxStoreAge = 4 * time.Second
	// watcherHashKey is the key under which rendezvous hashing orders the watchers.
	watcherHashKey = "store"
	// suspectDuration is how long an entry that failed to respond to a call is not
	// used as a scheduler.
	suspectDuration = time.Second
)

// memberState is the lifecycle state of an entry.
type memberState string

// Lifecycle states of entries.
const (
	memberStarting memberState = "starting"
	memberReady    memberState = "ready"
	// memberCutOff: ready, but without a direct way to any server.
	memberCutOff  memberState = "cut_off"
	memberLeaving memberState = "leaving"
)

// member is what this entry knows of another one.
type member struct {
	memberMessage
	// key identifies the entry's incarnation in heartbeat counters.
	key uint64
	// lastHeard is when this entry last received a message from the entry, or a
	// higher heartbeat counter of it from a third one.
	lastHeard    time.Time
	suspectUntil time.Time
	// storeAnsweredAt is when the store last responded to the entry, zero if never
	// or not known.
	storeAnsweredAt time.Time
	// tunnels is the number of tunnels that the entry last said that it serves.
	tunnels int
}

// members holds this entry and the other entries that it knows.
type members struct {
	self     memberMessage
	timeouts Timeouts
	byID     map[string]*member
	byKey    map[uint64]*member
	seeds    []string
	// firstHeard is when a message of another entry first arrived, zero before.
	firstHeard time.Time
	// lost holds when entries were removed that had not said that they leave, by ID.
	lost map[string]time.Time
	// random selects heartbeat targets and orders the directory's addresses.
	random *rand.Rand
}

// observe records what an entry reports of itself in a message from it. It reports
// whether the incarnation is new or its state has changed.
func (m *members) observe(now time.Time, from memberMessage) bool {
	if from.ID == m.self.ID {
		return false
	}
	if m.firstHeard.IsZero() {
		m.firstHeard = now
	}
	known := m.byID[from.ID]
	if known == nil || known.Incarnation < from.Incarnation {
		m.add(from).lastHeard = now
		return true
	}
	if known.Incarnation > from.Incarnation {
		return false
	}
	changed := known.State != from.State
	from.Heartbeats = max(from.Heartbeats, known.Heartbeats)
	if known.State != memberLeaving {
		known.memberMessage = from
	}
	known.lastHeard = now
	return changed
}

// add adds an entry, replacing an earlier incarnation of it.
func (m *members) add(entry memberMessage) *member {
	if earlier := m.byID[entry.ID]; earlier != nil {
		delete(m.byKey, earlier.key)
	}
	delete(m.lost, entry.ID)
	added := &member{memberMessage: entry, key: entry.incarnationKey()}
	m.byID[entry.ID] = added
	m.byKey[added.key] = added
	return added
}

// learn adds an entry that a third one reports, unless this incarnation or a later
// one is known. It reports whether the entry was added.
func (m *members) learn(other memberMessage) bool {
	if other.ID == m.self.ID {
		return false
	}
	if known := m.byID[other.ID]; known != nil && known.Incarnation >= other.Incarnation {
		return false
	}
	m.add(other)
	return true
}

// expire removes the entries that have been silent for longer than memberTimeout
// and returns them.
func (m *members) expire(now time.Time) []*member {
	var expired []*member
	for id, known := range m.byID {
		if known.lastHeard.IsZero() {
			known.lastHeard = now.Add(-m.timeouts.listed())
		}
		if now.Sub(known.lastHeard) > memberTimeout {
			delete(m.byID, id)
			delete(m.byKey, known.key)
			m.forget(now, known)
			expired = append(expired, known)
		}
	}
	return expired
}

// live returns the entries that were heard less than timeout ago, ordered by ID.
func (m *members) live(now time.Time, timeout time.Duration) []*member {
	var out []*member
	for _, known := range m.byID {
		if now.Sub(known.lastHeard) < timeout {
			out = append(out, known)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// digest returns a hash of the known incarnations, this entry's included. Two
// entries that know the same incarnations have equal digests.
func (m *members) digest() uint64 {
	digest := m.self.incarnationKey()
	for key := range m.byKey {
		digest ^= key
	}
	return digest
}

// scheduler returns the entry that schedules a service's requests, nil if it is this
// one: the one with the highest rendezvous weight of the entries that are ready, have
// enough CPU and did not start only recently.
func (m *members) scheduler(now time.Time, service string) *member {
	fit := m.fitToSchedule(now)
	var best *member
	bestWeight := uint64(0)
	if m.self.State == memberReady && fit(m.self) {
		bestWeight = mesh.RendezvousWeight(service, m.self.ID)
	}
	for _, known := range m.byID {
		if !m.maySchedule(now, known) || !fit(known.memberMessage) {
			continue
		}
		if weight := mesh.RendezvousWeight(service, known.ID); weight > bestWeight {
			best, bestWeight = known, weight
		}
	}
	return best
}

// schedulerWithout returns the entry that schedules a service's requests once those with the
// given ids don't, nil if it is this one or there is none.
func (m *members) schedulerWithout(now time.Time, service string, gone map[string]bool) *member {
	rest := *m
	if gone[m.self.ID] {
		rest.self.State = memberLeaving
	}
	rest.byID = maps.Clone(m.byID)
	maps.DeleteFunc(rest.byID, func(id string, _ *member) bool { return gone[id] })
	return rest.scheduler(now, service)
}

// fitToSchedule returns whether an entry has enough CPU to be a scheduler and has run for
// long enough, compared with the others.
func (m *members) fitToSchedule(now time.Time) func(memberMessage) bool {
	largest, rounds := 0.0, uint32(0)
	if m.self.State == memberReady {
		largest, rounds = m.self.CPUCores, m.self.Heartbeats
	}
	for _, known := range m.byID {
		if m.maySchedule(now, known) {
			largest = max(largest, known.CPUCores)
			rounds = max(rounds, known.Heartbeats)
		}
	}
	minCores := minSchedulerCPUShare * largest
	minRounds := uint32(0)
	if rounds > restartRounds {
		minRounds = min(settledRounds, rounds-restartRounds)
	}
	return func(entry memberMessage) bool { return entry.CPUCores >= minCores && entry.Heartbeats >= minRounds }
}

// rateLimitShare returns the fraction of the rate limits of a service's servers that this
// entry may use while another one is the scheduler: half if it is the next in line, to
// which entries turn that can't reach the scheduler, and else none. A limit of a few
// requests a second divided among all entries would let none through.
func (m *members) rateLimitShare(now time.Time, service string) float64 {
	fit := m.fitToSchedule(now)
	if !fit(m.self) {
		return 0
	}
	before := 0
	weight := mesh.RendezvousWeight(service, m.self.ID)
	for _, known := range m.byID {
		if m.maySchedule(now, known) && fit(known.memberMessage) && mesh.RendezvousWeight(service, known.ID) > weight {
			before++
		}
	}
	if before > 1 {
		return 0
	}
	return nextInLineShare
}

// maySchedule reports whether the entry is ready, was heard recently and is not
// suspected of having failed.
func (m *members) maySchedule(now time.Time, known *member) bool {
	return known.State == memberReady && now.Sub(known.lastHeard) <= m.timeouts.scheduler() && !now.Before(known.suspectUntil)
}

// schedulers returns the peer addresses of the entries that schedule the services.
func (m *members) schedulers(now time.Time, services []string) map[string]bool {
	out := make(map[string]bool)
	for _, service := range services {
		if known := m.scheduler(now, service); known != nil {
			out[known.PeerAddress] = true
		}
	}
	return out
}

// watchesStore reports whether this entry should watch the store: whether it is
// among the first storeWatcherCount entries in an order that is the same for all
// entries, not counting entries to which the store does not respond.
func (m *members) watchesStore(now time.Time) bool {
	others := m.storeWatchers(now)
	weight := mesh.RendezvousWeight(watcherHashKey, m.self.ID)
	return len(others) < storeWatcherCount || mesh.RendezvousWeight(watcherHashKey, others[len(others)-1].ID) > weight
}

// storeWatchers returns the first storeWatcherCount other entries to which the store
// responds, in an order that is the same for all entries.
func (m *members) storeWatchers(now time.Time) []*member {
	watchers := m.live(now, m.timeouts.scheduler())
	watchers = slices.DeleteFunc(watchers, func(known *member) bool {
		return known.State == memberLeaving || now.Sub(known.storeAnsweredAt) >= maxStoreAge
	})
	slices.SortFunc(watchers, func(a, b *member) int {
		return cmp.Compare(mesh.RendezvousWeight(watcherHashKey, a.ID), mesh.RendezvousWeight(watcherHashKey, b.ID))
	})
	return watchers[:min(storeWatcherCount, len(watchers))]
}

// heartbeatTargets returns the addresses to which heartbeats may be sent: those
// of known entries, and seeds at which no entry is known.
func (m *members) heartbeatTargets() []string {
	var out []string
	for _, known := range m.byID {
		out = append(out, known.PeerAddress)
	}
	for _, seed := range m.seeds {
		if seed != m.self.PeerAddress && !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	slices.Sort(out)
	return out
}

// relays returns the peer addresses of the other entries that reach servers, those with the
// fewest tunnels for their CPU first, and in weighted random order among equals.
func (m *members) relays(now time.Time) []string {
	var candidates []weightedAddress
	for _, known := range m.live(now, m.timeouts.scheduler()) {
		if known.State == memberReady {
			candidates = append(candidates, m.weighLoaded(known.PeerAddress, known.CPUCores, known.tunnels))
		}
	}
	return inOrder(candidates)
}

// weightedAddress is an address with a random key, by which addresses of entries with more
// CPU are more often first.
type weightedAddress struct {
	address string
	key     float64
}

func (m *members) weigh(address string, cpuCores float64) weightedAddress {
	return m.weighLoaded(address, cpuCores, 0)
}

// weighLoaded is weigh for an entry that serves so many tunnels.
func (m *members) weighLoaded(address string, cpuCores float64, tunnels int) weightedAddress {
	return weightedAddress{address, (float64(tunnels) + m.random.ExpFloat64()) / max(minCPUCores, cpuCores)}
}

// inOrder returns the addresses in the order of their keys.
func inOrder(candidates []weightedAddress) []string {
	slices.SortFunc(candidates, func(a, b weightedAddress) int { return cmp.Compare(a.key, b.key) })
	var out []string
	for _, c := range candidates {
		out = append(out, c.address)
	}
	return out
}

// addresses returns the caller addresses of ready entries in weighted random order. Callers
// that can't use all of them take the first ones, where entries with more CPU appear more
// often. Entries that are cut off from the servers are left out while the others have most of
// the CPU: requests through other entries cost both of them.
func (m *members) addresses(now time.Time) []string {
	var ready, cutOff []weightedAddress
	readyCores, cutOffCores := 0.0, 0.0
	add := func(entry memberMessage) {
		switch entry.State {
		case memberReady:
			ready = append(ready, m.weigh(entry.CallerAddress, entry.CPUCores))
			readyCores += entry.CPUCores
		case memberCutOff:
			cutOff = append(cutOff, m.weigh(entry.CallerAddress, entry.CPUCores))
			cutOffCores += entry.CPUCores
		}
	}
	add(m.self)
	for _, known := range m.live(now, m.timeouts.listed()) {
		add(known.memberMessage)
	}
	if len(ready) == 0 || cutOffCores > readyCores {
		ready = append(ready, cutOff...)
	}
	return inOrder(ready)
}

// cutOff returns the ids of the entries without a direct way to any server.
func (m *members) cutOff() map[string]bool {
	out := make(map[string]bool)
	if m.self.State == memberCutOff {
		out[m.self.ID] = true
	}
	for id, known := range m.byID {
		if known.State == memberCutOff {
			out[id] = true
		}
	}
	return out
}
