package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SettleTime is how long an answer must have gone on for its request to be settled: a
// part that crashes servers does so as they begin to write.
const SettleTime = 500 * time.Millisecond

const (
	// A part is suspect from minCrashes moments at which servers ended on, or from so many,
	// up to maxCrashes, that it is there by chance once in chanceOf cases, if no other part
	// was there as often; from decisiveCrashes on it is suspect also if one was.
	minCrashes      = 3
	maxCrashes      = 5
	decisiveCrashes = 5
	chanceOf        = 1000
	// momentTime is the time within which ends of servers count as one moment.
	momentTime = 50 * time.Millisecond
	// trustTime is how long before an end of a server a settled request speaks for its
	// parts.
	trustTime = 2 * time.Second
	// maxAge is how long evidence is kept.
	maxAge = maxQuarantine
	// maxMoments, maxPrompts and maxSuspicions bound the evidence and what follows from it.
	maxMoments    = 64
	maxPrompts    = 64
	maxSuspicions = 64
	// maxRecent is the number of the last settled requests that are compared with a part.
	maxRecent = 64
	// minPruned is the number of settled parts from which old ones are forgotten.
	minPruned = 1024
)

// Registry holds the evidence about the requests of one service. Its zero value is
// ready to use. It is not safe for concurrent use.
type Registry struct {
	moments []*moment
	// counts holds the number of moments in which a part is suspect.
	counts  map[Part]int
	settled map[Part]time.Time
	// recent holds the last settled requests, the next one at recentNext.
	recent     []SettledRequest
	recentNext int
	// changed is set if the evidence changed since it was last evaluated.
	changed    bool
	suspicions map[uint64]*Suspicion
	digest     uint64
}

// SettledRequest is when a request settled, with the parts of its prompt.
type SettledRequest struct {
	at    time.Time
	parts []Part
}

// NewSettledRequest returns a request with the parts that settled at a time.
func NewSettledRequest(at time.Time, parts []Part) SettledRequest {
	return SettledRequest{at: at, parts: parts}
}

// At returns when the request settled.
func (s SettledRequest) At() time.Time { return s.at }

// Parts returns the parts of the request's prompt.
func (s SettledRequest) Parts() []Part { return s.parts }

// Settled records that a request with the parts has settled.
func (r *Registry) Settled(now time.Time, parts []Part) {
	r.remember(SettledRequest{now, parts})
	if len(parts) == 0 {
		return
	}
	if r.settled == nil {
		r.settled = make(map[Part]time.Time)
	}
	for _, part := range parts {
		r.settled[part] = now
		if r.counts[part] == 0 {
			continue
		}
		r.changed = true
		delete(r.counts, part)
		for _, m := range r.moments {
			if m.suspects[part] {
				m.suspects[part] = false
			}
		}
	}
	if len(r.settled) > minPruned {
		for part, at := range r.settled {
			if now.Sub(at) > trustTime {
				delete(r.settled, part)
			}
		}
	}
	r.clearSuspicions(now, parts)
}

// remember adds a settled request to the recent ones.
func (r *Registry) remember(settled SettledRequest) {
	if len(r.recent) < maxRecent {
		r.recent = append(r.recent, settled)
		return
	}
	r.recent[r.recentNext] = settled
	r.recentNext = (r.recentNext + 1) % maxRecent
}

// Crashed records that a server ended while a request with the parts was unsettled
// there. All requests of the server are to be reported; the order does not matter. It
// shows in the suspicions after the next call of Evaluate.
func (r *Registry) Crashed(now time.Time, server string, parts []Part) {
	if len(parts) == 0 {
		return
	}
	m := r.momentOf(now, server)
	if r.addPrompt(m, now, parts) {
		r.countCrash(now, m, parts)
		r.changed = true
	}
}

// addPrompt adds the parts of a prompt that was unsettled as a server ended at a moment, and
// reports whether it is a further one.
func (r *Registry) addPrompt(m *moment, endedAt time.Time, parts []Part) bool {
	if len(m.prompts) >= maxPrompts || slices.ContainsFunc(m.prompts, func(p []Part) bool { return slices.Equal(p, parts) }) {
		return false
	}
	m.prompts = append(m.prompts, parts)
	for _, part := range parts {
		if _, known := m.suspects[part]; known {
			continue
		}
		settledAt, settled := r.settled[part]
		m.suspects[part] = !settled || endedAt.Sub(settledAt) > trustTime
		if m.suspects[part] {
			if r.counts == nil {
				r.counts = make(map[Part]int)
			}
			r.counts[part]++
		}
	}
	return true
}

