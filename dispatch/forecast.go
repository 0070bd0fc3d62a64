package dispatch

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// minObservation is how long a scheduler must have placed the requests of all entries
	// before it refuses by forecast: until then entries may not have reported what runs.
	minObservation = unreportedGrace
	// earliestRunFraction is the fraction of a request's expected run time after which its
	// slot is free in the earliest case: callers' hints of answer lengths are inaccurate.
	earliestRunFraction = 0.5
	// minLateSlots is the fraction of the slots that late requests are expected to get at least.
	minLateSlots = 0.02
	// maxForecastAhead bounds the queued requests that a forecast follows; behind more, a
	// request is queued.
	maxForecastAhead = 256
)

// refuseByForecast refuses a new request that can't have its first event in time even in
// the earliest case. It returns nil for any other, and if the forecast isn't certain: with
// incomplete knowledge of what runs, and for a request that was promised room.
func (p *pool) refuseByForecast(now time.Time, request Request, promised bool) Decision {
	if p.service.Engine() == nil || !p.primary || now.Sub(p.observedFrom) < minObservation || promised {
		return nil
	}
	latest := p.latestPlacement(request)
	if p.hasSlotBy(now, latest, len(p.queue)) && !p.engineFor(now, p.queue).After(latest) {
		return nil // even behind all queued requests
	}
	earliest, known := p.earliestPlacement(now, request)
	if !known || !earliest.After(latest) {
		return nil
	}
	return p.refuseForRoom(now, request, ReasonNoRoom, earliest.Sub(now))
}

// latestPlacement returns the time at which a request must have been placed for its caller
// to be there for the first event.
func (p *pool) latestPlacement(r Request) time.Time {
	latest := r.firstTokenDeadline
	if r.deadline.Before(latest) {
		latest = r.deadline
	}
	return latest.Add(-p.minPrefillTime(r))
}

// earliestPlacement returns the earliest time at which a slot and an engine may be free for
// a request, and false if the forecast doesn't reach so far.
func (p *pool) earliestPlacement(now time.Time, request Request) (time.Time, bool) {
	ahead := p.surelyAhead(now, request)
	if len(ahead) > maxForecastAhead {
		return time.Time{}, false
	}
	slots := p.slotTimes(now)
	if len(slots) == 0 {
		return time.Time{}, false
	}
	return later(p.slotFor(slots, ahead, request), p.engineFor(now, ahead)), true
}

// surelyAhead returns the queued requests that go before a new request whenever both fit:
// no less urgent, no longer, and with the same objectives. An account under its share goes
// before those over it; their requests are not ahead of its own.
func (p *pool) surelyAhead(now time.Time, request Request) []*queuedRequest {
	var out []*queuedRequest
	over := p.standingOf(now, request).over
	for _, q := range p.queue {
		r := q.request
		if (over || !q.standing.over) && r.priority <= request.priority && r.prompt <= request.prompt && r.objectives() == request.objectives() {
			out = append(out, q)
		}
	}
	return out
}

// aheadSlot is a request ahead that may take a slot.
type aheadSlot struct {
	// leaves is when its time in the queue ends, and late when it misses its objective.
	leaves time.Time
	late   time.Time
	run    time.Duration
	taken  bool
}

// takes reports whether the request takes a slot that is free at a time. A late one takes
// none before the new request is late as well.
func (a *aheadSlot) takes(at time.Time, newIsLate bool) bool {
	return !a.taken && !at.After(a.leaves) && (newIsLate || !at.After(a.late))
}

// slotFor returns the first slot that none of the requests ahead takes. Slots are considered
// in the order of their times, so that one that a request doesn't take because of the time is
// followed by none that it takes, except when the new request becomes late.
func (p *pool) slotFor(slots timeHeap, ahead []*queuedRequest, request Request) time.Time {
	takers := make([]aheadSlot, len(ahead))
	for i, q := range ahead {
		r := q.request
		run := time.Duration(earliestRunFraction * float64(p.runTime(r.prompt, r.answer)))
		takers[i] = aheadSlot{leaves: p.queueDeadline(r), late: r.objective.Add(-p.minPrefillTime(r)), run: run}
	}
	newIsLate, next := false, 0
	for {
		at := slots[0]
		if !newIsLate && p.missesObjective(at, request) {
			newIsLate, next = true, 0
		}
		for next < len(takers) && !takers[next].takes(at, newIsLate) {
			next++
		}
		if next == len(takers) {
			return at
		}
		takers[next].taken = true
		slots[0] = at.Add(takers[next].run)
		heap.Fix(&slots, 0)
	}
}

