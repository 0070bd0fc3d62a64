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
	// minCrashes is the number of moments at which servers ended from which a part is
	// suspect, if no other part was there as often; from decisiveCrashes on it is
	// suspect in any case.
	minCrashes      = 3
	decisiveCrashes = 5
	// momentTime is the time within which ends of servers count as one moment.
	momentTime = 50 * time.Millisecond
	// trustTime is how long before an end of a server a settled request speaks for its
	// parts.
	trustTime = 2 * time.Second
	// maxAge is how long evidence is kept.
	maxAge = maxQuarantine
	// maxMoments, maxPrompts and maxSuspicions bound the evidence and what follows from it.
	maxMoments    = 64
	maxPrompts    = 256
	maxSuspicions = 64
	// minPruned is the number of settled parts from which old ones are forgotten.
	minPruned = 1024
)

// moment holds what is known of the servers that ended at about the same time.
type moment struct {
	at      time.Time
	servers []string
	// prompts holds the parts of the distinct prompts that were unsettled there.
	prompts [][]Part
	// suspects holds the parts of the prompts; the value is false for those for which a
	// settled request speaks.
	suspects map[Part]bool
	// matched holds the keys of the suspicions of which a prompt has all parts.
	matched map[uint64]bool
	// explained is set while the evidence is evaluated once a part accounts for the moment.
	explained bool
}

// Registry holds the evidence about the requests of one service. Its zero value is
// ready to use. It is not safe for concurrent use.
type Registry struct {
	moments []*moment
	// counts holds the number of moments in which a part is suspect.
	counts     map[Part]int
	settled    map[Part]time.Time
	suspicions map[uint64]*Suspicion
	digest     uint64
}

