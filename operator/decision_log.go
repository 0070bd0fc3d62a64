package operator

import (
	"cmp"
	"slices"
	"sync"

	"greengagedock.example/backend"
)

// Capacities of a DecisionLog, in decisions. Refused and failed requests have
// a ring of their own, so that other decisions of a busy entry don't evict them.
const (
	maxRecent = 16_384
	maxFailed = 4_096
)

// DecisionLog keeps the latest decisions of an entry instance. Its zero value
// is ready to use and safe for concurrent use.
type DecisionLog struct {
	mu     sync.Mutex
	added  uint64
	recent ring
	failed ring
}

// Add adds a decision, evicting the oldest one if the log is full.
func (l *DecisionLog) Add(d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.added++
	d.sequence = l.added
	switch d.kind {
	case KindDenied, KindFailed:
		l.failed.add(d, maxFailed)
	default:
		l.recent.add(d, maxRecent)
	}
}

// Explain returns the logged decisions about a request in the order in which
// they were added. The id is that of the request or of one attempt, or the
// part that the ids of the request's attempts share, see backend.AttemptRequestID.
func (l *DecisionLog) Explain(id string) []Decision {
	if id == "" {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sharedIDs := map[string]bool{id: true}
	for _, d := range slices.Concat(l.recent.find(isAbout(id)), l.failed.find(isAbout(id))) {
		if d.requestID == id && d.attemptID != "" {
			sharedIDs[backend.AttemptRequestID(d.attemptID)] = true
		}
	}
	about := func(d *Decision) bool {
		return isAbout(id)(d) || d.attemptID != "" && sharedIDs[backend.AttemptRequestID(d.attemptID)]
	}
	found := slices.Concat(l.recent.find(about), l.failed.find(about))
	slices.SortFunc(found, func(a, b Decision) int { return cmp.Compare(a.sequence, b.sequence) })
	return found
}

func isAbout(id string) func(*Decision) bool {
	return func(d *Decision) bool { return d.requestID == id || d.attemptID == id }
}

// ring is a ring buffer of the latest decisions.
type ring struct {
	decisions []Decision
	next      int
}

func (r *ring) add(d Decision, limit int) {
	if len(r.decisions) < limit {
		r.decisions = append(r.decisions, d)
		return
	}
	r.decisions[r.next] = d
	r.next = (r.next + 1) % limit
}

func (r *ring) find(match func(*Decision) bool) []Decision {
	var found []Decision
	for i := range r.decisions {
		if match(&r.decisions[i]) {
			found = append(found, r.decisions[i])
		}
	}
	return found
}
