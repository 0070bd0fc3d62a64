package peer

import "time"

// standing is whether this incarnation's word counts. One that has just
// started may have forgotten what it vouched for before, so its word counts
// only once a majority of its list, or all of it, is known to be no further
// than itself; see docs/design/keeper.md.
type standing struct {
	lowest   int64           // list version when it was established, 0 before
	answered map[string]bool // established peers that are no further
	reached  map[string]bool // peers that are no further, established or not
}

// asked forgets the answers, which were for an older list.
func (s *standing) asked() {
	s.answered = make(map[string]bool)
	s.reached = make(map[string]bool)
}

// established reports whether this incarnation's word counts.
func (m *membership) established() bool { return m.standing.lowest > 0 }

// askStanding takes a peer's answer to a heartbeat that was sent at asked,
// while this entry is not established yet.
func (m *membership) askStanding(now time.Time, peer *member, asked time.Time) {
	if m.established() || m.list.Len() == 0 || asked.Before(m.mayAsk()) {
		return
	}
	_, listed := m.list.Find(peer.owner.Entry())
	if !listed || peer.version == 0 || peer.version > m.list.Version() {
		return
	}
	m.standing.reached[peer.owner.Entry()] = true
	if peer.lowest > 0 {
		m.standing.answered[peer.owner.Entry()] = true
	}
	m.tryEstablish(now)
}

// mayAsk returns when what an earlier incarnation vouched for has run out.
func (m *membership) mayAsk() time.Time {
	return m.started.Add(vouchValidity(m.list) + clockMargin)
}

// tryEstablish establishes this entry if a majority of its list has answered
// that it is established and no further; or if every other member has answered
// that it is no further: then, if none was established, they found the list anew.
func (m *membership) tryEstablish(now time.Time) {
	if m.established() || m.list.Len() == 0 || now.Before(m.mayAsk()) {
		return
	}
	if _, listed := m.list.Find(m.owner.Entry()); !listed {
		return
	}
	most := 2*len(m.standing.answered) > m.list.Len()
	all := len(m.standing.reached) == m.list.Len()-1
	if !most && !all {
		return
	}
	m.standing.lowest = m.list.Version()
	if all && len(m.standing.answered) == 0 {
		m.setFloor(now, m.list.Version())
	}
}
