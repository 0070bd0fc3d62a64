package ingress

import (
	"sync"
	"time"
)

const (
	// budgetShare is the part of the bound on repeats that entries use: the
	// window of the bound and theirs don't begin at the same moment.
	budgetShare = 0.7
	// budgetSteps is how many steps the window moves in.
	budgetSteps = 10
)

// RetryBudget limits the repeats of all entries together: in each window,
// ratio times the requests and slack.
type RetryBudget struct {
	ratio  float64
	slack  int
	window time.Duration
}

// NewRetryBudget returns a bound.
func NewRetryBudget(ratio float64, slack int, window time.Duration) RetryBudget {
	return RetryBudget{ratio: ratio, slack: slack, window: window}
}

// budget holds one entry to its part of the bound, for each service by itself.
type budget struct {
	bound RetryBudget

	mu       sync.Mutex
	services map[string]*usage
}

// usage counts the first sends and the repeats of the last window.
type usage struct {
	step    int64
	firsts  [budgetSteps]int
	repeats [budgetSteps]int
}

// first counts a request's first send.
func (b *budget) first(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(now, service)
	u.firsts[u.step%budgetSteps]++
}

// repeat counts one more send and reports whether it may be sent; entries is
// how many share the bound.
func (b *budget) repeat(now time.Time, service string, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(now, service)
	firsts, repeats := 0, 0
	for i := range budgetSteps {
		firsts += u.firsts[i]
		repeats += u.repeats[i]
	}
	allowed := b.bound.ratio*float64(firsts) + float64(b.bound.slack)/float64(max(1, entries))
	if float64(repeats+1) > allowed*budgetShare {
		return false
	}
	u.repeats[u.step%budgetSteps]++
	return true
}

// usage returns the counts of a service, without those that left the window.
func (b *budget) usage(now time.Time, service string) *usage {
	if b.services == nil {
		b.services = make(map[string]*usage)
	}
	u := b.services[service]
	if u == nil {
		u = &usage{}
		b.services[service] = u
	}
	step := now.UnixNano() / max(1, int64(b.bound.window/budgetSteps))
	for range min(step-u.step, budgetSteps) {
		u.step++
		u.firsts[u.step%budgetSteps] = 0
		u.repeats[u.step%budgetSteps] = 0
	}
	u.step = max(u.step, step)
	return u
}
