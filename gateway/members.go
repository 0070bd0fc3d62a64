package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// beatInterval is the time between two heartbeats to each entry.
	beatInterval = 400 * time.Millisecond
	// beatTimeout bounds the wait for the answer to a heartbeat.
	beatTimeout = 900 * time.Millisecond
	// placerSilence is how long an entry that places requests may be silent
	// before another does: three heartbeats.
	placerSilence = 1200 * time.Millisecond
	// addressSilence is how long the directory names a silent entry.
	addressSilence = 2 * time.Second
	// memberSilence is how long a silent entry is remembered and called.
	memberSilence = 15 * time.Second
	// suspectTime is how long an entry that did not answer a call places nothing.
	suspectTime = time.Second
)

// memberState says what an entry does.
type memberState string

// The states of entries.
const (
	memberStarting memberState = "starting"
	memberReady    memberState = "ready"
	memberLeaving  memberState = "leaving"
)

// member is another entry as this one knows it.
type member struct {
	memberMessage
	heardAt      time.Time
	suspectUntil time.Time
}

// members are the other entries.
type members struct {
	self  memberMessage
	byID  map[string]*member
	seeds []string
}

// heard takes what an entry says of itself, and reports whether it is news.
func (m *members) heard(now time.Time, from memberMessage) bool {
	if from.ID == m.self.ID {
		return false
	}
	known := m.byID[from.ID]
	if known == nil || known.Incarnation < from.Incarnation {
		m.byID[from.ID] = &member{memberMessage: from, heardAt: now}
		return true
	}
	if known.Incarnation > from.Incarnation {
		return false
	}
	changed := known.State != from.State
	if known.State != memberLeaving {
		known.memberMessage = from
	}
	known.heardAt = now
	return changed
}

// told takes what another entry says of an entry that this one does not know.
func (m *members) told(other memberMessage) bool {
	if other.ID == m.self.ID || m.byID[other.ID] != nil {
		return false
	}
	m.byID[other.ID] = &member{memberMessage: other}
	return true
}

// expire forgets the entries that have been silent for long and returns them.
func (m *members) expire(now time.Time) []*member {
	var gone []*member
	for id, known := range m.byID {
		if known.heardAt.IsZero() {
			known.heardAt = now.Add(-addressSilence)
		}
		if now.Sub(known.heardAt) > memberSilence {
			delete(m.byID, id)
			gone = append(gone, known)
		}
	}
	return gone
}

// audible returns the entries that were heard lately, in order.
func (m *members) audible(now time.Time, silence time.Duration) []*member {
	var out []*member
	for _, known := range m.byID {
		if now.Sub(known.heardAt) < silence {
			out = append(out, known)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// placer returns the entry that places a service's requests, nil for this one:
// the highest in rendezvous hashing of those that take requests.
func (m *members) placer(now time.Time, service string) *member {
	var best *member
	bestRank := uint64(0)
	if m.self.State == memberReady {
		bestRank = placerRank(service, m.self.ID)
	}
	for _, known := range m.byID {
		if known.State != memberReady || now.Sub(known.heardAt) > placerSilence || now.Before(known.suspectUntil) {
			continue
		}
		if rank := placerRank(service, known.ID); rank > bestRank {
			best, bestRank = known, rank
		}
	}
	return best
}

func placerRank(service, entry string) uint64 {
	return xxhash.Sum64String(service + "\x00" + entry)
}

// targets returns the addresses to send heartbeats to: known entries, and
// seeds of which no entry is known.
func (m *members) targets() []string {
	var out []string
	for _, known := range m.byID {
		out = append(out, known.Peers)
	}
	for _, seed := range m.seeds {
		if seed != m.self.Peers && !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	slices.Sort(out)
	return out
}

// addresses returns where callers of a failure domain are to connect.
func (m *members) addresses(now time.Time) []string {
	var out []string
	if m.self.State == memberReady {
		out = append(out, m.self.Callers)
	}
	for _, known := range m.audible(now, addressSilence) {
		if known.State == memberReady {
			out = append(out, known.Callers)
		}
	}
	return out
}
