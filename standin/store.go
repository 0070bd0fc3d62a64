package standin

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// change is the update or deletion of a published value.
type change struct {
	key     string
	value   string
	deleted bool
}

// store holds the changes that all replicas share; the revision of a change is its index, from 1.
type store struct {
	mu          sync.Mutex
	changes     []change
	nextChange  chan struct{} // closed by the next change
	readRate    int
	reads       int64
	peakReads   int
	recentReads []time.Time // reads within the last second
}

func (s *store) append(c change) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, c)
	close(s.nextChange)
	s.nextChange = make(chan struct{})
	return int64(len(s.changes))
}

func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.changes))
}

func (s *store) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nextChange
}

// at returns the values that changed after the query's revision, as of the given revision,
// nil for the current one.
func (s *store) at(revision *int64, q readQuery) valuesBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.changes))
	if revision != nil {
		end = min(end, *revision)
	}
	newest := make(map[string]int64)
	for i := q.after; i < end; i++ {
		newest[s.changes[i].key] = i + 1
	}
	body := valuesBody{Revision: end, Values: []valueBody{}}
	for key, revision := range newest {
		c := s.changes[revision-1]
		if !c.deleted && q.matches(key) {
			body.Values = append(body.Values, valueBody{Key: key, Revision: revision, Value: c.value})
		}
	}
	sort.Slice(body.Values, func(i, j int) bool { return body.Values[i].Revision < body.Values[j].Revision })
	return body
}

func (q readQuery) matches(key string) bool {
	for _, prefix := range q.prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return len(q.prefixes) == 0
}

// countRead records a read and reports whether it is within the rate limit.
func (s *store) countRead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.recentReads) > 0 && now.Sub(s.recentReads[0]) >= time.Second {
		s.recentReads = s.recentReads[1:]
	}
	s.reads++
	if s.readRate > 0 && len(s.recentReads) >= s.readRate {
		return false
	}
	s.recentReads = append(s.recentReads, now)
	s.peakReads = max(s.peakReads, len(s.recentReads))
	return true
}
