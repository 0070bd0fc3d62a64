package dispatch

import (
	"fmt"
	"math"
	"time"
)

// A scheduler knows the requests that it has placed and those that entries report. What
// else runs on a server shows only in the load that the server states in its responses:
// requests of entries that are gone, and those that other schedulers placed. That load
// counts against the server's slots until it has faded.

const (
	// unseenFadeTime is the time in which load that was not placed by this scheduler fades
	// unless the server states it again: about the time for which a short request takes a slot.
	unseenFadeTime = time.Second
	// endSlack is how long a request that has ended counts as known to its server: entries
	// batch events, and a server may state its load before it has noticed the end.
	endSlack = 150 * time.Millisecond
	// maxLoadAge is the age from which a stated load is ignored; a report that was delayed
	// so long can't be compared with what was running.
	maxLoadAge = 500 * time.Millisecond
	// maxRecentEnds bounds the ends that are kept for each server.
	maxRecentEnds = 256
)

// ObservedLoad is the load that a backend server stated in a response.
type ObservedLoad struct {
	server  string
	running int
	waiting int
	at      time.Time
}

// NewObservedLoad returns a load of running and waiting requests, stated at a time by the server with the id.
func NewObservedLoad(server string, running, waiting int, at time.Time) ObservedLoad {
	return ObservedLoad{server: server, running: running, waiting: waiting, at: at}
}

// Server returns the server's id.
func (l ObservedLoad) Server() string { return l.server }

// Running returns the number of requests that have a slot.
func (l ObservedLoad) Running() int { return l.running }

// Waiting returns the number of requests that wait for a slot.
func (l ObservedLoad) Waiting() int { return l.waiting }

// At returns when the server stated the load.
func (l ObservedLoad) At() time.Time { return l.at }

// observation is what a scheduler derives from the loads that a server states.
type observation struct {
	// at is when the last load was stated, zero if none was.
	at time.Time
	// free is the number of slots that no request had then.
	free int
	// unseen is the number of requests that the server had then beyond the known ones, and
	// unseenPrefill the prefill time of those of them that waited.
	unseen        int
	unseenPrefill time.Duration
	// recentEnds holds when requests on the server ended lately, in this order.
	recentEnds []time.Time
	// answers counts the requests that the server has answered, or begun to, since the
	// scheduler sees only a part of the load, without a break of unseenFadeTime up to answeredAt.
	answers    int
	answeredAt time.Time
}

// ObserveLoad records the load that a server of a service has stated.
func (sched *Scheduler) ObserveLoad(now time.Time, service string, load ObservedLoad) {
	p := sched.pools[service]
	if p == nil || now.Sub(load.at) > maxLoadAge {
		return
	}
	s := p.servers[load.server]
	if s == nil || load.at.Before(s.observed.at) {
		return
	}
	o := &s.observed
	o.at = load.at
	o.free = max(0, s.slots()-load.running-load.waiting)
	o.unseen = max(0, load.running+load.waiting-s.knownAt(load.at))
	o.unseenPrefill = 0
	if waiting := min(o.unseen, load.waiting); waiting > 0 {
		o.unseenPrefill = time.Duration(waiting) * p.meanPrefill()
	}
	p.cachedCandidates = nil
}

// knownAt returns the largest number of requests that the server can have had at a time
// if it had only those that the scheduler knows: a request may be on its way to the server,
// and the server may not have noticed an end.
func (s *server) knownAt(at time.Time) int {
	known := s.workerFor
	for _, alloc := range s.running {
		if !alloc.granted.After(at) || alloc.adopted {
			known++
		}
	}
	for _, end := range s.observed.recentEnds {
		if end.After(at.Add(-endSlack)) {
			known++
		}
	}
	return known
}

// recordOutcome counts the answer of a request without events.
func (o *observation) recordOutcome(now time.Time, alloc *allocation, outcome Outcome) {
	if outcome == OutcomeComplete && !alloc.started {
		o.recordAnswer(now)
	}
}

// recordAnswer counts an answer.
func (o *observation) recordAnswer(now time.Time) {
	o.answers = o.answersAt(now) + 1
	o.answeredAt = now
}

// answersAt returns the number of recent answers.
func (o *observation) answersAt(now time.Time) int {
	if now.Sub(o.answeredAt) > unseenFadeTime {
		return 0
	}
	return o.answers
}

// recordEnd records that a request on the server ended.
func (s *server) recordEnd(now time.Time) {
	ends := s.observed.recentEnds
	for len(ends) > 0 && (now.Sub(ends[0]) > maxLoadAge+endSlack || len(ends) >= maxRecentEnds) {
		ends = ends[1:]
	}
	s.observed.recentEnds = append(ends, now)
}

// meanPrefill returns the mean prefill time of the prompts that the pool's servers run.
func (p *pool) meanPrefill() time.Duration {
	if p.service.Engine() == nil {
		return 0
	}
	total, n := time.Duration(0), 0
	for _, s := range p.order {
		for _, alloc := range s.running {
			total += p.service.Engine().PrefillTime(alloc.prompt, 1)
			n++
		}
	}
	return total / time.Duration(max(1, n))
}

// unseenLeft returns the fraction of the unseen load that has not faded. More of it than
// the server has slots takes longer, since it is served one after the other.
func (s *server) unseenLeft(now time.Time) float64 {
	if s.observed.unseen == 0 {
		return 0
	}
	fade := float64(unseenFadeTime) * max(1, float64(s.observed.unseen)/float64(max(1, s.slots())))
	return max(0, 1-float64(now.Sub(s.observed.at))/fade)
}

// unseen returns the number of requests that the server is taken to have beyond the known ones.
func (s *server) unseen(now time.Time) int {
	return int(math.Round(float64(s.observed.unseen) * s.unseenLeft(now)))
}

// unseenBacklog returns the prefill time of the unseen requests that wait at the server.
func (s *server) unseenBacklog(now time.Time) time.Duration {
	return time.Duration(float64(s.observed.unseenPrefill) * s.unseenLeft(now))
}

// occupied returns the number of requests that the server is taken to have.
func (s *server) occupied(now time.Time) int { return len(s.running) + s.unseen(now) }

// UnseenLoad returns, by server, the number of requests that servers of a service have
// beyond those that the scheduler knows; servers without any are left out.
func (sched *Scheduler) UnseenLoad(now time.Time, service string) map[string]int {
	out := make(map[string]int)
	if p := sched.pools[service]; p != nil {
		for _, s := range p.order {
			if n := s.unseen(now); n > 0 {
				out[s.info.ID()] = n
			}
		}
	}
	return out
}

// explainObserved returns what the server's unseen load and its speed add to the explanation
// of a grant.
func (s *server) explainObserved(now time.Time) (out string) {
	if n := s.unseen(now); n > 0 {
		out = fmt.Sprintf(", unseen %d", n)
	}
	if s.speed.slowdown > 0 {
		out += fmt.Sprintf(", speed %.2f", s.speedFactor())
	}
	return out
}
