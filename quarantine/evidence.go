package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxEvidenceParts bounds the settled parts that evidence holds, and maxMomentParts the
	// parts of prompts at all its moments, so that it fits into a message between entries.
	// The oldest are left out.
	maxEvidenceParts = 4096
	maxMomentParts   = 1 << 16
)

// Evidence is what a Registry has learned, for another one that goes on in its place. Its
// zero value is empty.
type Evidence struct {
	suspicions []Suspicion
	moments    []Moment
	recent     []SettledRequest
	parts      []SettledRequest
}

// Moment is a time at which servers ended, with the prompts that were unsettled there.
type Moment struct {
	at      time.Time
	servers []string
	prompts [][]Part
	sound   []Part
	matched []uint64
}

// NewMoment returns the moment at which servers ended, with the parts of the distinct
// prompts that were unsettled there.
func NewMoment(at time.Time, servers []string, prompts [][]Part) Moment {
	return Moment{at: at, servers: servers, prompts: prompts}
}

// WithSound returns the moment with the parts for which a settled request speaks.
func (m Moment) WithSound(parts []Part) Moment {
	m.sound = parts
	return m
}

// WithMatched returns the moment with the keys of the suspicions that have counted it.
func (m Moment) WithMatched(keys []uint64) Moment {
	m.matched = keys
	return m
}

// At returns when the servers ended.
func (m Moment) At() time.Time { return m.at }

// Servers returns the servers that ended.
func (m Moment) Servers() []string { return m.servers }

// Prompts returns the parts of the prompts that were unsettled there.
func (m Moment) Prompts() [][]Part { return m.prompts }

// Sound returns the parts for which a settled request speaks, in ascending order.
func (m Moment) Sound() []Part { return m.sound }

// Matched returns the keys of the suspicions that have counted the moment, in ascending
// order.
func (m Moment) Matched() []uint64 { return m.matched }

// NewEvidence returns evidence with the suspicions that follow from it.
func NewEvidence(suspicions ...Suspicion) Evidence { return Evidence{suspicions: suspicions} }

// WithMoments returns the evidence with the moments at which servers ended.
func (e Evidence) WithMoments(moments ...Moment) Evidence {
	e.moments = moments
	return e
}

// WithSettled returns the evidence with the last settled requests, and with the parts of
// all those that settled a short time ago, grouped by time.
func (e Evidence) WithSettled(recent, parts []SettledRequest) Evidence {
	e.recent, e.parts = recent, parts
	return e
}

// Suspicions returns the suspicions that follow from the evidence.
func (e Evidence) Suspicions() []Suspicion { return e.suspicions }

// Moments returns the moments at which servers ended, in order of time.
func (e Evidence) Moments() []Moment { return e.moments }

// Recent returns the last settled requests, in order of time.
func (e Evidence) Recent() []SettledRequest { return e.recent }

// SettledParts returns the parts that settled a short time ago, grouped by time.
func (e Evidence) SettledParts() []SettledRequest { return e.parts }

// IsEmpty reports whether there is no evidence.
func (e Evidence) IsEmpty() bool {
	return len(e.suspicions)+len(e.moments)+len(e.recent)+len(e.parts) == 0
}

// Evidence returns what the registry has learned.
func (r *Registry) Evidence(now time.Time) Evidence {
	var moments []Moment
	for _, m := range r.latestMoments() {
		var sound []Part
		for part, suspect := range m.suspects {
			if !suspect {
				sound = append(sound, part)
			}
		}
		slices.Sort(sound)
		moments = append(moments, NewMoment(m.at, slices.Clone(m.servers), slices.Clone(m.prompts)).
			WithSound(sound).
			WithMatched(slices.Sorted(maps.Keys(m.matched))))
	}
	return NewEvidence(r.Suspicions()...).WithMoments(moments...).WithSettled(r.settledInOrder(), r.settledParts(now))
}

// latestMoments returns the latest moments, in order of time, as far as maxMomentParts allows.
func (r *Registry) latestMoments() []*moment {
	parts := 0
	for i := len(r.moments) - 1; i >= 0; i-- {
		for _, prompt := range r.moments[i].prompts {
			parts += len(prompt)
		}
		if parts > maxMomentParts {
			return r.moments[i+1:]
		}
	}
	return r.moments
}

