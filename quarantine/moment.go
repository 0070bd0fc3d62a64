package quarantine

import (
	"slices"
	"time"
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
	return r.addMoment(now, server)
}

// addMoment adds a moment at which a server ended, in order of time.
func (r *Registry) addMoment(at time.Time, server string) *moment {
	if len(r.moments) >= maxMoments {
		// One that a suspicion accounts for says nothing new.
		r.dropMoment(max(0, slices.IndexFunc(r.moments, func(m *moment) bool { return len(m.matched) > 0 })))
	}
	m := &moment{at: at, servers: []string{server}, suspects: make(map[Part]bool), matched: make(map[uint64]bool)}
	i, _ := slices.BinarySearchFunc(r.moments, at.Add(1), func(m *moment, t time.Time) int { return m.at.Compare(t) })
	r.moments = slices.Insert(r.moments, i, m)
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
