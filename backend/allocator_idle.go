package backend

import (
	"math"
	"slices"
	"time"
)

// idleServer is what one server that accepts new work could take if it were
// idle. prefill and decode are the expected seconds per prompt token and per
// answer token.
type idleServer struct {
	backend   *backendState
	limit     Load
	maxLimit  Load
	suspended bool
	prefill   float64
	decode    float64
}

// idleServers are the servers of a workload that accept new work, as of one
// moment.
type idleServers []idleServer

func (a *Allocator) idleServers(now time.Time, workload Workload) idleServers {
	var servers idleServers
	for _, b := range a.backends {
		if !b.acceptsWork() || !b.serves(workload) {
			continue
		}
		s := idleServer{backend: b, limit: b.limit(), maxLimit: b.maxLimit(), suspended: b.suspendedReason(now) != ""}
		s.prefill, s.decode = b.estimator.tokenTimes(now)
		servers = append(servers, s)
	}
	return servers
}

// canTake reports whether the server could take the request now if it were
// idle, regardless of the deadline.
func (s *idleServer) canTake(request SlotRequest) bool {
	return !s.suspended && s.backend.need(request.cost).Within(s.limit) && !slices.Contains(request.avoid, s.backend.server.id)
}

func (s *idleServer) serviceTime(cost Cost) time.Duration {
	return seconds(float64(cost.prompt)*s.prefill + float64(cost.answer)*s.decode)
}

// canFinish reports whether some server could finish the request by its
// deadline if it were idle.
func (s idleServers) canFinish(now time.Time, request SlotRequest) bool {
	left := request.deadline.Sub(now)
	for i := range s {
		if s[i].canTake(request) && s[i].serviceTime(request.cost) <= left {
			return true
		}
	}
	return false
}

// serviceTime returns the shortest expected service time of the request among
// the servers that can take it, or among all servers if none can.
func (s idleServers) serviceTime(request SlotRequest) time.Duration {
	shortest, suspended := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for i := range s {
		if s[i].canTake(request) {
			shortest = min(shortest, s[i].serviceTime(request.cost))
		}
		suspended = min(suspended, s[i].serviceTime(request.cost))
	}
	if shortest < math.MaxInt64 {
		return shortest
	}
	return suspended
}

// refusal returns why no server can finish the request in time even when
// idle, nil if one can.
func (s idleServers) refusal(now time.Time, request SlotRequest) *Refusal {
	if len(s) == 0 {
		return NewRefusal(ReasonNoServer, minRetryAfter)
	}
	var fitsWarm, fitsNow bool
	for i := range s {
		need := s[i].backend.need(request.cost)
		fitsWarm = fitsWarm || need.tokens <= s[i].maxLimit.tokens
		fitsNow = fitsNow || need.Within(s[i].limit)
	}
	serviceTime := s.serviceTime(request)
	late := serviceTime - request.deadline.Sub(now)
	switch {
	case !fitsWarm:
		return NewRefusal(ReasonTooLarge, maxRetryAfter)
	case !fitsNow:
		return busyRefusal(serviceTime)
	case late > 0:
		return busyRefusal(late)
	}
	return nil
}