// settledInOrder returns the recent settled requests in order of time.
func (r *Registry) settledInOrder() []SettledRequest {
	return append(slices.Clone(r.recent[r.recentNext:]), r.recent[:r.recentNext]...)
}

// settledParts returns the parts that settled within trustTime, the latest first: a server
// may yet end under them.
func (r *Registry) settledParts(now time.Time) []SettledRequest {
	byTime := make(map[time.Time][]Part)
	for part, at := range r.settled {
		if now.Sub(at) <= trustTime {
			byTime[at] = append(byTime[at], part)
		}
	}
	var out []SettledRequest
	n := 0
	for _, at := range slices.SortedFunc(maps.Keys(byTime), func(a, b time.Time) int { return b.Compare(a) }) {
		if n += len(byTime[at]); n > maxEvidenceParts {
			break
		}
		slices.Sort(byTime[at])
		out = append(out, NewSettledRequest(at, byTime[at]))
	}
	return out
}

// MergeEvidence adds what another registry has learned. The order of several values does
// not matter, and to add one again changes nothing. Evidence of a registry that saw only
// some of the requests is to be added only by one that saw no more.
func (r *Registry) MergeEvidence(now time.Time, evidence Evidence) {
	r.Merge(now, evidence.suspicions)
	for _, settled := range evidence.parts {
		r.mergeSettledParts(settled)
	}
	r.mergeRecent(evidence.recent)
	for _, m := range evidence.moments {
		r.mergeMoment(now, m)
	}
	r.changed = r.changed || !evidence.IsEmpty()
}

// mergeSettledParts adds parts that settled at a time.
func (r *Registry) mergeSettledParts(settled SettledRequest) {
	if r.settled == nil {
		r.settled = make(map[Part]time.Time)
	}
	for _, part := range settled.parts {
		if settled.at.After(r.settled[part]) {
			r.settled[part] = settled.at
		}
		for _, m := range r.moments {
			if settled.at.After(m.at.Add(-trustTime)) {
				r.clearPart(m, part)
			}
		}
	}
	r.clearSuspicions(settled.at, settled.parts)
}

// clearPart records that a settled request speaks for a part at a moment.
func (r *Registry) clearPart(m *moment, part Part) {
	if !m.suspects[part] {
		return
	}
	m.suspects[part] = false
	if r.counts[part]--; r.counts[part] == 0 {
		delete(r.counts, part)
	}
}

// mergeRecent adds settled requests to the recent ones. A request of the same parts and
// about the same time is the same one.
func (r *Registry) mergeRecent(settled []SettledRequest) {
	known := r.settledInOrder()
	matched := make([]bool, len(known))
	merged := slices.Clone(known)
	for _, other := range settled {
		same := false
		for i, s := range known {
			if !matched[i] && other.at.Sub(s.at).Abs() < clockSlack && slices.Equal(other.parts, s.parts) {
				matched[i], same = true, true
				break
			}
		}
		if !same {
			merged = append(merged, other)
		}
	}
	slices.SortStableFunc(merged, func(a, b SettledRequest) int { return a.at.Compare(b.at) })
	r.recent, r.recentNext = merged[max(0, len(merged)-maxRecent):], 0
}

// mergeMoment adds a moment at which servers ended.
func (r *Registry) mergeMoment(now time.Time, other Moment) {
	if len(other.servers) == 0 || now.Sub(other.at) > maxAge {
		return
	}
	m := r.sameMoment(other)
	if m == nil {
		if len(r.moments) >= maxMoments && other.at.Before(r.moments[0].at) {
			return
		}
		m = r.addMoment(other.at, other.servers[0])
	}
	for _, server := range other.servers {
		if !slices.Contains(m.servers, server) {
			m.servers = append(m.servers, server)
		}
	}
	for _, key := range other.matched {
		m.matched[key] = true
	}
	for _, prompt := range other.prompts {
		r.addPrompt(m, m.at, prompt)
	}
	for _, part := range other.sound {
		r.clearPart(m, part)
	}
}

// sameMoment returns the moment at which one of the servers ended, or else one at about the
// same time, nil if there is none.
func (r *Registry) sameMoment(other Moment) *moment {
	for _, m := range r.moments {
		if slices.ContainsFunc(other.servers, func(server string) bool { return slices.Contains(m.servers, server) }) {
			return m
		}
	}
	for _, m := range r.moments {
		if other.at.Sub(m.at).Abs() < momentTime {
			return m
		}
	}
	return nil
}
