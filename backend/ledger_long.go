package backend

import (
	"math"
	"time"
)

const (
	// longEpoch is the time after which the servers that take long prompts change.
	longEpoch = 30 * time.Second
	// longShareNum and longShareDen give the part of a server's memory that
	// several long prompts may take together.
	longShareNum, longShareDen = 1, 2
)

// gather returns the server that needs to free the least for the want.
func (l *Allocator) gather(now time.Time, want SlotRequest) *book {
	var best *book
	least := 0
	for _, b := range l.longSubset(now, want) {
		lack := b.counted().tokens + want.cost.Tokens() - b.limit().tokens
		if best == nil || lack < least {
			best, least = b, lack
		}
	}
	return best
}

// longSubset returns the servers that take long prompts now, of those that
// could take the want: their part of the demand, at least one, and not all
// where there are several.
func (l *Allocator) longSubset(now time.Time, want SlotRequest) []*book {
	var able []*book
	for _, b := range l.serving(want.work) {
		if b.could(now, want) {
			able = append(able, b)
		}
	}
	if len(able) == 0 {
		return nil
	}
	first := int(now.Unix()/int64(longEpoch/time.Second)) % len(able)
	var subset []*book
	for i := range l.queue(want.work).longServers(len(able)) {
		subset = append(subset, able[(first+i)%len(able)])
	}
	return subset
}

// longServers returns how many of n servers take long prompts.
func (q *queue) longServers(n int) int {
	count := int(math.Round(q.demand.part(ClassLong) * float64(n)))
	return max(min(count, n-1), 1)
}
