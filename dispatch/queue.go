package dispatch

import (
	"cmp"
	"slices"
	"time"

	"greengagedock.example/routing"
)

const (
	// retryAfterNoServer is the retry delay while the service has no usable server:
	// about the interval at which servers publish themselves.
	retryAfterNoServer = 1200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of refused requests.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxRetryAfterLate bounds the retry delay of requests that already miss their objective.
	maxRetryAfterLate = 5 * time.Second
	// queueDrainShare is the fraction of the servers' time that is assumed to go to
	// requests already in the queue: later requests that can still meet their
	// objectives are placed before those that can't.
	queueDrainShare = 0.3
	// plainWaitFraction is the fraction of the objective that a request to a plain service may wait.
	plainWaitFraction = 0.5
	// typicalPrefillShare is the typical share of a prompt that one server prefills.
	typicalPrefillShare = 0.125
)

// queueOrRefuse returns nil if the request may still wait, otherwise a refusal.
func (p *pool) queueOrRefuse(now time.Time, request Request, reason Reason) Decision {
	if now.Before(p.queueDeadline(request)) {
		return nil
	}
	return p.refuseForRoom(now, request, reason, p.retryAfter(now))
}

// refuseHopeless refuses a request that would wait in vain: while the service has no
// usable server or none that wants requests, or if even all of them together can't hold
// the prompt.
func (p *pool) refuseHopeless(now time.Time, request Request) Decision {
	if p.usableServers == 0 {
		return NewRefused(request.id, ReasonNoServer, retryAfterNoServer)
	}
	if until, refused := p.refusedByAll(now); refused {
		return NewRefused(request.id, ReasonServersRefuse, ReturnAfter(request.id, now, until))
	}
	if !p.needsSpread(request) {
		return nil
	}
	participants := float64(min(p.usableServers, maxPrefillWorkers+1))
	if room := maxSpreadMemoryFraction * float64(p.service.Engine().Memory()) * participants; float64(request.prompt+request.answer) > room {
		return NewRefused(request.id, ReasonTooLarge, maxRetryAfterLate)
	}
	return nil
}

// prefillTime returns the time that one engine takes to prefill the whole prompt.
func (p *pool) prefillTime(request Request) time.Duration {
	if engine := p.service.Engine(); engine != nil {
		return engine.PrefillTime(request.prompt, 1)
	}
	return 0
}

// queuedPrefill returns the prefill time of a queued request.
func (p *pool) queuedPrefill(q *queuedRequest) time.Duration {
	if q.prefill == 0 {
		q.prefill = p.prefillTime(q.request)
	}
	return q.prefill
}

// shedLate refuses a request that already misses its objective and would not be
// placed in time behind the prefill ahead of it; its caller had better retry when
// that prefill is done.
func (p *pool) shedLate(now time.Time, q *queuedRequest, ahead time.Duration) Decision {
	engine := p.service.Engine()
	if engine == nil || !p.missesObjective(now, q.request) || q.underserved {
		return nil
	}
	usable, backlog := p.usable(now)
	if usable == 0 {
		return nil
	}
	wait := time.Duration(float64(ahead+backlog) / (float64(usable) * queueDrainShare))
	if now.Add(wait).Before(p.queueDeadline(q.request)) {
		return nil
	}
	return p.refuseForRoom(now, q.request, ReasonPastDeadline, wait)
}

// queueDeadline returns the time until which a request may be queued.
func (p *pool) queueDeadline(r Request) time.Time {
	engine := p.service.Engine()
	if engine == nil {
		return r.arrived.Add(time.Duration(plainWaitFraction * float64(r.objective.Sub(r.arrived))))
	}
	minTime := p.minPrefillTime(r) + engine.DecodePassTime(1, r.prompt)
	limit := min(r.firstTokenDeadline.Sub(r.arrived), r.deadline.Sub(r.arrived))
	return r.arrived.Add(time.Duration(firstTokenDeadlineFraction*float64(limit)) - minTime)
}

// minPrefillTime returns the time to prefill a prompt on as many servers as possible.
func (p *pool) minPrefillTime(r Request) time.Duration {
	return p.service.Engine().PrefillTime(r.prompt, 1/float64(max(1, min(p.usableServers, maxPrefillWorkers+1))))
}

// missesObjective reports whether a request can't meet its objective any more.
func (p *pool) missesObjective(now time.Time, r Request) bool {
	return now.Add(p.minPrefillTime(r)).After(r.objective)
}

// responseRatio returns the response ratio of a request: its time in the queue plus
// its prefill time, relative to the prefill time. The highest ratio goes first, so
// short prompts overtake long ones only for a while.
func (r Request) responseRatio(now time.Time, engine *routing.EngineProfile) float64 {
	prefill := max(float64(engine.PrefillTime(r.prompt, typicalPrefillShare)), float64(time.Millisecond))
	return 1 + float64(now.Sub(r.arrived))/prefill
}

// sortQueue sorts the queue. Requests that can still meet their objectives come
// first, then late requests that are underserved, then the other late ones. Within
// each group those within their account's share come first; they are sorted by priority
// and then by response ratio. Requests to plain services are sorted by share, by priority
// and then by arrival.
func (p *pool) sortQueue(now time.Time) {
	engine := p.service.Engine()
	for _, q := range p.queue {
		q.underserved, q.standing.over = p.underserved(q.request) || q.returned, false
		if engine != nil {
			q.late, q.ratio = p.missesObjective(now, q.request), q.request.responseRatio(now, engine)
		}
	}
	compare := func(a, b *queuedRequest) int {
		if engine == nil {
			return cmp.Or(compareStanding(a, b), a.request.priority-b.request.priority, a.request.arrived.Compare(b.request.arrived))
		}
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		} else if a.late && a.underserved != b.underserved {
			if a.underserved {
				return -1
			}
			return 1
		}
		return cmp.Or(compareStanding(a, b), a.request.priority-b.request.priority, cmp.Compare(b.ratio, a.ratio))
	}
	slices.SortStableFunc(p.queue, compare)
	if p.markShares(now) {
		slices.SortStableFunc(p.queue, compare)
	}
}

// retryAfter returns the time until a server is likely to have capacity.
func (p *pool) retryAfter(now time.Time) time.Duration {
	minBacklog := time.Duration(-1)
	for _, s := range p.order {
		if s.usable && (minBacklog < 0 || s.backlog(now) < minBacklog) {
			minBacklog = s.backlog(now)
		}
	}
	return min(max(minBacklog, minRetryAfter), maxRetryAfter)
}
