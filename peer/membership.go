package peer

import (
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

const (
	// minHeartbeat is the shortest time between two heartbeats to one peer.
	minHeartbeat = 500 * time.Millisecond
	// heartbeatPerEntry stretches the interval with the list, so that the
	// messages of one entry stay at fifty a second however long the list is.
	heartbeatPerEntry = 20 * time.Millisecond
	// minVouch is the shortest time for which a peer's vouch is counted.
	minVouch = 3 * time.Second
	// vouchHeartbeats is how many heartbeats a vouch outlives.
	vouchHeartbeats = 6
	// sentHeartbeats is how many sent heartbeats are remembered for their acknowledgement.
	sentHeartbeats = 64
	// clockMargin is what two clocks may drift apart within a few seconds, and
	// the time between two looks at one's own authority.
	clockMargin = 100 * time.Millisecond
	// abandonOlder is how long after a change the members of an older list
	// can keep cold servers idle by their silence.
	abandonOlder = time.Minute
)

// heartbeatInterval returns the time between two heartbeats under a list.
func heartbeatInterval(list registry.List) time.Duration {
	return max(minHeartbeat, time.Duration(list.Len())*heartbeatPerEntry)
}

// vouchValidity returns for how long a vouch counts after the heartbeat that
// it answers was sent.
func vouchValidity(list registry.List) time.Duration {
	return max(minVouch, vouchHeartbeats*heartbeatInterval(list))
}

// member is what is known of one peer's current incarnation.
type member struct {
	owner     backend.Owner
	heard     time.Time
	seq       uint64
	offset    time.Duration
	version   int64
	lowest    int64
	echoUntil time.Time
	control   string
	last      heartbeat
}

// sentMark remembers when a heartbeat was sent.
type sentMark struct {
	seq  uint64
	time time.Time
}

// membership is what one entry knows of the entries of its region: the
// published list, and direct evidence from each.
type membership struct {
	owner     backend.Owner
	started   time.Time
	list      registry.List
	listSince time.Time
	members   map[string]*member
	seq       uint64
	sent      [sentHeartbeats]sentMark
	standing  standing
	older     olderLists
}

// newMembership returns the membership of an entry that starts now.
func newMembership(now time.Time, owner backend.Owner) membership {
	return membership{
		owner:   owner,
		started: now,
		members: make(map[string]*member),
		seq:     owner.Incarnation() >> 32,
		older:   olderLists{known: make(map[int64][]knownMember)},
	}
}

// setList takes a newer list into force and reports whether it was newer.
func (m *membership) setList(now time.Time, list registry.List) bool {
	if list.Version() <= m.list.Version() {
		return false
	}
	m.older.before = 0
	if m.established() && m.closed() {
		m.older.before = m.list.Version()
	}
	m.older.stepwise = false
	m.older.validity = max(m.older.validity, vouchValidity(m.list), vouchValidity(list))
	m.older.learn(list.Version(), membersOf(list))
	m.standing.asked()
	m.list = list
	m.listSince = now
	return true
}

// nextHeartbeat returns the numbers of the next heartbeat to all peers.
func (m *membership) nextHeartbeat(now time.Time) heartbeat {
	m.seq++
	m.sent[m.seq%sentHeartbeats] = sentMark{seq: m.seq, time: now}
	return heartbeat{
		Seq:    m.seq,
		Clock:  m.clock(now),
		List:   m.list.Version(),
		Lowest: m.standing.lowest,
		Floor:  m.older.floor,
		Lists:  m.knownDigest(),
		Silent: m.silent(now),
	}
}

// clock returns the time on this incarnation's own clock, in nanoseconds.
func (m *membership) clock(now time.Time) int64 {
	return now.Sub(m.started).Nanoseconds()
}

// heardFrom takes a peer's heartbeat in and reports whether the peer's
// incarnation is a new one; heartbeats of an older incarnation are not told
// apart from those of a newer one, so the transport delivers only the newest connection's.
func (m *membership) heardFrom(now time.Time, from backend.Owner, hb heartbeat) (fresh bool) {
	peer := m.members[from.Entry()]
	if peer == nil || peer.owner != from {
		peer = &member{owner: from, offset: now.Sub(m.started) - time.Duration(hb.Clock)}
		m.members[from.Entry()] = peer
		fresh = true
	}
	peer.heard = now
	peer.seq = hb.Seq
	peer.version = hb.List
	peer.lowest = hb.Lowest
	peer.last = hb
	peer.offset = min(peer.offset, now.Sub(m.started)-time.Duration(hb.Clock))
	if hb.Control != "" {
		peer.control = hb.Control
	}
	m.hearEcho(now, peer, hb)
	return fresh
}

// hearEcho takes what a heartbeat answers: it counts from when the heartbeat
// that it acknowledges was sent.
func (m *membership) hearEcho(now time.Time, peer *member, hb heartbeat) {
	mark := m.sent[hb.AckSeq%sentHeartbeats]
	if hb.AckSeq != 0 && mark.seq == hb.AckSeq {
		peer.echoUntil = later(peer.echoUntil, mark.time.Add(vouchValidity(m.list)))
		m.askStanding(now, peer, mark.time)
	}
	for _, list := range hb.Known {
		m.older.learn(list.Version, list.Members)
	}
	m.closeOlder(now)
}

// peerTime returns when, on this entry's clock, a peer's clock showed the
// given time; the error is at most the shortest delay of a heartbeat.
func (m *membership) peerTime(from backend.Owner, clock int64) (time.Time, bool) {
	peer := m.members[from.Entry()]
	if peer == nil || peer.owner != from {
		return time.Time{}, false
	}
	return m.started.Add(time.Duration(clock) + peer.offset), true
}

// silent returns the listed entries that have said their last word, or were
// not heard for a vouch's validity.
func (m *membership) silent(now time.Time) []string {
	var out []string
	limit := vouchValidity(m.list)
	for _, entry := range m.list.All() {
		if entry.ID() == m.owner.Entry() {
			continue
		}
		if m.ended(entry.ID()) || now.Sub(m.lastHeard(entry.ID())) > limit {
			out = append(out, entry.ID())
		}
	}
	return out
}

// ended reports whether an entry has said that it stops.
func (m *membership) ended(entry string) bool {
	peer := m.members[entry]
	return peer != nil && peer.last.Ends
}

// lastHeard returns when an entry was last heard; one never heard counts as
// heard when the list that names it came into force.
func (m *membership) lastHeard(entry string) time.Time {
	if peer := m.members[entry]; peer != nil {
		return peer.heard
	}
	return m.listSince
}

// agreedSilent returns the entries that a majority of the list, as far as it
// is heard, calls silent.
func (m *membership) agreedSilent(now time.Time) map[string]bool {
	votes := make(map[string]int)
	for _, entry := range m.silent(now) {
		votes[entry]++
	}
	limit := vouchValidity(m.list)
	for _, entry := range m.list.All() {
		peer := m.members[entry.ID()]
		if peer == nil || now.Sub(peer.heard) > limit {
			continue
		}
		for _, name := range peer.last.Silent {
			votes[name]++
		}
	}
	agreed := make(map[string]bool)
	for entry, count := range votes {
		if 2*count > m.list.Len() || m.ended(entry) {
			agreed[entry] = true
		}
	}
	return agreed
}

// forget drops members that are neither listed nor heard for a while and
// returns their owners.
func (m *membership) forget(now time.Time, after time.Duration) []backend.Owner {
	var gone []backend.Owner
	for name, peer := range m.members {
		if m.awaited(name) || now.Sub(peer.heard) < after {
			continue
		}
		gone = append(gone, peer.owner)
		delete(m.members, name)
	}
	return gone
}

// awaited reports whether an entry is in the list, or in an older one that is not closed.
func (m *membership) awaited(entry string) bool {
	if _, listed := m.list.Find(entry); listed {
		return true
	}
	return m.older.names(entry, m.list.Version())
}

// targets returns the entries to send heartbeats to, with the IP and port on
// which each hears its peers: the listed ones, those of older lists that are
// not closed, and whoever was heard lately and so waits for an echo.
func (m *membership) targets(now time.Time) map[string]string {
	out := make(map[string]string)
	for version, members := range m.older.known {
		for _, entry := range members {
			if version >= m.older.floor {
				out[entry.Entry] = entry.Control
			}
		}
	}
	for name, peer := range m.members {
		if peer.control != "" && now.Sub(peer.heard) < vouchValidity(m.list) {
			out[name] = peer.control
		}
	}
	for _, entry := range m.list.All() {
		out[entry.ID()] = entry.ControlAddress()
	}
	delete(out, m.owner.Entry())
	return out
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
