package dispatch

import (
	"time"

	"greengagedock.example/routing"
)

// fullLevel is the highest level of a leaky bucket. A bucket admits requests below level 1,
// so that two may follow each other at once after a pause.
const fullLevel = 2

// leakyBucket limits the rate of requests. Its zero value is empty.
type leakyBucket struct {
	level   float64
	updated time.Time
}

// levelAt returns the level at a time, at a rate in requests a second since the last update.
func (b *leakyBucket) levelAt(now time.Time, rate float64) float64 {
	return max(0, b.level-rate*now.Sub(b.updated).Seconds())
}

// admits reports whether there is room for another request at a rate in requests a second.
func (b *leakyBucket) admits(now time.Time, rate float64) bool {
	b.level, b.updated = b.levelAt(now, rate), now
	return b.level < 1
}

// add counts a request.
func (b *leakyBucket) add() { b.level++ }

// fill has the bucket admit nothing until a request has drained: it is not known what the
// server got a moment ago.
func (b *leakyBucket) fill(now time.Time) { b.level, b.updated = fullLevel, now }

// rateLimit is the limit that a server has stated for the requests of all entries. Its
// zero value limits nothing.
type rateLimit struct {
	perSecond float64 // 0 for no limit
	bucket    leakyBucket
	// guessed is set while the bucket is filled because nothing is known of what the server
	// got before.
	guessed bool
	// predecessor is what another scheduler told of its bucket, which bucket includes.
	predecessor leakyBucket
}

// fill has the server get nothing until a request has drained.
func (l *rateLimit) fill(now time.Time) {
	l.bucket.fill(now)
	l.guessed = true
}

// inherited reports whether another scheduler has told a short time ago what it counted.
func (l *rateLimit) inherited(now time.Time) bool {
	return !l.guessed && now.Sub(l.predecessor.updated) <= maxLearnedAge
}

// merge adds what another scheduler counted by a time. Of what it told before, only the
// difference is added.
func (l *rateLimit) merge(now time.Time, level float64, at time.Time, share float64) {
	if !at.After(l.predecessor.updated) {
		return
	}
	if l.guessed {
		l.bucket, l.guessed = leakyBucket{updated: now}, false
	}
	added := max(0, level-l.predecessor.levelAt(at, l.perSecond))
	l.bucket.level = l.bucket.levelAt(now, l.perSecond*share) + max(0, added-l.perSecond*now.Sub(at).Seconds())
	l.bucket.updated = now
	l.predecessor = leakyBucket{level: level, updated: at}
}

// set sets the limit in requests a second, 0 for none.
func (l *rateLimit) set(now time.Time, perSecond float64) {
	if l.perSecond == 0 && perSecond > 0 {
		l.fill(now)
	}
	l.perSecond = perSecond
}

// countSend counts a request.
func (l *rateLimit) countSend() {
	if l.perSecond > 0 {
		l.bucket.add()
		l.guessed = false
	}
}

// SetRateLimit sets how many requests a second a server takes from all entries together.
func (sched *Scheduler) SetRateLimit(now time.Time, server routing.Incarnation, limit routing.RateLimit) {
	for _, p := range sched.pools {
		if s := p.servers[server.ID()]; s != nil && s.info.Incarnation() == server {
			s.limit.set(now, limit.PerSecond())
			p.cachedCandidates = nil
		}
	}
}

// fillLimits has the servers with a rate limit get nothing until a request has drained,
// since another scheduler has counted what they got, unless it has told of that.
func (p *pool) fillLimits(now time.Time) {
	for _, s := range p.order {
		if s.limit.perSecond > 0 && !(p.primary && s.limit.inherited(now)) {
			s.limit.fill(now)
		}
	}
}

// SetRateLimitShare sets the fraction of the rate limits of a service's servers that this
// scheduler may use, up to 1. It may differ from the share of other limits, since a small
// limit is not divided among many entries.
func (sched *Scheduler) SetRateLimitShare(service string, share float64) {
	if p := sched.pools[service]; p != nil {
		p.rateLimitShare = share
	}
}

// admitsLimited reports whether the server's rate limit allows a request now.
func (p *pool) admitsLimited(now time.Time, s *server) bool {
	if s.limit.perSecond == 0 {
		return true
	}
	return p.rateLimitShare > 0 && s.limit.bucket.admits(now, s.limit.perSecond*p.rateLimitShare)
}

// admits reports whether the limits of a server allow another request of this scheduler.
func (p *pool) admits(now time.Time, s *server) bool {
	return s.admitsCold(now, p.coldShare) && p.admitsLimited(now, s) && p.admitsUnseen(now, s)
}

// limitedCapacity is what the rate limits of a service's servers leave for requests.
type limitedCapacity struct {
	rate float64 // in requests a second
	free float64 // the number of requests for which there is room now
}

// limitedCapacity returns what the rate limits of a service's servers leave. It reports false
// if a server that wants requests has no limit, also one that is suspended for a while, or if
// there is none.
func (p *pool) limitedCapacity(now time.Time) (out limitedCapacity, limited bool) {
	for _, s := range p.order {
		if !s.usable || now.Before(s.refusesUntil) {
			continue
		}
		if s.limit.perSecond == 0 {
			return limitedCapacity{}, false
		}
		limited = true
		if !s.available(now) && !s.availableInNeed(now) {
			continue
		}
		rate := s.limit.perSecond * p.rateLimitShare
		out.rate += rate
		out.free += 1 - max(0, s.limit.bucket.levelAt(now, rate)-1)
	}
	return out, limited
}

// wait returns the time until there is room for a request behind others.
func (c limitedCapacity) wait(ahead int) time.Duration {
	return time.Duration(max(0, float64(ahead+1)-c.free) / c.rate * float64(time.Second))
}

// refuseLimited refuses a request behind a number of others that the rate limits of all servers keep
// from being placed in time. The callers of such requests may return at the rate at which
// they can be served.
func (p *pool) refuseLimited(now time.Time, request Request, ahead func() int) Decision {
	capacity, limited := p.limitedCapacity(now)
	if !limited {
		return nil
	}
	if p.rateLimitShare == 0 {
		return NewRefused(request.id, ReasonServersLimited, retryAfterNoServer) // other entries use them
	}
	if capacity.rate == 0 {
		return nil // all of them are suspended for a while
	}
	freeAt := now.Add(capacity.wait(ahead()))
	if !freeAt.After(p.queueDeadline(request)) {
		return nil
	}
	p.limitedReturn = later(p.limitedReturn, freeAt).Add(time.Duration(float64(time.Second) / capacity.rate))
	if latest := now.Add(maxRefusedRetryAfter); p.limitedReturn.After(latest) {
		p.limitedReturn = latest
	}
	return NewRefused(request.id, ReasonServersLimited, max(minRetryAfter, p.limitedReturn.Sub(now)))
}

// mayOvertake reports whether a new request may be placed before the queue is: not if the
// rate limits of all servers leave room for few, and others wait for it.
func (p *pool) mayOvertake(now time.Time, request Request) bool {
	_, limited := p.limitedCapacity(now)
	return !limited || p.queuedAhead(now, request) == 0
}

// queuedAhead returns the number of queued requests of the same or a higher priority,
// without those beyond their account's share for a request that is within.
func (p *pool) queuedAhead(now time.Time, request Request) int {
	n := 0
	over := p.standingOf(now, request).over
	for _, q := range p.queue {
		if q.request.priority <= request.priority && (over || !q.standing.over) {
			n++
		}
	}
	return n
}
