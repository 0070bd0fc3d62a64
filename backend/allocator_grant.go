package backend

import (
	"fmt"
	"slices"
	"time"
)

// grantQueued grants slots to the queued requests for which there is
// capacity.
func (a *Allocator) grantQueued(now time.Time) []Decision {
	var out []Decision
	for _, q := range a.queues {
		out = append(out, a.grantFrom(now, q)...)
	}
	return out
}

// denyExpired denies the queued requests that can no longer finish in time.
func (a *Allocator) denyExpired(now time.Time) []Decision {
	var out []Decision
	for _, q := range a.queues {
		out = append(out, a.denyExpiredIn(now, q)...)
	}
	return out
}

func (a *Allocator) denyExpiredIn(now time.Time, q *queue) []Decision {
	var out []Decision
	idle := a.idleServers(now, q.workload)
	q.removeIf(func(request SlotRequest) bool {
		refusal := idle.refusal(now, request)
		if refusal != nil && refusal.reason == ReasonBusy {
			refusal = busyRefusal(a.expectedWait(now, q, request))
		}
		if refusal != nil {
			out = append(out, newDenied(request, refusal))
		}
		return refusal != nil
	})
	return out
}

// grantFrom grants slots to the requests of one queue, short prompts first.
func (a *Allocator) grantFrom(now time.Time, q *queue) []Decision {
	var out []Decision
	if r := q.reservation; r.backend != nil && (r.request.removed || !r.backend.canTake(now, r.request.request)) {
		q.reservation = reservation{}
	}
	for _, class := range classes {
		for {
			granted := a.grantNext(now, q, class)
			if granted == nil {
				break
			}
			out = append(out, *granted)
		}
	}
	return out
}

// grantNext grants a slot to the next request of a class for which there is
// capacity, nil if there is none. A request that waits for capacity blocks
// those behind it; one whose only servers are suspended does not.
func (a *Allocator) grantNext(now time.Time, q *queue, class Class) *Granted {
	cq := q.classQueue(class)
	if class == ClassLong && q.reservation.backend != nil {
		w := q.reservation.request
		if granted := a.allocate(now, q, w.request); granted != nil {
			cq.dequeue(cq.flow(w.request.account), w)
			q.reservation = reservation{}
			return granted
		}
	}
	if cq.length == 0 {
		return nil
	}
	idle := a.idleServers(now, q.workload)
	for _, f := range cq.activeFlows() {
		w := f.head(now, idle)
		if w == nil {
			continue
		}
		if granted := a.allocate(now, q, w.request); granted != nil {
			cq.dequeue(f, w)
			return granted
		}
		if class != ClassLong {
			return nil
		}
		if q.reservation.backend == nil {
			q.reservation = reservation{backend: a.serverToReserve(now, w.request), request: w}
		}
	}
	return nil
}

// head returns the first request of a flow that some server could finish in
// time if it were idle, nil if there is none.
func (f *flow) head(now time.Time, idle idleServers) *queuedRequest {
	for _, w := range f.requests {
		if idle.canFinish(now, w.request) {
			return w
		}
	}
	return nil
}

// canTake reports whether the server could take the request if it were idle,
// regardless of the deadline.
func (b *backendState) canTake(now time.Time, request SlotRequest) bool {
	fits := b.need(request.cost).Within(b.limit())
	return fits && b.suspendedReason(now) == "" && !slices.Contains(request.avoid, b.server.id)
}

// allocate grants the request a slot on the best server with capacity, nil if
// there is none.
func (a *Allocator) allocate(now time.Time, q *queue, request SlotRequest) *Granted {
	candidates := a.candidates(now, q, request)
	var best *candidate
	for i := range candidates {
		if candidates[i].rejectReason == "" && (best == nil || candidates[i].score < best.score) {
			best = &candidates[i]
		}
	}
	if best == nil {
		return nil
	}
	granted := a.grant(now, request, best)
	granted.runnersUp = runnersUp(candidates, best)
	return granted
}

func (a *Allocator) grant(now time.Time, request SlotRequest, best *candidate) *Granted {
	b := best.backend
	startBy := now.Add(StartWindow)
	if startBy.After(request.deadline) {
		startBy = request.deadline
	}
	slot := NewSlot(request, a.keeper, b.server, b.incarnation, startBy)
	g := b.add(now, request.workload, slot)
	g.expected = b.estimator.backlogTime(now, request.cost.Class()) + b.estimator.serviceTime(now, request.cost)
	b.estimator.addPrompt(now, request.cost)
	a.queue(request.workload).served.add(now, request.cost)
	a.affinity.sent(request, b.server.id)
	why := fmt.Sprintf("ends in %.2fs at fill %.2f", best.score, best.utilization)
	if best.prefixCached {
		why += ", prefix cached"
	}
	return &Granted{slot: slot, why: why}
}

// runnersUp returns up to maxRunnersUp of the servers that were not chosen.
func runnersUp(candidates []candidate, best *candidate) []RunnerUp {
	var list []RunnerUp
	for i := range candidates {
		c := &candidates[i]
		if c == best || len(list) == maxRunnersUp {
			continue
		}
		reason := c.rejectReason
		if reason == "" {
			reason = fmt.Sprintf("ends in %.2fs", c.score)
		}
		list = append(list, RunnerUp{server: c.backend.server.id, reason: reason})
	}
	return list
}
