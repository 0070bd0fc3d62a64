package backend

import "time"

const (
	// minRetryAfter is the least retry time given to a refused caller.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the greatest.
	maxRetryAfter = time.Minute
	// waitSafetyFactor is the multiple of the expected wait that must fit
	// before the deadline, beside the service time, for a request to be
	// queued.
	waitSafetyFactor = 2
	// suspendedWait is the least expected wait while all servers are suspended.
	suspendedWait = 500 * time.Millisecond
)

// Request asks for a slot. The request is granted, denied or queued at once;
// a queued one gets its final decision from a later call, before its
// deadline. Asking again for the same attempt repeats the decision.
func (a *Allocator) Request(now time.Time, request SlotRequest) []Decision {
	if request.workload.IsGroupLease() {
		return a.requestLease(now, request)
	}
	if decisions, known := a.repeatDecision(now, request); known {
		return decisions
	}
	if refusal := a.refusal(now, request); refusal != nil {
		return append([]Decision{newDenied(request, refusal)}, a.grantQueued(now)...)
	}
	q := a.queue(request.workload)
	q.demand.add(now, request.cost)
	cq := q.classQueue(request.cost.Class())
	w := &queuedRequest{request: request, since: now}
	cq.push(w)
	out := a.grantQueued(now)
	if _, f, found := q.find(request.owner, request.id); found != nil {
		out = append(out, a.admit(now, q, cq, f, w)...)
	}
	return out
}

// repeatDecision returns the decision on an attempt that has asked before,
// none if its slot has been released or can no longer be used, and reports
// whether it has asked.
func (a *Allocator) repeatDecision(now time.Time, request SlotRequest) ([]Decision, bool) {
	for _, b := range a.backends {
		g, granted := b.grants[request.id]
		if granted && g.slot.owner == request.owner && !g.lost && now.Before(g.slot.startBy) {
			return []Decision{Granted{slot: g.slot, why: "asked again"}}, true
		}
		if _, released := b.released[request.id]; granted || released {
			return nil, true
		}
	}
	q := a.queue(request.workload)
	if _, _, w := q.find(request.owner, request.id); w != nil {
		return []Decision{a.newQueued(now, q, w)}, true
	}
	return nil, false
}

// refusal returns why the request is refused without queueing, nil if it may
// wait.
func (a *Allocator) refusal(now time.Time, request SlotRequest) *Refusal {
	if !now.Before(request.deadline) {
		return NewRefusal(ReasonDeadline, 0)
	}
	return a.idleServers(now, request.workload).refusal(now, request)
}

// admit keeps a request that could not be granted at once in the queue if it
// is expected to finish in time, else denies it.
func (a *Allocator) admit(now time.Time, q *queue, cq *classQueue, f *flow, w *queuedRequest) []Decision {
	wait := a.expectedWait(now, q, w.request)
	if late := wait*waitSafetyFactor + a.idleServers(now, w.request.workload).serviceTime(w.request) - w.request.deadline.Sub(now); late > 0 {
		cq.remove(f, w)
		return []Decision{newDenied(w.request, busyRefusal(late))}
	}
	out := []Decision{Queued{attemptID: w.request.id, owner: w.request.owner, expectedWait: wait}}
	if cq.length <= maxQueuedRequests {
		return out
	}
	return append(out, a.shedOverflow(now, q, cq))
}

// shedOverflow denies the last request of the account with the most queued
// tokens.
func (a *Allocator) shedOverflow(now time.Time, q *queue, cq *classQueue) Decision {
	f := cq.heaviest()
	last := f.requests[len(f.requests)-1]
	cq.remove(f, last)
	return newDenied(last.request, busyRefusal(a.expectedWait(now, q, last.request)))
}

// expectedWait returns how long the request is expected to wait behind its
// class and the classes before it.
func (a *Allocator) expectedWait(now time.Time, q *queue, request SlotRequest) time.Duration {
	class := request.cost.Class()
	capacity := a.classCapacity(now, q.workload, class)
	if capacity.requests == 0 {
		return max(suspendedWait, a.refusalEnd(now, request.workload))
	}
	ahead := q.classQueue(class).loadAhead(request.account, request.cost)
	drainSeconds := 0.0
	if served := q.served.perSecond(now, class); served > 0 {
		drainSeconds = float64(ahead.tokens) / served
	}
	for i := range class.index() {
		ahead = ahead.Add(q.classQueues[i].load())
	}
	holdSeconds := q.meanHoldSeconds[class.index()]
	if holdSeconds == 0 {
		holdSeconds = a.idleServers(now, request.workload).serviceTime(request).Seconds()
	}
	turns := float64(ahead.requests) / float64(capacity.requests)
	if capacity.tokens > 0 {
		turns = max(turns, float64(ahead.tokens)/float64(capacity.tokens))
	}
	return seconds(max(turns*holdSeconds, drainSeconds))
}

// refusalEnd returns the time until the first of the servers of a workload takes requests
// again, 0 if not all of them refuse requests.
func (a *Allocator) refusalEnd(now time.Time, workload Workload) time.Duration {
	first := time.Duration(0)
	for _, b := range a.serving(workload) {
		left := b.refusesUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// classCapacity returns the load of a class that all servers of the workload
// can take together.
func (a *Allocator) classCapacity(now time.Time, workload Workload, class Class) Load {
	var sum Load
	count := 0
	for _, b := range a.serving(workload) {
		if b.suspendedReason(now) == "" {
			sum = sum.Add(b.limit())
			count++
		}
	}
	if class == ClassLong && count > 0 {
		sum = sum.part(a.queue(workload).longServerCount(count), count)
	}
	return sum
}

func (a *Allocator) newQueued(now time.Time, q *queue, w *queuedRequest) Decision {
	return Queued{attemptID: w.request.id, owner: w.request.owner, expectedWait: a.expectedWait(now, q, w.request)}
}

func newDenied(request SlotRequest, refusal *Refusal) Decision {
	return Denied{attemptID: request.id, owner: request.owner, refusal: refusal}
}

// busyRefusal returns the refusal of a request that would miss its deadline
// by late.
func busyRefusal(late time.Duration) *Refusal {
	return NewRefusal(ReasonBusy, min(max(late, minRetryAfter), maxRetryAfter))
}
