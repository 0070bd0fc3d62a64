package peer

import (
	"time"

	"greengagedock.example/backend"
)

// hasQuorumLease reports whether this entry holds a quorum lease: the
// membership's part of the permission to give work to cold servers that it
// keeps under the active list. It holds one while both are true:
//
//   - This entry is established, and every older list is retired: none has
//     a majority left that could confirm another keeper.
//   - A strict majority of the list, this entry included, confirms exactly
//     this version by acknowledgements that remain valid beyond the next check.
//
// The rule and its counter-examples are in docs/design/keeper.md, its
// specification in model/keeper.pml.
func (m *membership) hasQuorumLease(now time.Time) bool {
	if _, listed := m.list.Find(m.owner.Entry()); !listed {
		return false
	}
	return m.established() && m.olderRetired() && 2*m.leaseGrants(now) > m.list.Len()
}

// quorumLeaseUsableFrom returns the time from which a quorum lease may be used:
// by then every slot that a keeper under an older list granted has been started
// or has expired.
func (m *membership) quorumLeaseUsableFrom() time.Time {
	return m.olderLists.retiredAt.Add(max(m.olderLists.maxLease, leaseDuration(m.list)) + backend.StartWindow + clockMargin)
}

// leaseGrants counts the listed entries, this one included, that confirm the
// active list version.
func (m *membership) leaseGrants(now time.Time) int {
	count := 0
	for _, entry := range m.list.All() {
		peer := m.members[entry.ID()]
		switch {
		case entry.ID() == m.owner.Entry():
			count++
		case peer != nil && peer.establishedVersion > 0 && peer.listVersion == m.list.Version() && now.Add(clockMargin).Before(peer.leaseUntil):
			count++
		}
	}
	return count
}
