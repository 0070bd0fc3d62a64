package peer

import (
	"strconv"
	"time"

	"greengagedock.example/mesh"
	"greengagedock.example/registry"
)

// olderLists are the versions of the entry list that a keeper must know to be
// without a majority before it gives a cold server work.
type olderLists struct {
	floor    int64                   // every list below it is closed, 0 if none is known to be
	known    map[int64][]knownMember // lists from the floor on
	closedAt time.Time               // when the floor reached the list in force
	validity time.Duration           // longest validity of a vouch under the lists that were closed
	before   int64                   // list that was in force before, if all older ones were closed then, else 0
	stepwise bool                    // only that list had to be closed, and this entry saw that itself
}

// maxKnownLists bounds the lists that are remembered; beyond it the oldest
// are forgotten, and so is the floor below them.
const maxKnownLists = 64

// learn notes a list that an entry had or has.
func (o *olderLists) learn(version int64, members []knownMember) {
	if version < o.floor || len(o.known) >= maxKnownLists {
		return
	}
	o.known[version] = members
}

// names reports whether an entry is in a known list from the floor on that is
// older than a version.
func (o *olderLists) names(entry string, below int64) bool {
	for version, members := range o.known {
		if version < o.floor || version >= below {
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

// membersOf returns the members of a list as they are told to peers.
func membersOf(list registry.List) []knownMember {
	out := make([]knownMember, 0, list.Len())
	for _, entry := range list.All() {
		out = append(out, knownMember{Entry: entry.ID(), Control: entry.ControlAddress()})
	}
	return out
}

// knownLists returns the known lists from the floor on, as they are told to peers.
func (m *membership) knownLists() []knownList {
	var out []knownList
	for version, members := range m.older.known {
		if version >= m.older.floor && version <= m.list.Version() {
			out = append(out, knownList{Version: version, Members: members})
		}
	}
	return out
}

// knownDigest returns a digest of the versions of the known lists.
func (m *membership) knownDigest() uint64 {
	var digest uint64
	for version := range m.older.known {
		if version >= m.older.floor && version <= m.list.Version() {
			digest ^= mesh.RendezvousWeight("list", strconv.FormatInt(version, 10))
		}
	}
	return digest
}

// setFloor notes that every list below a version is closed.
func (m *membership) setFloor(now time.Time, floor int64) {
	if floor <= m.older.floor || floor > m.list.Version() {
		return
	}
	m.older.floor = floor
	for version := range m.older.known {
		if version < floor {
			delete(m.older.known, version)
		}
	}
	if floor == m.list.Version() {
		m.older.closedAt = now
	}
}

// closed reports whether every list older than the one in force is closed.
func (m *membership) closed() bool {
	return m.list.Len() > 0 && m.older.floor == m.list.Version()
}

// closeOlder closes the older lists if at this moment a majority of each is
// known to have left it, or if an established peer knows that they are closed.
func (m *membership) closeOlder(now time.Time) {
	if !m.established() || m.closed() {
		return
	}
	for _, peer := range m.members {
		if peer.lowest > 0 && peer.version <= m.list.Version() {
			m.setFloor(now, peer.last.Floor)
		}
	}
	if m.older.floor == 0 || m.closed() {
		return
	}
	switch {
	case m.allLeft(now):
		stepwise := m.onlyBefore()
		m.setFloor(now, m.list.Version())
		m.older.stepwise = stepwise
	case now.Sub(m.listSince) >= abandonOlder:
		m.setFloor(now, m.list.Version())
	}
}

// onlyBefore reports whether the list before is the only older one that is
// known of. Then nobody else can have kept, in between, a server that this
// entry kept under that list and keeps now: whoever did would have closed that
// list with a majority of its members, of which one would have told.
func (m *membership) onlyBefore() bool {
	if m.older.before == 0 || m.older.before != m.older.floor {
		return false
	}
	for version := range m.older.known {
		if version > m.older.before && version < m.list.Version() {
			return false
		}
	}
	return true
}

// allLeft reports whether a majority has left each known older list.
func (m *membership) allLeft(now time.Time) bool {
	for version, members := range m.older.known {
		if version < m.older.floor || version >= m.list.Version() {
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

// hasLeft reports whether an entry has, within one established incarnation,
// been at a list's version or below and is above it now, but not further than
// this entry.
func (m *membership) hasLeft(now time.Time, entry string, version int64) bool {
	if entry == m.owner.Entry() {
		return m.standing.lowest <= version
	}
	peer := m.members[entry]
	if peer == nil || !now.Before(peer.echoUntil) {
		return false
	}
	return peer.lowest > 0 && peer.lowest <= version &&
		peer.version > version && peer.version <= m.list.Version()
}
