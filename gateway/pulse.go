package gateway

import (
	"encoding/binary"
	"iter"
	"slices"
	"strconv"
	"time"

	"greengagedock.example/mesh"
)

// In a large fleet an entry sends heartbeats to few others. What it knows of
// the rest goes along as pulses: the count of the last heartbeat that anyone
// had of an entry. Only a count above the known one tells that the entry lives,
// so what a frozen entry says when it wakes is of no harm.

const (
	// pulseEntries is the number of other entries from which on an entry sends
	// its heartbeats to some of them only.
	pulseEntries = 24
	// pulseTargets is how many entries are drawn for each round of heartbeats:
	// news reaches 560 entries in three rounds.
	pulseTargets = 5
	// pulseBytes is the length of one pulse: the entry's key and its count, and
	// in one byte its state and how long ago the store answered it.
	pulseBytes = 8 + 4 + 1
	// storeAgeUnit is the unit of that age, and storeAgeNone stands for longer ones.
	storeAgeUnit = 100 * time.Millisecond
	storeAgeNone = 1<<storeAgeBits - 1
	storeAgeBits = 6
)

// memberStates are the states in the order of their numbers in pulses.
var memberStates = []memberState{memberStarting, memberReady, memberLeaving}

// pulseKey returns the key of an entry's incarnation.
func (m memberMessage) pulseKey() uint64 {
	return mesh.RendezvousWeight(m.ID, strconv.FormatUint(m.Incarnation, 10))
}

// pulse is what an entry knows of another.
type pulse struct {
	key   uint64
	beats uint32
	state memberState
	// storeAge is how long ago the store answered the entry, in storeAgeUnits.
	storeAge byte
}

// append adds the pulse to encoded ones.
func (p pulse) append(out []byte) []byte {
	out = binary.BigEndian.AppendUint64(out, p.key)
	out = binary.BigEndian.AppendUint32(out, p.beats)
	return append(out, byte(slices.Index(memberStates, p.state))<<storeAgeBits|p.storeAge)
}

// decodePulses returns encoded pulses as far as they are whole; a state that is
// not known here is empty.
func decodePulses(encoded []byte) iter.Seq[pulse] {
	return func(yield func(pulse) bool) {
		for ; len(encoded) >= pulseBytes; encoded = encoded[pulseBytes:] {
			p := pulse{
				key:      binary.BigEndian.Uint64(encoded),
				beats:    binary.BigEndian.Uint32(encoded[8:]),
				storeAge: encoded[12] & storeAgeNone,
			}
			if state := int(encoded[12] >> storeAgeBits); state < len(memberStates) {
				p.state = memberStates[state]
			}
			if !yield(p) {
				return
			}
		}
	}
}

// pulses returns what this entry knows of those that it heard of lately.
func (m *members) pulses(now time.Time) []byte {
	if len(m.byID) < pulseEntries {
		return nil
	}
	out := make([]byte, 0, pulseBytes*len(m.byID))
	for _, known := range m.byID {
		if now.Sub(known.heardAt) > addressSilence {
			continue
		}
		age := min(storeAgeNone, now.Sub(known.storeAt)/storeAgeUnit)
		out = pulse{key: known.key, beats: known.Beats, state: known.State, storeAge: byte(age)}.append(out)
	}
	return out
}

// takePulses takes what another entry knows of third ones.
func (m *members) takePulses(now time.Time, pulses []byte) {
	for p := range decodePulses(pulses) {
		known := m.byKey[p.key]
		if known == nil || p.beats <= known.Beats {
			continue
		}
		known.Beats = p.beats
		known.heardAt = now
		if p.state != "" && known.State != memberLeaving {
			known.State = p.state
		}
		known.storeAt = time.Time{}
		if p.storeAge != storeAgeNone {
			known.storeAt = now.Add(-time.Duration(p.storeAge) * storeAgeUnit)
		}
	}
}

// roundTargets returns the addresses that get a heartbeat in this round: all of
// them in a small fleet, else those that place the services' requests, one that
// watches the store, seeds of which no entry is known, and some that are drawn.
func (m *members) roundTargets(now time.Time, services []string) []string {
	all := m.targets()
	if len(all) < pulseEntries || m.self.State == memberLeaving {
		return all
	}
	chosen := m.placers(now, services)
	if watchers := m.watchers(now); len(watchers) > 0 {
		chosen[watchers[m.random.IntN(len(watchers))].Peers] = true
	}
	addresses := make(map[string]bool, len(m.byID))
	for _, known := range m.byID {
		addresses[known.Peers] = true
	}
	for _, address := range all {
		if !addresses[address] {
			chosen[address] = true
		}
	}
	for _, i := range m.random.Perm(len(all))[:pulseTargets] {
		chosen[all[i]] = true
	}
	return slices.DeleteFunc(all, func(address string) bool { return !chosen[address] })
}
