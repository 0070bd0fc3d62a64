package gateway

import (
	"encoding/binary"
	"iter"
	"slices"
	"strconv"
	"time"

	"greengagedock.example/mesh"
)

// In a large fleet an entry sends heartbeats to few others. Liveness of the rest is
// gossiped: in each round an entry exchanges, with a few of these, the highest
// heartbeat counter known of every entry. Only a counter above the known one shows
// that an entry is alive, so the stale counters of an entry that resumes after a
// freeze do no harm.

const (
	// gossipMinEntries is the number of other entries from which an entry sends
	// heartbeats to only some of them.
	gossipMinEntries = 24
	// gossipFanout is how many random entries get a heartbeat in each round: with 5,
	// news reaches 560 entries in three rounds.
	gossipFanout = 5
	// gossipPartners is how many of these exchange counters in each round. All entries
	// need each other's counters a few times within the shortest timeout; what one
	// exchange costs grows with the fleet.
	gossipPartners = 2
	// schedulerRounds is the number of rounds, of the first startupRounds, of which one goes to
	// the schedulers as well: if all entries start at once, a scheduler with little CPU would
	// place requests late while it handles the heartbeats of all others every 80 ms.
	schedulerRounds = uint32(heartbeatInterval / startupInterval)
	// counterBytes is the encoded length of a heartbeatCounter: the entry's key,
	// its counter, and in one byte its state and the time since the store last
	// responded to it.
	counterBytes = 8 + 4 + 1
	// storeAgeUnit is the unit of that time; storeAgeNone stands for any longer one.
	storeAgeUnit = 100 * time.Millisecond
	storeAgeNone = 1<<storeAgeBits - 1
	storeAgeBits = 6
)

// memberStates lists the states in the order of their numbers in encoded counters.
var memberStates = []memberState{memberStarting, memberReady, memberLeaving, memberCutOff}

// incarnationKey returns a hash that identifies the entry's incarnation.
func (m memberMessage) incarnationKey() uint64 {
	return mesh.RendezvousWeight(m.ID, strconv.FormatUint(m.Incarnation, 10))
}

// heartbeatCounter is the last known heartbeat of an entry.
type heartbeatCounter struct {
	key        uint64
	heartbeats uint32
	state      memberState
	// storeAge is the time since the store last responded to the entry, in units of
	// storeAgeUnit.
	storeAge byte
}

// append appends the encoded counter to out.
func (c heartbeatCounter) append(out []byte) []byte {
	out = binary.BigEndian.AppendUint64(out, c.key)
	out = binary.BigEndian.AppendUint32(out, c.heartbeats)
	return append(out, byte(slices.Index(memberStates, c.state))<<storeAgeBits|c.storeAge)
}

// decodeCounters returns the counters that are encoded in full; trailing bytes are
// ignored. A state unknown to this version is empty.
func decodeCounters(encoded []byte) iter.Seq[heartbeatCounter] {
	return func(yield func(heartbeatCounter) bool) {
		for ; len(encoded) >= counterBytes; encoded = encoded[counterBytes:] {
			counter := heartbeatCounter{
				key:        binary.BigEndian.Uint64(encoded),
				heartbeats: binary.BigEndian.Uint32(encoded[8:]),
				storeAge:   encoded[12] & storeAgeNone,
			}
			if state := int(encoded[12] >> storeAgeBits); state < len(memberStates) {
				counter.state = memberStates[state]
			}
			if !yield(counter) {
				return
			}
		}
	}
}

// encodeCounters returns the counters of the entries that are live, nil in a fleet too
// small for gossip.
func (m *members) encodeCounters(now time.Time) []byte {
	if len(m.byID) < gossipMinEntries {
		return nil
	}
	out := make([]byte, 0, counterBytes*len(m.byID))
	for _, known := range m.byID {
		if now.Sub(known.lastHeard) > m.timeouts.listed() {
			continue
		}
		age := min(storeAgeNone, now.Sub(known.storeAnsweredAt)/storeAgeUnit)
		out = heartbeatCounter{key: known.key, heartbeats: known.Heartbeats, state: known.State, storeAge: byte(age)}.append(out)
	}
	return out
}

// mergeCounters updates the known entries from the counters that another one gossips.
func (m *members) mergeCounters(now time.Time, counters []byte) {
	for counter := range decodeCounters(counters) {
		known := m.byKey[counter.key]
		if known == nil || counter.heartbeats <= known.Heartbeats {
			continue
		}
		known.Heartbeats = counter.heartbeats
		known.lastHeard = now
		if counter.state != "" && known.State != memberLeaving {
			known.State = counter.state
		}
		known.storeAnsweredAt = time.Time{}
		if counter.storeAge != storeAgeNone {
			known.storeAnsweredAt = now.Add(-time.Duration(counter.storeAge) * storeAgeUnit)
		}
	}
}

// heartbeatTarget is an entry that gets a heartbeat in a round.
type heartbeatTarget struct {
	address string
	// exchange is set if the heartbeat and its response carry counters.
	exchange bool
	// unknown is set if the address is a seed at which no entry is known.
	unknown bool
}

// roundTargets returns the entries that get a heartbeat in this round. In a small
// fleet these are all; else the schedulers of the services, one watcher of the
// store, seeds at which no entry is known, and gossipFanout random entries.
func (m *members) roundTargets(now time.Time, services []string) []heartbeatTarget {
	all := m.heartbeatTargets()
	var out []heartbeatTarget
	addresses := make(map[string]bool, len(m.byID))
	for _, known := range m.byID {
		addresses[known.PeerAddress] = true
	}
	if len(all) < gossipMinEntries || m.self.State == memberLeaving {
		for _, address := range all {
			out = append(out, heartbeatTarget{address: address, unknown: !addresses[address]})
		}
		return out
	}
	chosen := make(map[string]bool)
	if m.self.Heartbeats >= startupRounds || m.self.Heartbeats%schedulerRounds == 0 {
		chosen = m.schedulers(now, services)
	}
	if watchers := m.storeWatchers(now); len(watchers) > 0 {
		chosen[watchers[m.random.IntN(len(watchers))].PeerAddress] = true
	}
	exchange := make(map[string]bool)
	for _, address := range all {
		if !addresses[address] {
			chosen[address], exchange[address] = true, true
		}
	}
	for n, i := range m.random.Perm(len(all))[:gossipFanout] {
		chosen[all[i]] = true
		if n < gossipPartners {
			exchange[all[i]] = true
		}
	}
	for _, address := range all {
		if chosen[address] {
			out = append(out, heartbeatTarget{address: address, exchange: exchange[address], unknown: !addresses[address]})
		}
	}
	return out
}
