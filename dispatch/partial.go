package dispatch

import (
	"slices"
	"time"
)

// A scheduler that has just started, or that schedules only for its own entry, sees a part
// of what runs on the servers. Until it sees the rest, it sends a server few requests
// before the server's responses show that there is room. Several schedulers that do not
// know each other then don't fill the same servers, and a server that is full of requests
// of entries that are gone gets few more.

// SetSeenShare sets the fraction of the load on a service's servers that this scheduler
// sees: 1, as it is before the first call, if it sees all of it.
func (sched *Scheduler) SetSeenShare(now time.Time, service string, share float64) {
	p := sched.pools[service]
	if p == nil {
		return
	}
	unseen := max(0, 1-share)
	if unseen > 0 && p.unseenShare == 0 {
		p.partialFrom = now
		for _, s := range p.order {
			s.observed.answers = 0
		}
	}
	if unseen != p.unseenShare {
		p.cachedCandidates = nil
	}
	p.unseenShare = unseen
}

// unansweredFraction is the fraction of a server's slots that requests without an answer may
// take while the load is seen only in part: with one request per server most callers wait
// while slots are free, and with half of the slots several schedulers overfill a server.
const unansweredFraction = 0.25

// admitsUnseen reports whether a server may get a request although the scheduler sees only
// a part of its load.
func (p *pool) admitsUnseen(now time.Time, s *server) bool {
	if p.unseenShare == 0 {
		return true
	}
	if s.observed.at.After(p.partialFrom) && now.Sub(s.observed.at) <= unseenFadeTime {
		// The unseen load that the server has stated is known; other schedulers place as well
		// unless this one places for all.
		return p.primary || s.placedSince(s.observed.at) < max(1, int((1-p.unseenShare)*float64(s.observed.free)))
	}
	fraction, unanswered := unansweredFraction, s.unanswered()
	if !p.primary {
		fraction = min(fraction, 1-p.unseenShare)
		unanswered -= s.unansweredAdopted() // their answers are told to the scheduler that placed them
	}
	return unanswered < max(1, int(fraction*float64(s.slots())))+s.observed.answersAt(now)
}

// heldBack reports whether a server would be a candidate for a request if the scheduler saw
// its load.
func (p *pool) heldBack(now time.Time, s *server, request Request) bool {
	return p.unseenShare > 0 && s.available(now) && !p.admitsUnseen(now, s) && !slices.Contains(request.exclude, s.info.ID())
}

// reasonWithoutCandidates returns why a request is refused for which there is no candidate.
func (p *pool) reasonWithoutCandidates(now time.Time, request Request) Reason {
	if slices.ContainsFunc(p.order, func(s *server) bool { return p.heldBack(now, s, request) }) {
		return ReasonBusy
	}
	return ReasonNoServer
}

// placedSince returns the number of requests that were placed on the server after a time.
func (s *server) placedSince(at time.Time) int {
	n := 0
	for _, alloc := range s.running {
		if alloc.granted.After(at) && !alloc.adopted {
			n++
		}
	}
	return n
}

// unanswered returns the number of requests on the server without a first event.
func (s *server) unanswered() int {
	n := 0
	for _, alloc := range s.running {
		if !alloc.started {
			n++
		}
	}
	return n
}

// unansweredAdopted returns the number of those that another scheduler placed.
func (s *server) unansweredAdopted() int {
	n := 0
	for _, alloc := range s.running {
		if !alloc.started && alloc.adopted {
			n++
		}
	}
	return n
}
