package peer

import (
	"slices"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

const (
	// minHeartbeat is the shortest time between two heartbeats to one peer.
	minHeartbeat = 500 * time.Millisecond
	// heartbeatPerEntry stretches the interval with the length of the list, so
	// that one entry sends at most fifty heartbeats a second however long the
	// list is.
	heartbeatPerEntry = 20 * time.Millisecond
	// minLease is the shortest duration of a lease: how long a peer's
	// confirmation of a list version counts.
	minLease = 3 * time.Second
	// leaseHeartbeats is the duration of a lease in heartbeat intervals.
	leaseHeartbeats = 6
	// sentHeartbeatHistory is how many sent heartbeats are kept to match
	// acknowledgements.
	sentHeartbeatHistory = 64
	// clockMargin is the maximum drift between two clocks within a few seconds,
	// and the time between two checks of this entry's own lease.
	clockMargin = 100 * time.Millisecond
	// retireOlderAfter is how long after a change of the list the members of an
	// older list can keep cold servers idle by being unreachable.
	retireOlderAfter = time.Minute
)

// heartbeatInterval returns the time between two heartbeats to one peer under a
// list.
func heartbeatInterval(list registry.List) time.Duration {
	return max(minHeartbeat, time.Duration(list.Len())*heartbeatPerEntry)
}

// leaseDuration returns how long a peer's confirmation counts, from the time at
// which the heartbeat that it acknowledges was sent. An entry that was not
// heard for this long is taken to be unreachable.
func leaseDuration(list registry.List) time.Duration {
	return max(minLease, leaseHeartbeats*heartbeatInterval(list))
}

// member is what this entry knows of a peer's current incarnation.
type member struct {
	owner              backend.Owner
	lastHeard          time.Time
	heardSince         time.Time // without a gap of a lease's duration
	lastSeq            uint64
	clockOffset        time.Duration
	listVersion        int64
	establishedVersion int64
	leaseUntil         time.Time
	controlAddress     string
	lastHeartbeat      heartbeat
	understood         []messageKind // nil if the peer states nothing
}

// sentHeartbeat records when a heartbeat was sent.
type sentHeartbeat struct {
	seq  uint64
	time time.Time
}

// membership is what one entry knows of the entries of its region: the
// published list, and what each entry's heartbeats report.
type membership struct {
	owner           backend.Owner
	startedAt       time.Time
	list            registry.List
	listActiveSince time.Time
	members         map[string]*member
	seq             uint64
	sentHeartbeats  [sentHeartbeatHistory]sentHeartbeat
	establishment   establishment
	olderLists      olderLists
}

// newMembership returns the membership of an entry that starts now.
func newMembership(now time.Time, owner backend.Owner) membership {
	return membership{
		owner:      owner,
		startedAt:  now,
		members:    make(map[string]*member),
		seq:        owner.Incarnation() >> 32,
		olderLists: olderLists{lists: make(map[int64][]knownMember)},
	}
}

// setList activates a list if it is newer than the active one, and reports
// whether it was.
func (m *membership) setList(now time.Time, list registry.List) bool {
	if list.Version() <= m.list.Version() {
		return false
	}
	m.olderLists.previous = 0
	if m.established() && m.olderRetired() {
		m.olderLists.previous = m.list.Version()
	}
	m.olderLists.onlyPrevious = false
	m.olderLists.maxLease = max(m.olderLists.maxLease, leaseDuration(m.list), leaseDuration(list))
	m.olderLists.add(list.Version(), knownMembers(list))
	m.establishment.reset()
	m.list = list
	m.listActiveSince = now
	return true
}

// nextHeartbeat returns the next heartbeat, without the fields that differ by
// peer or come from the Node.
func (m *membership) nextHeartbeat(now time.Time) heartbeat {
	m.seq++
	m.sentHeartbeats[m.seq%sentHeartbeatHistory] = sentHeartbeat{seq: m.seq, time: now}
	return heartbeat{
		Seq:                m.seq,
		Clock:              m.localClock(now),
		ListVersion:        m.list.Version(),
		EstablishedVersion: m.establishment.version,
		RetiredBelow:       m.olderLists.retiredBelow,
		ListsDigest:        m.knownListsDigest(),
		SilentEntries:      m.silentEntries(now),
	}
}

// localClock returns the time since this incarnation started, in nanoseconds.
func (m *membership) localClock(now time.Time) int64 {
	return now.Sub(m.startedAt).Nanoseconds()
}

// receiveHeartbeat records a peer's heartbeat and reports whether it is the
// first of a new incarnation. It can't tell an older incarnation from a newer
// one, so the transport must deliver the messages of the newest connection
// only.
func (m *membership) receiveHeartbeat(now time.Time, from backend.Owner, hb heartbeat) (newIncarnation bool) {
	peer := m.members[from.Entry()]
	if peer == nil || peer.owner != from {
		peer = &member{owner: from, clockOffset: now.Sub(m.startedAt) - time.Duration(hb.Clock)}
		m.members[from.Entry()] = peer
		newIncarnation = true
	}
	if now.Sub(peer.lastHeard) >= leaseDuration(m.list) {
		peer.heardSince = now
	}
	peer.lastHeard = now
	peer.lastSeq = hb.Seq
	peer.listVersion = hb.ListVersion
	peer.establishedVersion = hb.EstablishedVersion
	peer.lastHeartbeat = hb
	peer.clockOffset = min(peer.clockOffset, now.Sub(m.startedAt)-time.Duration(hb.Clock))
	if hb.ControlAddress != "" {
		peer.controlAddress = hb.ControlAddress
	}
	m.processAck(now, peer, hb)
	return newIncarnation
}

// noteUnderstood records the kinds of messages that a peer's current incarnation understands.
func (m *membership) noteUnderstood(from backend.Owner, kinds []messageKind) {
	if peer := m.members[from.Entry()]; peer != nil && peer.owner == from {
		peer.understood = kinds
	}
}

// understands reports whether a kind of message may be sent to an entry: every version
// understands it, or the entry has stated that it does.
func (m *membership) understands(entry string, kind messageKind) bool {
	if slices.Contains(originalKinds, kind) {
		return true
	}
	peer := m.members[entry]
	return peer != nil && slices.Contains(peer.understood, kind)
}

// processAck extends the lease that the peer grants by acknowledging a
// heartbeat. The lease counts from when that heartbeat was sent.
func (m *membership) processAck(now time.Time, peer *member, hb heartbeat) {
	acked := m.sentHeartbeats[hb.AckSeq%sentHeartbeatHistory]
	if hb.AckSeq != 0 && acked.seq == hb.AckSeq {
		peer.leaseUntil = later(peer.leaseUntil, acked.time.Add(leaseDuration(m.list)))
		m.recordAck(now, peer, acked.time)
	}
	for _, list := range hb.KnownLists {
		m.olderLists.add(list.Version, list.Members)
	}
	m.retireOlder(now)
}

// toLocalTime converts a time on a peer's clock to this entry's clock. The
// error is at most the shortest delay of a heartbeat from the peer.
func (m *membership) toLocalTime(from backend.Owner, clock int64) (time.Time, bool) {
	peer := m.members[from.Entry()]
	if peer == nil || peer.owner != from {
		return time.Time{}, false
	}
	return m.startedAt.Add(time.Duration(clock) + peer.clockOffset), true
}

// silentEntries returns the listed entries that have stopped or were not heard
// for the duration of a lease.
func (m *membership) silentEntries(now time.Time) []string {
	var out []string
	limit := leaseDuration(m.list)
	for _, entry := range m.list.All() {
		if entry.ID() == m.owner.Entry() {
			continue
		}
		if m.hasStopped(entry.ID()) || now.Sub(m.lastHeard(entry.ID())) > limit {
			out = append(out, entry.ID())
		}
	}
	return out
}

// hasStopped reports whether an entry has announced that it stops.
func (m *membership) hasStopped(entry string) bool {
	peer := m.members[entry]
	return peer != nil && peer.lastHeartbeat.Stopping
}

// lastHeard returns when an entry was last heard. One that was never heard
// counts as heard when the list that names it became active.
func (m *membership) lastHeard(entry string) time.Time {
	if peer := m.members[entry]; peer != nil {
		return peer.lastHeard
	}
	return m.listActiveSince
}

// majoritySilent returns the entries that have stopped or that a majority of
// the list reports as silent.
func (m *membership) majoritySilent(now time.Time) map[string]bool {
	votes := make(map[string]int)
	for _, entry := range m.silentEntries(now) {
		votes[entry]++
	}
	limit := leaseDuration(m.list)
	for _, entry := range m.list.All() {
		peer := m.members[entry.ID()]
		if peer == nil || now.Sub(peer.lastHeard) > limit {
			continue
		}
		for _, name := range peer.lastHeartbeat.SilentEntries {
			votes[name]++
		}
	}
	agreed := make(map[string]bool)
	for entry, count := range votes {
		if 2*count > m.list.Len() || m.hasStopped(entry) {
			agreed[entry] = true
		}
	}
	return agreed
}

// forgetMembers drops the members that are in no active list and were not heard
// for the given time, and returns their incarnations.
func (m *membership) forgetMembers(now time.Time, after time.Duration) []backend.Owner {
	var gone []backend.Owner
	for name, peer := range m.members {
		if m.inUnretiredList(name) || now.Sub(peer.lastHeard) < after {
			continue
		}
		gone = append(gone, peer.owner)
		delete(m.members, name)
	}
	return gone
}

// inUnretiredList reports whether an entry is in the active list or in an older
// one that is not retired.
func (m *membership) inUnretiredList(entry string) bool {
	if _, listed := m.list.Find(entry); listed {
		return true
	}
	return m.olderLists.hasEntry(entry, m.list.Version())
}

// heartbeatTargets returns the entries to send heartbeats to, with the IP and
// port on which each listens for peers: the listed ones, those of older lists
// that are not retired, and any that was heard recently and so waits for an
// acknowledgement.
func (m *membership) heartbeatTargets(now time.Time) map[string]string {
	out := make(map[string]string)
	for version, members := range m.olderLists.lists {
		for _, entry := range members {
			if version >= m.olderLists.retiredBelow {
				out[entry.Entry] = entry.ControlAddress
			}
		}
	}
	for name, peer := range m.members {
		if peer.controlAddress != "" && now.Sub(peer.lastHeard) < leaseDuration(m.list) {
			out[name] = peer.controlAddress
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