// Settled records that a request with the parts has settled.
func (r *Registry) Settled(now time.Time, parts []Part) {
	if len(parts) == 0 {
		return
	}
	if r.settled == nil {
		r.settled = make(map[Part]time.Time)
	}
	strong := false
	for _, part := range parts {
		r.settled[part] = now
		if r.counts[part] == 0 {
			continue
		}
		strong = strong || r.counts[part] >= minCrashes
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
	if r.clearSuspicions(parts) || strong {
		r.evaluate()
	}
}

// clearSuspicions withdraws the suspicions against the parts of a settled request; of
// parts that were suspect only together, the others remain so. It reports whether there
// were any.
func (r *Registry) clearSuspicions(parts []Part) bool {
	cleared := false
	for _, s := range r.suspicions {
		if !s.Active() {
			continue
		}
		rest := without(s.parts, parts)
		if len(rest) == len(s.parts) {
			continue
		}
		if len(rest) > 0 {
			r.suspect(rest, s.crashes-s.cleared).lastCrash = s.lastCrash
		}
		s.cleared = s.crashes
		r.digest = 0
		cleared = true
	}
	return cleared
}

// Crashed records that a server ended while a request with the parts was unsettled
// there. All requests of the server are to be reported; the order does not matter.
func (r *Registry) Crashed(now time.Time, server string, parts []Part) {
	if len(parts) == 0 {
		return
	}
	if r.counts == nil {
		r.counts = make(map[Part]int)
	}
	r.expire(now)
	m := r.momentOf(now, server)
	if len(m.prompts) >= maxPrompts || slices.ContainsFunc(m.prompts, func(p []Part) bool { return slices.Equal(p, parts) }) {
		return
	}
	m.prompts = append(m.prompts, parts)
	r.countCrash(now, m, parts)
	strong := false
	for _, part := range parts {
		if _, known := m.suspects[part]; known {
			continue
		}
		settledAt, settled := r.settled[part]
		m.suspects[part] = !settled || now.Sub(settledAt) > trustTime
		if m.suspects[part] {
			r.counts[part]++
			strong = strong || r.counts[part] >= minCrashes
		}
	}
	if strong {
		r.evaluate()
	}
}

// countCrash counts a moment for the suspicions against parts of one of its prompts.
func (r *Registry) countCrash(now time.Time, m *moment, prompt []Part) {
	for key, s := range r.suspicions {
		if !s.Active() || m.matched[key] || !within(s.parts, prompt) {
			continue
		}
		m.matched[key] = true
		s.crashes++
		s.lastCrash = now
		r.digest = 0
	}
}

// momentOf returns the moment at which a server ended, a new one if there is none.
func (r *Registry) momentOf(now time.Time, server string) *moment {
	for _, m := range r.moments {
		if slices.Contains(m.servers, server) {
			return m
		}
	}
	for _, m := range r.moments {
		if now.Sub(m.at).Abs() < momentTime {
			m.servers = append(m.servers, server)
			return m
		}
	}
	if len(r.moments) >= maxMoments {
		// One that a suspicion accounts for says nothing new.
		r.dropMoment(max(0, slices.IndexFunc(r.moments, func(m *moment) bool { return len(m.matched) > 0 })))
	}
	m := &moment{at: now, servers: []string{server}, suspects: make(map[Part]bool), matched: make(map[uint64]bool)}
	r.moments = append(r.moments, m)
	return m
}

func (r *Registry) dropMoment(i int) {
	for part, suspect := range r.moments[i].suspects {
		if !suspect {
			continue
		}
		if r.counts[part]--; r.counts[part] == 0 {
			delete(r.counts, part)
		}
	}
	for key := range r.moments[i].matched {
		if s := r.suspicions[key]; s != nil {
			s.derived = false
		}
	}
	r.moments = slices.Delete(r.moments, i, i+1)
}

// expire drops evidence and suspicions that are too old.
func (r *Registry) expire(now time.Time) {
	for len(r.moments) > 0 && now.Sub(r.moments[0].at) > maxAge {
		r.dropMoment(0)
	}
	for key, s := range r.suspicions {
		if now.Sub(s.lastCrash) > 2*maxAge {
			delete(r.suspicions, key)
			r.digest = 0
		}
	}
}

// evaluate derives the suspicions from the evidence, the strongest one first, and
// withdraws those that no longer follow from it.
func (r *Registry) evaluate() {
	for _, m := range r.moments {
		m.explained = false
	}
	follows := make(map[uint64]bool)
	for {
		part, crashes, tied := r.strongest()
		if crashes < minCrashes || tied && crashes < decisiveCrashes {
			break
		}
		parts, moments := r.companions(part)
		key := keyOf(parts)
		follows[key] = true
		s := r.suspect(parts, crashes)
		s.derived = true
		for _, m := range moments {
			m.explained, m.matched[key] = true, true
			if m.at.After(s.lastCrash) {
				s.lastCrash = m.at
			}
		}
	}
	for key, s := range r.suspicions {
		if s.derived && s.Active() && !follows[key] {
			s.cleared = s.crashes
			r.digest = 0
		}
	}
}

// strongest returns the part that accounts for most of the moments that are not yet
// explained, the least of several, and whether another part that does not always come
// with it accounts for as many, most of them the same.
func (r *Registry) strongest() (best Part, crashes int, tied bool) {
	accounts := make(map[Part][]*moment)
	for _, m := range r.moments {
		if m.explained {
			continue
		}
		for part, suspect := range r.suspectsOf(m) {
			if suspect {
				accounts[part] = append(accounts[part], m)
			}
		}
	}
	for part, moments := range accounts {
		if len(moments) > crashes || len(moments) == crashes && part < best {
			best, crashes = part, len(moments)
		}
	}
	if crashes < minCrashes {
		return best, crashes, false
	}
	companions, _ := r.companions(best)
	for part, moments := range accounts {
		if len(moments) == crashes && !slices.Contains(companions, part) && 2*shared(moments, accounts[best]) > crashes {
			tied = true
		}
	}
	return best, crashes, tied
}

// shared returns how many moments are in both lists.
func shared(a, b []*moment) int {
	n := 0
	for _, m := range a {
		if slices.Contains(b, m) {
			n++
		}
	}
	return n
}

// suspectsOf returns the parts that may account for a moment, those with the value true:
// all suspect ones, or only those of the suspicions that match it and rest on other
// evidence, if there are any.
func (r *Registry) suspectsOf(m *moment) map[Part]bool {
	var out map[Part]bool
	for key := range m.matched {
		s := r.suspicions[key]
		if s == nil || !s.Active() || s.derived {
			continue
		}
		for _, part := range s.parts {
			if m.suspects[part] {
				if out == nil {
					out = make(map[Part]bool)
				}
				out[part] = true
			}
		}
	}
	if out != nil {
		return out
	}
	return m.suspects
}

// companions returns the parts that come with a part in all moments for which it may
// account and that are not yet explained, in ascending order, and these moments.
func (r *Registry) companions(part Part) (parts []Part, moments []*moment) {
	for _, m := range r.moments {
		if m.explained || !r.suspectsOf(m)[part] {
			continue
		}
		moments = append(moments, m)
		for _, prompt := range m.prompts {
			if !slices.Contains(prompt, part) {
				continue
			}
			if parts == nil {
				parts = slices.Clone(prompt)
			}
			parts = slices.DeleteFunc(parts, func(p Part) bool { return !m.suspects[p] || !slices.Contains(prompt, p) })
		}
	}
	slices.Sort(parts)
	return slices.Compact(parts), moments
}

// suspect returns the suspicion against parts, with at least a number of crashes that
// are not cleared.
func (r *Registry) suspect(parts []Part, crashes int) *Suspicion {
	key := keyOf(parts)
	s := r.suspicions[key]
	if s == nil {
		if r.suspicions == nil {
			r.suspicions = make(map[uint64]*Suspicion)
		}
		if len(r.suspicions) >= maxSuspicions {
			r.dropSuspicion()
		}
		s = &Suspicion{parts: parts}
		r.suspicions[key] = s
	}
	if s.cleared+crashes > s.crashes {
		s.crashes = s.cleared + crashes
		r.digest = 0
	}
	return s
}

// dropSuspicion drops a suspicion that is cleared, or else the one whose last crash is
// the longest ago.
func (r *Registry) dropSuspicion() {
	var oldest uint64
	for key, s := range r.suspicions {
		o := r.suspicions[oldest]
		if o == nil || o.Active() && !s.Active() || o.Active() == s.Active() && s.lastCrash.Before(o.lastCrash) {
			oldest = key
		}
	}
	delete(r.suspicions, oldest)
}

// keyOf returns the key of parts in ascending order.
func keyOf(parts []Part) uint64 {
	var encoded []byte
	for _, part := range parts {
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(part))
	}
	return xxhash.Sum64(encoded)
}

