package peer

import (
	"time"

	"greengagedock.example/backend"
)

// authority reports whether this entry may hand out the load of cold servers
// that it keeps under the list in force, as far as peers have a say in it:
//
//   - It is established, and every older list is closed: none has a majority
//     that could vouch for another keeper.
//   - A strict majority of the list, this entry included, vouches for exactly
//     this version by echoes that are valid beyond the next look.
//
// The rule and its counter-examples are in docs/design/keeper.md, its
// specification in model/keeper.pml.
func (m *membership) authority(now time.Time) bool {
	if _, listed := m.list.Find(m.owner.Entry()); !listed {
		return false
	}
	return m.established() && m.closed() && 2*m.vouches(now) > m.list.Len()
}

// authorityFrom returns from when authority may be used: what a keeper under
// an older list granted has been started by then.
func (m *membership) authorityFrom() time.Time {
	return m.older.closedAt.Add(max(m.older.validity, vouchValidity(m.list)) + backend.StartWindow + clockMargin)
}

// vouches counts the listed entries that vouch for the list in force.
func (m *membership) vouches(now time.Time) int {
	count := 0
	for _, entry := range m.list.All() {
		peer := m.members[entry.ID()]
		switch {
		case entry.ID() == m.owner.Entry():
			count++
		case peer != nil && peer.lowest > 0 && peer.version == m.list.Version() && now.Add(clockMargin).Before(peer.echoUntil):
			count++
		}
	}
	return count
}