// Check reports whether a request with the parts must be refused, and after which time
// it may be let through. Requests that show after a quarantine whether their parts still
// crash servers are let through one at a time over all suspicions, and only if probe is set.
func (r *Registry) Check(now time.Time, parts []Part, probe bool) (retryAfter time.Duration, refused bool) {
	if len(r.suspicions) == 0 || len(parts) == 0 {
		return 0, false
	}
	for _, s := range r.suspicions {
		if !s.Active() || !within(s.parts, parts) {
			continue
		}
		wait := s.ReleasedAt().Sub(now)
		if next := r.nextProbe().Sub(now); next > wait {
			wait = next
		}
		if wait <= 0 && !probe {
			wait = probeTime
		}
		if wait > 0 {
			retryAfter, refused = max(retryAfter, wait), true
		}
	}
	return retryAfter, refused
}

// nextProbe returns when the next request may be let through after a quarantine.
func (r *Registry) nextProbe() time.Time {
	var last time.Time
	failed := 0
	for _, s := range r.suspicions {
		if s.Active() {
			failed += s.failedProbes
		}
		if s.probedAt.After(last) {
			last = s.probedAt
		}
	}
	if last.IsZero() {
		return last
	}
	return last.Add(max(probeTime, backoff(failed)))
}

// Sent records that a request with the parts is sent to a server, as far as it shows
// after a quarantine whether they still crash servers.
func (r *Registry) Sent(now time.Time, parts []Part) {
	for _, s := range r.suspicions {
		if s.Active() && within(s.parts, parts) {
			s.probedAt = now
			r.digest = 0
		}
	}
}

// Forget drops the evidence, but not what follows from it: a registry that no longer sees
// all requests must not add what it saw before to what it sees later.
func (r *Registry) Forget() {
	r.moments, r.counts, r.settled, r.recent, r.recentNext = nil, nil, nil, nil, 0
	r.changed = false
	for _, s := range r.suspicions {
		s.derived = false
	}
}

// Suspicions returns the suspicions, the cleared ones included, for other entries.
func (r *Registry) Suspicions() []Suspicion {
	var out []Suspicion
	for _, s := range r.suspicions {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return slices.Compare(a.parts, b.parts) })
	return out
}

// Merge adds suspicions of another entry.
func (r *Registry) Merge(now time.Time, suspicions []Suspicion) {
	for _, other := range suspicions {
		if len(other.parts) == 0 || other.expired(now) {
			continue
		}
		s := r.suspect(other.parts, other.crashes)
		if r.raise(&s.lastCrash, other.lastCrash) {
			s.derived = false
		}
		r.raise(&s.clearedAt, other.clearedAt)
		r.raise(&s.probedAt, other.probedAt)
		switch {
		case !s.Active():
			s.failedProbes = 0
		case other.failedProbes > s.failedProbes:
			s.failedProbes = other.failedProbes
			r.digest = 0
		}
	}
}

// raise sets a time to one that another entry reports, and reports whether that is later.
func (r *Registry) raise(at *time.Time, reported time.Time) bool {
	if reported.Sub(*at) <= clockSlack {
		return false
	}
	*at = reported
	r.digest = 0
	return true
}

// Digest returns a hash of the suspicions, 0 if there are none: registries with the same
// digest have much the same suspicions.
func (r *Registry) Digest() uint64 {
	if r.digest != 0 || len(r.suspicions) == 0 {
		return r.digest
	}
	for key, s := range r.suspicions {
		encoded := binary.BigEndian.AppendUint64(nil, key)
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(s.crashes))
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(s.failedProbes))
		encoded = append(encoded, bit(s.Active()), bit(s.probedAt.After(s.lastCrash)))
		r.digest ^= xxhash.Sum64(encoded)
	}
	return r.digest
}

func bit(set bool) byte {
	if set {
		return 1
	}
	return 0
}
