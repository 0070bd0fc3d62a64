package operator

import (
	"cmp"
	"slices"
	"sync"

	"greengagedock.example/backend"
)

// Bounds of what Decisions keeps; refused and failed requests are kept apart,
// so that a busy entry doesn't forget them first.
const (
	maxRecent = 16_384
	maxFailed = 4_096
)

// Decisions keeps the latest decisions of an entry instance; its zero value
// is ready to use by several goroutines at once.
type Decisions struct {
	mu     sync.Mutex
	added  uint64
	recent ring
	failed ring
}

// Add keeps a decision in place of the oldest one.
func (ds *Decisions) Add(d Decision) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.added++
	d.order = ds.added
	switch d.kind {
	case KindDenied, KindFailed:
		ds.failed.add(d, maxFailed)
	default:
		ds.recent.add(d, maxRecent)
	}
}

// Explain returns the kept decisions about a request in the order in which
// they were added; the id may be the request's own, that of its attempts
// without the part after the last dot, or one attempt's.
func (ds *Decisions) Explain(id string) []Decision {
	if id == "" {
		return nil
	}
	ds.mu.Lock()
	defer ds.mu.Unlock()
	serials := map[string]bool{id: true}
	for _, d := range slices.Concat(ds.recent.find(isAbout(id)), ds.failed.find(isAbout(id))) {
		if d.request == id && d.attempt != "" {
			serials[backend.AttemptRequestID(d.attempt)] = true
		}
	}
	about := func(d *Decision) bool {
		return isAbout(id)(d) || d.attempt != "" && serials[backend.AttemptRequestID(d.attempt)]
	}
	found := slices.Concat(ds.recent.find(about), ds.failed.find(about))
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
