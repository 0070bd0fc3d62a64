package dispatch

import (
	"slices"
	"time"
)

// Reconcile updates the state with an owner's report of all its running requests
// on some services. Requests that the owner does not report are released, unless
// they were granted only a short time ago.
func (sched *Scheduler) Reconcile(now time.Time, owner Owner, services []string, requests []RunningRequest) {
	reported := make(map[string]bool, len(requests))
	for _, request := range requests {
		reported[request.id] = true
		if alloc := sched.running[request.id]; alloc == nil || alloc.server != request.server {
			sched.Adopt(now, owner, request)
		} else if request.started && !alloc.started {
			sched.start(now, alloc)
		}
	}
	for id, alloc := range sched.running {
		if alloc.owner == owner && !reported[id] && slices.Contains(services, alloc.service) && now.Sub(alloc.granted) > unreportedGrace {
			sched.release(now, alloc)
		}
	}
}

// Adopt adds a request that another scheduler placed. It replaces a placement of this
// scheduler on another server, and a place in the queue: the entry asked another scheduler
// before it had the answer.
func (sched *Scheduler) Adopt(now time.Time, owner Owner, request RunningRequest) {
	if alloc := sched.running[request.id]; alloc != nil {
		if alloc.server == request.server {
			return
		}
		sched.correctCharge(now, alloc, OutcomeWithdrawn)
		sched.release(now, alloc)
	}
	p := sched.pools[request.service]
	if p != nil {
		p.withdraw(request.id)
	}
	if p == nil || p.servers[request.server] == nil {
		return
	}
	started := request.started
	request.started = false
	s := p.servers[request.server]
	alloc := &allocation{RunningRequest: request, owner: owner, granted: now, adopted: true, assigned: s, memory: request.prompt + request.answer}
	sched.adoptUnsettled(alloc)
	if s.engine != nil && alloc.memory > s.engine.Memory() {
		p.adoptSpread(alloc)
	}
	sched.running[request.id] = alloc
	s.add(alloc)
	p.chargeAdopted(now, alloc, started)
	if started {
		sched.start(now, alloc)
		return
	}
	sched.adoptPrefill(now, p, alloc)
}

// adoptSpread divides the memory of a prompt that exceeds one engine's between its
// server and its prefill workers. Which of them holds how much is not reported; each
// takes an equal part, at most its whole memory.
func (p *pool) adoptSpread(alloc *allocation) {
	limit := alloc.assigned.engine.Memory()
	part := min(limit, (alloc.memory+len(alloc.prefillWorkers))/(1+len(alloc.prefillWorkers)))
	left := alloc.memory
	for _, id := range alloc.prefillWorkers {
		worker := p.servers[id]
		if worker == nil || worker == alloc.assigned {
			continue
		}
		tokens := min(part, left)
		worker.memory += tokens
		alloc.reservations = append(alloc.reservations, reservation{server: worker, tokens: tokens})
		left -= tokens
	}
	alloc.memory = min(left, limit)
}

// adoptPrefill adds the prefill of a request that another scheduler placed. Half
// of it is assumed to be done.
func (sched *Scheduler) adoptPrefill(now time.Time, p *pool, alloc *allocation) {
	if alloc.assigned.engine == nil {
		return
	}
	share := 1 / float64(1+len(alloc.prefillWorkers))
	participants := []*server{alloc.assigned}
	for _, id := range alloc.prefillWorkers {
		if worker := p.servers[id]; worker != nil && worker != alloc.assigned {
			participants = append(participants, worker)
		}
	}
	for _, s := range participants {
		s.assignPrefill(now, alloc, s.prefillTime(alloc.prompt, share)/2)
	}
}

// assignPrefill adds a part of a request's prefill to the server's backlog.
func (s *server) assignPrefill(now time.Time, alloc *allocation, cost time.Duration) {
	s.prefillDoneAt = later(now, s.prefillDoneAt).Add(cost)
	s.speed.prefill += s.unscaled(cost)
	alloc.prefillParts = append(alloc.prefillParts, prefillPart{server: s, cost: cost})
	if s != alloc.assigned {
		s.workerFor++
	}
}

// ReleaseEntry releases the running and queued requests of all incarnations of an
// entry but one; keepIncarnation 0 releases those of all incarnations.
func (sched *Scheduler) ReleaseEntry(now time.Time, entry string, keepIncarnation uint64) {
	for _, alloc := range sched.running {
		if alloc.owner.entry == entry && alloc.owner.incarnation != keepIncarnation {
			sched.release(now, alloc)
		}
	}
	for _, p := range sched.pools {
		p.queue = slices.DeleteFunc(p.queue, func(q *queuedRequest) bool {
			return q.owner.entry == entry && q.owner.incarnation != keepIncarnation
		})
	}
}
