package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

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
// parts that were suspect only together, the others remain so. A request that settled before
// the last crash says nothing.
func (r *Registry) clearSuspicions(settledAt time.Time, parts []Part) {
	for _, s := range r.suspicions {
		if !s.Active() || s.lastCrash.After(settledAt) {
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
		r.withdraw(s, settledAt)
	}
}

// withdraw ends a suspicion.
func (r *Registry) withdraw(s *Suspicion, now time.Time) {
	s.clearedAt = now
	s.failedProbes, s.doubted = 0, false
	r.digest = 0
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

// Expire drops evidence and suspicions that are too old.
func (r *Registry) Expire(now time.Time) {
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
// withdraws those that no longer follow from it. It is to be called often, and only while
// the registry sees all requests: what it misses may speak for a part.
func (r *Registry) Evaluate(now time.Time) {
	r.Expire(now)
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
// explained, the most specific one of several, and whether another part that does not
// always come with it accounts for as many, most of them the same. It returns no crashes
// if these moments don't tell the part from other causes.
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
