package timer

import (
	"sync"
	"time"
)

// Service creates subscriptions to periodic ticks. Its zero value is ready to use.
type Service struct {
	mu      sync.Mutex
	stopped bool
	subs    map[*Subscription]struct{}
}

// Subscription delivers one tick per period until it is stopped.
type Subscription struct {
	service *Service
	ticker  *time.Ticker
}

// Now returns the current time with a monotonic clock reading.
func (s *Service) Now() time.Time {
	return time.Now()
}

// Every returns a subscription that ticks once per period, which must be
// positive. A subscription created after Stop never ticks.
func (s *Service) Every(period time.Duration) *Subscription {
	sub := &Subscription{service: s, ticker: time.NewTicker(period)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		sub.ticker.Stop()
		return sub
	}
	if s.subs == nil {
		s.subs = make(map[*Subscription]struct{})
	}
	s.subs[sub] = struct{}{}
	return sub
}

// Stop stops all subscriptions.
func (s *Service) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for sub := range s.subs {
		sub.ticker.Stop()
	}
	s.subs = nil
}

// C returns the channel on which ticks are delivered. Ticks are dropped, not
// queued, for a slow reader.
func (sub *Subscription) C() <-chan time.Time {
	return sub.ticker.C
}

// Stop stops the subscription.
func (sub *Subscription) Stop() {
	sub.ticker.Stop()
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	delete(sub.service.subs, sub)
}
