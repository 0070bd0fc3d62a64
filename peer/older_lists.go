package peer

import (
	"strconv"
	"time"

	"greengagedock.example/mesh"
	"greengagedock.example/registry"
)

// olderLists are the older versions of the entry list. Each must be retired,
// that is be without a majority that could confirm a keeper, before the keepers
// under the active list give cold servers work.
type olderLists struct {
	retiredBelow int64                   // every list below this version is retired, 0 if that is not known of any
	lists        map[int64][]knownMember // members by version, from retiredBelow on
	retiredAt    time.Time               // when the last list older than the active one was retired
	maxLease     time.Duration           // longest lease duration of the retired lists
	previous     int64                   // previously active list, if all older ones were retired then, else 0
	onlyPrevious bool                    // previous was the only list to retire, and this entry saw a majority leave it
}

// maxKnownLists bounds the lists that are remembered; further ones are ignored.
const maxKnownLists = 64

// add records a list that is or was active at an entry.
func (o *olderLists) add(version int64, members []knownMember) {
	if version < o.retiredBelow || len(o.lists) >= maxKnownLists {
		return
	}
	o.lists[version] = members
}

// hasEntry reports whether an entry is in a list that is not retired and is
// older than the given version.
func (o *olderLists) hasEntry(entry string, below int64) bool {
	for version, members := range o.lists {
		if version < o.retiredBelow || version >= below {
			continue
		}
		for _, member := range members {
			if member.Entry == entry {
				return true
			}
		}
	}
	return false
}

// knownMembers returns the members of a list in wire form.
func knownMembers(list registry.List) []knownMember {
	out := make([]knownMember, 0, list.Len())
	for _, entry := range list.All() {
		out = append(out, knownMember{Entry: entry.ID(), ControlAddress: entry.ControlAddress()})
	}
	return out
}

// knownLists returns the lists that are not retired in wire form, up to the
// active one.
func (m *membership) knownLists() []knownList {
	var out []knownList
	for version, members := range m.olderLists.lists {
		if version >= m.olderLists.retiredBelow && version <= m.list.Version() {
			out = append(out, knownList{Version: version, Members: members})
		}
	}
	return out
}

// knownListsDigest returns a digest of the versions of the lists that are not
// retired.
func (m *membership) knownListsDigest() uint64 {
	var digest uint64
	for version := range m.olderLists.lists {
		if version >= m.olderLists.retiredBelow && version <= m.list.Version() {
			digest ^= mesh.RendezvousWeight("list", strconv.FormatInt(version, 10))
		}
	}
	return digest
}

// retireBelow records that every list older than the given version is retired.
func (m *membership) retireBelow(now time.Time, version int64) {
	if version <= m.olderLists.retiredBelow || version > m.list.Version() {
		return
	}
	m.olderLists.retiredBelow = version
	for older := range m.olderLists.lists {
		if older < version {
			delete(m.olderLists.lists, older)
		}
	}
	if version == m.list.Version() {
		m.olderLists.retiredAt = now
	}
}

// olderRetired reports whether every list older than the active one is retired.
func (m *membership) olderRetired() bool {
	return m.list.Len() > 0 && m.olderLists.retiredBelow == m.list.Version()
}

// retireOlder retires the older lists if a majority of each is known to have
// left it by now, if an established peer reports them retired, or if they have
// been older for retireOlderAfter.
func (m *membership) retireOlder(now time.Time) {
	if !m.established() || m.olderRetired() {
		return
	}
	for _, peer := range m.members {
		if peer.establishedVersion > 0 && peer.listVersion <= m.list.Version() {
			m.retireBelow(now, peer.lastHeartbeat.RetiredBelow)
		}
	}
	if m.olderLists.retiredBelow == 0 || m.olderRetired() {
		return
	}
	switch {
	case m.majoritiesLeft(now):
		previousOnly := m.onlyPreviousOpen()
		m.retireBelow(now, m.list.Version())
		m.olderLists.onlyPrevious = previousOnly
	case now.Sub(m.listActiveSince) >= retireOlderAfter:
		m.retireBelow(now, m.list.Version())
	}
}

// onlyPreviousOpen reports whether the previous list is the only older one that
// is known and not retired. Then no other entry can have kept, in between, a
// server that this entry kept under the previous list and keeps now: to do so
// it would have retired that list with a majority of its members, and one of
// them would have reported the list in between.
func (m *membership) onlyPreviousOpen() bool {
	if m.olderLists.previous == 0 || m.olderLists.previous != m.olderLists.retiredBelow {
		return false
	}
	for version := range m.olderLists.lists {
		if version > m.olderLists.previous && version < m.list.Version() {
			return false
		}
	}
	return true
}

// majoritiesLeft reports whether a majority of each known older list has left
// it.
func (m *membership) majoritiesLeft(now time.Time) bool {
	for version, members := range m.olderLists.lists {
		if version < m.olderLists.retiredBelow || version >= m.list.Version() {
			continue
		}
		left := 0
		for _, entry := range members {
			if m.hasLeft(now, entry.Entry, version) {
				left++
			}
		}
		if 2*left <= len(members) {
			return false
		}
	}
	return true
}

// hasLeft reports whether an entry, within one established incarnation, was at
// the given list version or below and is above it now, but not ahead of this
// entry.
func (m *membership) hasLeft(now time.Time, entry string, version int64) bool {
	if entry == m.owner.Entry() {
		return m.establishment.version <= version
	}
	peer := m.members[entry]
	if peer == nil || !now.Before(peer.leaseUntil) {
		return false
	}
	return peer.establishedVersion > 0 && peer.establishedVersion <= version &&
		peer.listVersion > version && peer.listVersion <= m.list.Version()
}
