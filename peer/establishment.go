package peer

import "time"

// establishment is whether an incarnation is established: whether its
// confirmations of list versions count. An incarnation that has just started
// may not know what its predecessor confirmed, so it is established only once a
// majority of its list, or all of it, is known not to have a newer list; see
// docs/design/keeper.md.
type establishment struct {
	version          int64           // list version when this incarnation was established, 0 before
	establishedPeers map[string]bool // established peers without a newer list
	peers            map[string]bool // all peers without a newer list
}

// reset discards the answers, which were for an older list.
func (s *establishment) reset() {
	s.establishedPeers = make(map[string]bool)
	s.peers = make(map[string]bool)
}

// established reports whether this incarnation is established.
func (m *membership) established() bool { return m.establishment.version > 0 }

// recordAck records the list version of a peer that acknowledged the heartbeat
// sent at the given time, while this entry is not established.
func (m *membership) recordAck(now time.Time, peer *member, sentAt time.Time) {
	if m.established() || m.list.Len() == 0 || sentAt.Before(m.establishableFrom()) {
		return
	}
	_, listed := m.list.Find(peer.owner.Entry())
	if !listed || peer.listVersion == 0 || peer.listVersion > m.list.Version() {
		return
	}
	m.establishment.peers[peer.owner.Entry()] = true
	if peer.establishedVersion > 0 {
		m.establishment.establishedPeers[peer.owner.Entry()] = true
	}
	m.tryEstablish(now)
}

// establishableFrom returns when the confirmations of an earlier incarnation
// have expired.
func (m *membership) establishableFrom() time.Time {
	return m.startedAt.Add(leaseDuration(m.list) + clockMargin)
}

// tryEstablish establishes this incarnation if a majority of its list is
// established and has no newer list, or if no other member has a newer list. If
// in the latter case none is established, the members found the list anew and
// older lists are retired.
func (m *membership) tryEstablish(now time.Time) {
	if m.established() || m.list.Len() == 0 || now.Before(m.establishableFrom()) {
		return
	}
	if _, listed := m.list.Find(m.owner.Entry()); !listed {
		return
	}
	majority := 2*len(m.establishment.establishedPeers) > m.list.Len()
	all := len(m.establishment.peers) == m.list.Len()-1
	if !majority && !all {
		return
	}
	m.establishment.version = m.list.Version()
	if all && len(m.establishment.establishedPeers) == 0 {
		m.retireBelow(now, m.list.Version())
	}
}
