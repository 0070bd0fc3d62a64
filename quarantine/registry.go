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
	counts  map[Part]int
	settled map[Part]time.Time
	// recent holds the last settled requests, the next one at recentNext.
	recent     []settledRequest
	recentNext int
	// changed is set if the evidence changed since it was last evaluated.
	changed    bool
	suspicions map[uint64]*Suspicion
	digest     uint64
}

// settledRequest is when a request settled, with the parts of its prompt.
type settledRequest struct {
	at    time.Time
	parts []Part
}

// Settled records that a request with the parts has settled.
func (r *Registry) Settled(now time.Time, parts []Part) {
	r.remember(settledRequest{now, parts})
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
func (r *Registry) remember(settled settledRequest) {
	if len(r.recent) < maxRecent {
		r.recent = append(r.recent, settled)
		return
	}
	r.recent[r.recentNext] = settled
	r.recentNext = (r.recentNext + 1) % maxRecent
}

// required returns the number of moments since a time from which a part is suspect: with
// the share of the requests without it that were unsettled as their servers ended, it
// could be there that often by chance. While no request without the part settles, as when
// servers end faster than any can, it takes twice as many moments, and half of the
// requests of those moments without the part. It returns 0 if nothing tells the part from
// any other cause.
func (r *Registry) required(part Part, since time.Time) int {
	settled, ended := 0, 0
	for _, s := range r.recent {
		if s.at.After(since) && !slices.Contains(s.parts, part) {
			settled++
		}
	}
	with := 0
	for _, m := range r.moments {
		if m.explained || !m.at.After(since) {
			continue
		}
		for _, prompt := range m.prompts {
			if slices.Contains(prompt, part) {
				with++
			} else {
				ended++
			}
		}
	}
	switch {
	case settled == 0 && ended >= with:
		return 2 * maxCrashes
	case settled == 0:
		return 0
	}
	share := float64(ended) / float64(ended+settled)
	chance, n := share, 1
	for ; n < maxCrashes && chance > 1.0/chanceOf; n++ {
		chance *= share
	}
	return max(minCrashes, n)
}

// clearSuspicions withdraws the suspicions against the parts of a settled request; of
// parts that were suspect only together, the others remain so.
func (r *Registry) clearSuspicions(now time.Time, parts []Part) {
	for _, s := range r.suspicions {
		if !s.Active() {
			continue
		}
		rest := without(s.parts, parts)
		if len(rest) == len(s.parts) {
			continue
		}
		if len(rest) > 0 {
			kept := r.suspect(rest, s.crashes)
			kept.lastCrash, kept.probedAt, kept.failedProbes = s.lastCrash, s.probedAt, s.failedProbes
		}
		r.withdraw(s, now)
	}
}

// withdraw ends a suspicion.
func (r *Registry) withdraw(s *Suspicion, now time.Time) {
	s.clearedAt = now
	s.failedProbes, s.doubted = 0, false
	r.digest = 0
}

// Crashed records that a server ended while a request with the parts was unsettled
// there. All requests of the server are to be reported; the order does not matter. It
// shows in the suspicions after the next call of Evaluate.
func (r *Registry) Crashed(now time.Time, server string, parts []Part) {
	if len(parts) == 0 {
		return
	}
	if r.counts == nil {
		r.counts = make(map[Part]int)
	}
	m := r.momentOf(now, server)
	if len(m.prompts) >= maxPrompts || slices.ContainsFunc(m.prompts, func(p []Part) bool { return slices.Equal(p, parts) }) {
		return
	}
	m.prompts = append(m.prompts, parts)
	r.countCrash(now, m, parts)
	r.changed = true
	for _, part := range parts {
		if _, known := m.suspects[part]; known {
			continue
		}
		settledAt, settled := r.settled[part]
		m.suspects[part] = !settled || now.Sub(settledAt) > trustTime
		if m.suspects[part] {
			r.counts[part]++
		}
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
		if !now.Before(s.ReleasedAt()) {
			s.failedProbes++
		}
		if now.After(s.lastCrash) {
			s.lastCrash = now
		}
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
		if s.expired(now) {
			delete(r.suspicions, key)
			r.digest = 0
		}
	}
}

// expired reports whether a suspicion is too old to be kept.
func (s *Suspicion) expired(now time.Time) bool { return now.Sub(s.lastCrash) > 2*maxAge }

// Evaluate derives the suspicions from the evidence, the strongest one first, and
// withdraws those that no longer follow from it. It is to be called often.
func (r *Registry) Evaluate(now time.Time) {
	r.expire(now)
	if !r.changed {
		return
	}
	r.changed = false
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
		if s.doubted {
			s.clearedAt, s.doubted = time.Time{}, false
		}
		for _, m := range moments {
			m.explained, m.matched[key] = true, true
			if m.at.After(s.lastCrash) {
				s.lastCrash = m.at
			}
		}
	}
	for key, s := range r.suspicions {
		if s.derived && s.Active() && !follows[key] {
			r.withdraw(s, now)
			s.doubted = true
		}
	}
}

// strongest returns the part that accounts for most of the moments that are not yet
// explained, the most specific one of several, and whether another part that does not always come
// with it accounts for as many, most of them the same. It returns no crashes if these
// moments don't tell the part from other causes.
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
	for _, moments := range accounts {
		crashes = max(crashes, len(moments))
	}
	if crashes < minCrashes {
		return best, crashes, false
	}
	// Of several such parts, the one that always came with the most others: fewer sound
	// requests have all of them.
	var companions []Part
	for part, moments := range accounts {
		if len(moments) < crashes {
			continue
		}
		with, _ := r.companions(part)
		if len(with) > len(companions) || len(with) == len(companions) && part < best {
			best, companions = part, with
		}
	}
	if required := r.required(best, accounts[best][0].at.Add(-trustTime)); required == 0 || crashes < required {
		return best, 0, false
	}
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
	if crashes > s.crashes {
		s.crashes = crashes
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
