package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedock.example/routing"
)

const (
	// maxRefusedRetryAfter bounds the retry delay while all servers refuse requests: others
	// may be published meanwhile.
	maxRefusedRetryAfter = 30 * time.Second
	// returnSpreadFraction is the part of the time of refusal over which the callers are
	// spread that return after it, within minReturnSpread and maxReturnSpread.
	returnSpreadFraction = 0.25
	minReturnSpread      = 200 * time.Millisecond
	maxReturnSpread      = 2 * time.Second
)

// Refuse records that a server wants no requests until a time.
func (sched *Scheduler) Refuse(server routing.Incarnation, until time.Time) {
	for _, p := range sched.pools {
		if s := p.servers[server.ID()]; s != nil && s.info.Incarnation() == server {
			s.refuse(until)
			p.cachedCandidates = nil
		}
	}
}

func (s *server) refuse(until time.Time) {
	s.refusesUntil = later(s.refusesUntil, until)
}

// refusedByAll reports whether all usable servers want no requests, and until when.
func (p *pool) refusedByAll(now time.Time) (until time.Time, refused bool) {
	for _, s := range p.order {
		if !s.usable {
			continue
		}
		if !now.Before(s.refusesUntil) {
			return time.Time{}, false
		}
		if until.IsZero() || s.refusesUntil.Before(until) {
			until = s.refusesUntil
		}
	}
	return until, !until.IsZero()
}

// ReturnAfter returns the retry delay of a request with an id that no server wants before
// a time; it differs between requests, so that their callers don't return all at once.
func ReturnAfter(id string, now, until time.Time) time.Duration {
	wait := until.Sub(now)
	spread := min(max(time.Duration(returnSpreadFraction*float64(wait)), minReturnSpread), maxReturnSpread)
	fraction := float64(xxhash.Sum64String(id)) / math.MaxUint64
	return min(wait, maxRefusedRetryAfter) + time.Duration(fraction*float64(spread))
}
