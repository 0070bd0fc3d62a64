package dispatch

import (
	"slices"
	"time"
)

// An entry may have lost the direct way to some servers. Its requests are preferably placed on
// others. What it reports of servers that others reach holds back nobody but itself.

const (
	// unreachedTime is for how long a server counts as not reached by an entry that has said
	// so: three heartbeats and the way of one.
	unreachedTime = 1500 * time.Millisecond
	// blamedTime is how long an entry's requests avoid a server that only failed for it. By
	// then the entry has found out whether it has lost the way.
	blamedTime = time.Second
	// vouchTime is how recently a server must have responded to another entry for a failure to
	// count for the entry alone that reports it. A server that has just died has stopped
	// responding to all by then.
	vouchTime = 300 * time.Millisecond
	// liftDelay is how long after a failure a response to another entry must be reported to
	// show that the server responds: reports of earlier ones may be late.
	liftDelay = 100 * time.Millisecond
	// maxReachEntries is the number of entries above which outdated times are dropped.
	maxReachEntries = 64
)

// reach is what is known of which entries a server responds to. Its zero value is ready to use.
type reach struct {
	// avoidedUntil holds until when requests of an entry avoid the server.
	avoidedUntil map[string]time.Time
	// respondedAt holds when the server last responded to an entry.
	respondedAt map[string]time.Time
	// blamedAt is when a failure last counted for all entries.
	blamedAt time.Time
}

// setTime sets the time of an entry, and drops outdated ones from a large map.
func setTime(times *map[string]time.Time, entry string, at, outdated time.Time) {
	if *times == nil {
		*times = make(map[string]time.Time)
	}
	if len(*times) >= maxReachEntries {
		for other, t := range *times {
			if t.Before(outdated) {
				delete(*times, other)
			}
		}
	}
	(*times)[entry] = at
}

// avoid has the requests of an entry avoid the server until a time.
func (r *reach) avoid(now time.Time, entry string, until time.Time) {
	setTime(&r.avoidedUntil, entry, later(r.avoidedUntil[entry], until), now)
}

// avoids reports whether the requests of an entry avoid the server.
func (r *reach) avoids(now time.Time, entry string) bool { return now.Before(r.avoidedUntil[entry]) }

// blamedAlone records that the server failed for an entry. It reports whether that counts for
// this entry alone: most of the entries that lately have heard of the server got responses.
func (r *reach) blamedAlone(now time.Time, entry string) bool {
	if now.Sub(r.respondedAt[entry]) <= vouchTime {
		return false // the entry reaches it
	}
	vouching, blaming := 0, 1
	for other, at := range r.respondedAt {
		if other != entry && now.Sub(at) <= vouchTime && !r.avoids(now, other) {
			vouching++
		}
	}
	for other := range r.avoidedUntil {
		if other != entry && r.avoids(now, other) {
			blaming++
		}
	}
	if vouching < blaming {
		r.blamedAt = now
		return false
	}
	r.avoid(now, entry, now.Add(blamedTime))
	return true
}

// responded records that the server responded to an entry. If the server is held back because
// others did not reach it, it is so for these alone from then on. Responses that broke off count
// for all: some fail on a server that others succeed on.
func (s *server) responded(now time.Time, entry string) {
	setTime(&s.reach.respondedAt, entry, now, now.Add(-vouchTime))
	if !s.unresponsive || len(s.blamers) == 0 || s.blamers[entry] || now.Sub(s.reach.blamedAt) < liftDelay {
		return
	}
	for blamer := range s.blamers {
		s.reach.avoid(now, blamer, now.Add(blamedTime))
	}
	s.absolve()
}

// absolve ends the suspension of the server.
func (s *server) absolve() {
	s.blamers, s.consecutiveFailures, s.unresponsive = nil, 0, false
	s.suspendedUntil = time.Time{}
}

// SetUnreached records which servers an entry says that it has no direct way to. It is to be
// called again at each heartbeat.
func (sched *Scheduler) SetUnreached(now time.Time, entry string, servers []string) {
	for _, p := range sched.pools {
		for _, id := range servers {
			if s := p.servers[id]; s != nil {
				s.reach.avoid(now, entry, now.Add(unreachedTime))
				s.forgive(now, sched.cutOff)
			}
		}
	}
}

// reachedBy returns the servers that the requests of an entry do not avoid, or all if there
// are no others.
func reachedBy(now time.Time, entry string, servers []*server) []*server {
	avoided := func(s *server) bool { return s.reach.avoids(now, entry) }
	if !slices.ContainsFunc(servers, avoided) {
		return servers
	}
	if out := slices.DeleteFunc(slices.Clone(servers), avoided); len(out) > 0 {
		return out
	}
	return servers
}
