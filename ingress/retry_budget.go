package ingress

import (
	"sync"
	"time"
)

const (
	// usableBudgetShare is the fraction of the retry budget that entries use. The
	// rest covers that the window over which the budget is checked and their own
	// windows start at different times.
	usableBudgetShare = 0.7
	// windowBuckets is the number of buckets of the sliding window.
	windowBuckets = 10
)

// RetryBudget limits the retries of all entries together: in each window, to
// ratio times the number of first sends plus slack.
type RetryBudget struct {
	ratio  float64
	slack  int
	window time.Duration
}

// NewRetryBudget returns a budget of ratio retries per first send, plus slack, in each window.
func NewRetryBudget(ratio float64, slack int, window time.Duration) RetryBudget {
	return RetryBudget{ratio: ratio, slack: slack, window: window}
}

// retryLimiter enforces this entry's part of the retry budget, separately for each service.
type retryLimiter struct {
	budget RetryBudget

	mu       sync.Mutex
	services map[string]*retryUsage
}

// retryUsage counts the first sends and the retries of the last window by bucket.
type retryUsage struct {
	bucket     int64
	firstSends [windowBuckets]int
	retries    [windowBuckets]int
}

// recordFirstSend counts the first send of a request.
func (l *retryLimiter) recordFirstSend(now time.Time, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(now, service)
	u.firstSends[u.bucket%windowBuckets]++
}

// allowRetry reports whether a retry is within the budget, and counts it if so;
// entries is the number of entries that share the budget.
func (l *retryLimiter) allowRetry(now time.Time, service string, entries int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(now, service)
	firstSends, retries := 0, 0
	for i := range windowBuckets {
		firstSends += u.firstSends[i]
		retries += u.retries[i]
	}
	allowed := l.budget.ratio*float64(firstSends) + float64(l.budget.slack)/float64(max(1, entries))
	if float64(retries+1) > allowed*usableBudgetShare {
		return false
	}
	u.retries[u.bucket%windowBuckets]++
	return true
}

// usage returns the counts of a service after dropping buckets that left the window.
func (l *retryLimiter) usage(now time.Time, service string) *retryUsage {
	if l.services == nil {
		l.services = make(map[string]*retryUsage)
	}
	u := l.services[service]
	if u == nil {
		u = &retryUsage{}
		l.services[service] = u
	}
	bucket := now.UnixNano() / max(1, int64(l.budget.window/windowBuckets))
	for range min(bucket-u.bucket, windowBuckets) {
		u.bucket++
		u.firstSends[u.bucket%windowBuckets] = 0
		u.retries[u.bucket%windowBuckets] = 0
	}
	u.bucket = max(u.bucket, bucket)
	return u
}
