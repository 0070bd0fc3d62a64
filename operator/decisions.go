package operator

import (
	"cmp"
	"slices"
	"sync"

	"greengagedock.example/backend"
)

// Bounds of what DecisionLog keeps; refused and failed requests are kept apart,
// so that a busy entry doesn't forget them first.
const (
	maxRecent = 16_384
	maxFailed = 4_096
)

// DecisionLog keeps the latest decisions of an entry instance; its zero value
// is ready to use by several goroutines at once.
type DecisionLog struct {
	mu     sync.Mutex
	added  uint64
	recent ring
	failed ring
}

// Add keeps a decision in place of the oldest one.
func (l *DecisionLog) Add(d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.added++
	d.order = l.added
	switch d.kind {
	case KindDenied, KindFailed:
		l.failed.add(d, maxFailed)
	default:
		l.recent.add(d, maxRecent)
	}
}

// Explain returns the kept decisions about a request in the order in which
// they were added; the id may be the request's own, that of its attempts
// without the part after the last dot, or one attempt's.
func (l *DecisionLog) Explain(id string) []Decision {
	if id == "" {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	serials := map[string]bool{id: true}
	for _, d := range slices.Concat(l.recent.find(isAbout(id)), l.failed.find(isAbout(id))) {
		if d.request == id && d.attempt != "" {
			serials[backend.AttemptRequestID(d.attempt)] = true
		}
	}
	about := func(d *Decision) bool {
		return isAbout(id)(d) || d.attempt != "" && serials[backend.AttemptRequestID(d.attempt)]
	}
	found := slices.Concat(l.recent.find(about), l.failed.find(about))
	slices.SortFunc(found, func(a, b Decision) int { return cmp.Compare(a.order, b.order) })
	return found
}

func isAbout(id string) func(*Decision) bool {
	return func(d *Decision) bool { return d.request == id || d.attempt == id }
}

// ring holds the latest decisions.
type ring struct {
	decisions []Decision
	next      int
}

func (r *ring) add(d Decision, most int) {
	if len(r.decisions) < most {
		r.decisions = append(r.decisions, d)
		return
	}
	r.decisions[r.next] = d
	r.next = (r.next + 1) % most
}

func (r *ring) find(wanted func(*Decision) bool) []Decision {
	var found []Decision
	for i := range r.decisions {
		if wanted(&r.decisions[i]) {
			found = append(found, r.decisions[i])
		}
	}
	return found
}