// Check reports whether a request with the parts must be refused, and after which time
// it may be let through.
func (r *Registry) Check(now time.Time, parts []Part) (retryAfter time.Duration, refused bool) {
	if len(r.suspicions) == 0 || len(parts) == 0 {
		return 0, false
	}
	for _, s := range r.suspicions {
		if !s.Active() || !within(s.parts, parts) {
			continue
		}
		until := s.ReleasedAt()
		if next := s.probedAt.Add(probeTime); next.After(until) {
			until = next
		}
		if wait := until.Sub(now); wait > 0 {
			retryAfter, refused = max(retryAfter, wait), true
		}
	}
	return retryAfter, refused
}

// Sent records that a request with the parts is sent to a server, as far as it shows
// after a quarantine whether they still crash servers.
func (r *Registry) Sent(now time.Time, parts []Part) {
	for _, s := range r.suspicions {
		if s.Active() && within(s.parts, parts) {
			s.probedAt = now
		}
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
	r.expire(now)
	for _, other := range suspicions {
		if len(other.parts) == 0 {
			continue
		}
		s := r.suspect(other.parts, 0)
		if other.crashes > s.crashes {
			s.crashes, s.lastCrash = other.crashes, other.lastCrash
			r.digest = 0
		}
		if other.cleared > s.cleared {
			s.cleared = other.cleared
			r.digest = 0
		}
	}
}

// Digest returns a hash of the suspicions, 0 if there are none: registries with the same
// digest have the same suspicions.
func (r *Registry) Digest() uint64 {
	if r.digest != 0 || len(r.suspicions) == 0 {
		return r.digest
	}
	for key, s := range r.suspicions {
		encoded := binary.BigEndian.AppendUint64(nil, key)
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(s.crashes))
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(s.cleared))
		r.digest ^= xxhash.Sum64(encoded)
	}
	return r.digest
}
