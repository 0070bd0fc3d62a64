package dispatch

import "time"

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

// admitsUnseen reports whether a server may get a request although the scheduler sees only
// a part of its load.
func (p *pool) admitsUnseen(now time.Time, s *server) bool {
	if p.unseenShare == 0 {
		return true
	}
	if s.observed.at.After(p.partialFrom) && now.Sub(s.observed.at) <= unseenFadeTime {
		return s.placedSince(s.observed.at) < p.part(s.observed.free, p.primary)
	}
	return s.unanswered() < p.part(s.slots()-len(s.running), false)+s.observed.answers
}

// part returns how many of a server's free slots this scheduler may use: all of them if it
// places the requests of all entries and the server has stated them.
func (p *pool) part(free int, all bool) int {
	if all {
		return free
	}
	return max(1, int((1-p.unseenShare)*float64(free)))
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