// engineFor returns the time at which the first engine may begin the prefill of a request,
// if the engines with the least prefill share that of the requests ahead. Some of those may
// leave the queue before, so only a part is counted.
func (p *pool) engineFor(now time.Time, ahead []*queuedRequest) time.Time {
	work := time.Duration(0)
	for _, q := range ahead {
		work += time.Duration(earliestRunFraction * float64(p.queuedPrefill(q)))
	}
	var backlogs []time.Duration
	for _, s := range p.order {
		if s.usable {
			backlogs = append(backlogs, s.backlog(now))
		}
	}
	slices.Sort(backlogs)
	filled := time.Duration(0) // the sum of the backlogs so far
	for i, backlog := range backlogs {
		filled += backlog
		level := (filled + work) / time.Duration(i+1)
		if i+1 == len(backlogs) || level <= backlogs[i+1] {
			return now.Add(level)
		}
	}
	return now
}

// slotTimes returns the times at which the slots of the usable servers may be free, in the earliest case.
func (p *pool) slotTimes(now time.Time) timeHeap {
	var out timeHeap
	for _, s := range p.order {
		if !s.usable {
			continue
		}
		for range s.slots() - len(s.running) {
			out = append(out, now)
		}
		for _, alloc := range s.running {
			out = append(out, later(now, p.earliestEnd(alloc)))
		}
	}
	heap.Init(&out)
	return out
}

// hasSlotBy reports whether more slots than a number of requests take may be free by a time.
func (p *pool) hasSlotBy(now, by time.Time, requests int) bool {
	if by.Before(now) {
		return false
	}
	n := 0
	for _, s := range p.order {
		if !s.usable {
			continue
		}
		n += max(0, s.slots()-len(s.running))
		for _, alloc := range s.running {
			if !p.earliestEnd(alloc).After(by) {
				n++
			}
		}
		if n > requests {
			return true
		}
	}
	return false
}

// earliestEnd returns the time at which a running request may end, in the earliest case.
func (p *pool) earliestEnd(alloc *allocation) time.Time {
	if alloc.earliestRun == 0 {
		alloc.earliestRun = time.Duration(earliestRunFraction * float64(p.runTime(alloc.prompt, alloc.answer)))
	}
	return alloc.granted.Add(alloc.earliestRun)
}

// runTime returns the expected time for which a request has a slot of an engine that runs
// nothing else.
func (p *pool) runTime(prompt, answer int) time.Duration {
	engine := p.service.Engine()
	passes := float64(answer) / float64(engine.StepsPerPass())
	return engine.PrefillTime(prompt, typicalPrefillShare) + time.Duration(passes*float64(engine.DecodePassTime(1, prompt)))
}

// timeHeap is a heap of times, the earliest first.
type timeHeap []time.Time

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a time, as container/heap requires.
func (h *timeHeap) Push(x any) { *h = append(*h, x.(time.Time)) }

// Pop removes the last time, as container/heap requires.
func (h *timeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// slotWait returns how long a new late request would wait for a slot behind all queued ones.
// Late requests get the slots that the requests that are expected to arrive leave to them.
func (p *pool) slotWait(now time.Time) time.Duration {
	slots, ahead := 0, time.Duration(0)
	for _, s := range p.order {
		if s.usable {
			slots += s.slots()
		}
	}
	for _, q := range p.queue {
		ahead += p.slotTime(q.request)
	}
	total := float64(max(1, slots))
	return time.Duration(float64(ahead) / max(total-p.slotDemand(now), minLateSlots*total))
}

// Admission states what the schedulers of an entry expect and keep.
type Admission struct {
	wait     time.Duration
	promised int
	room     int
}

// Wait returns the longest time, over the services, for which a new late request would wait
// for a slot behind all queued ones.
func (a Admission) Wait() time.Duration { return a.wait }

// Promised returns the number of refused callers that were promised a return.
func (a Admission) Promised() int { return a.promised }

// Room returns the number of slots that longer prompts leave to the requests that are expected.
func (a Admission) Room() int { return a.room }

// Admission returns what is expected and kept now, over all services.
func (sched *Scheduler) Admission(now time.Time) Admission {
	var out Admission
	for _, p := range sched.pools {
		p.returns.expire(now)
		out.promised += len(p.returns.promised)
		if p.service.Engine() != nil {
			out.room += int(math.Ceil(p.slotDemand(now) / maxSlotLoad))
			out.wait = max(out.wait, p.slotWait(now))
		}
	}
	return out
}
