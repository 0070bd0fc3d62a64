package backend

import (
	"math"
	"time"
)

const (
	// longRotation is the time after which another subset of the servers
	// takes the long prompts.
	longRotation = 30 * time.Second
	// longShareNum and longShareDen give the share of a server's memory that
	// several long prompts may use together.
	longShareNum, longShareDen = 1, 2
)

// serverToReserve returns the server that has to free the least memory for
// the request.
func (a *Allocator) serverToReserve(now time.Time, request SlotRequest) *backendState {
	var best *backendState
	minShortfall := 0
	for _, b := range a.longServers(now, request) {
		shortfall := b.countedLoad().tokens + request.cost.Tokens() - b.limit().tokens
		if best == nil || shortfall < minShortfall {
			best, minShortfall = b, shortfall
		}
	}
	return best
}

// longServers returns the servers that take long prompts now, out of those
// that could take the request: a share equal to the long prompts' share of
// the demand, but at least one server and, where there are several, never
// all.
func (a *Allocator) longServers(now time.Time, request SlotRequest) []*backendState {
	var capable []*backendState
	for _, b := range a.serving(request.workload) {
		if b.canTake(now, request) {
			capable = append(capable, b)
		}
	}
	if len(capable) == 0 {
		return nil
	}
	first := int(now.Unix()/int64(longRotation/time.Second)) % len(capable)
	var subset []*backendState
	for i := range a.queue(request.workload).longServerCount(len(capable)) {
		subset = append(subset, capable[(first+i)%len(capable)])
	}
	return subset
}

// longServerCount returns how many of n servers take long prompts.
func (q *queue) longServerCount(n int) int {
	count := int(math.Round(q.demand.fraction(ClassLong) * float64(n)))
	return max(min(count, n-1), 1)
}
