package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// maxPrefillWorkers is the largest number of prefill workers for one prompt.
	maxPrefillWorkers = 16
	// minPrefillTokens is the smallest part of a prompt that is worth a prefill worker.
	minPrefillTokens = 1024
	// maxSplitBacklog is the largest backlog with which a server takes part in a split
	// prompt: engines prefill all their prompts concurrently, so prompts are queued in
	// the scheduler, which controls their order.
	maxSplitBacklog = 100 * time.Millisecond
	// relaxTargetFraction is the fraction of the objective after which a queued request
	// accepts a placement that meets its objective but misses the target, and if there
	// is none a suspended server.
	relaxTargetFraction = 0.12
	// acceptableFraction is the fraction of the time left until the objective that the
	// expected time to first token of an acceptable placement may take.
	acceptableFraction = 0.9
	// targetFraction is the fraction of the time left until the objective that is the
	// target for the time to first token; prefill workers are added to meet it.
	targetFraction = 0.5
	// firstTokenDeadlineFraction is the fraction of the time left until the first token
	// deadline that the expected time may take: estimates are low by up to a pass.
	firstTokenDeadlineFraction = 0.8
)

// workerCounts lists the numbers of prefill workers that are tried, in order.
var workerCounts = []int{0, 1, 2, 3, 5, 7, 10, 13, maxPrefillWorkers}

// decide returns the decision on a request, nil if it is to be queued. With
// withoutWorkers the request may take no prefill workers, since queued requests
// wait for them.
func (sched *Scheduler) decide(now time.Time, p *pool, owner Owner, request Request, withoutWorkers bool) Decision {
	if !now.Before(request.deadline) {
		return NewRefused(request.id, ReasonPastDeadline, p.retryAfter(now))
	}
	if decision := sched.refuseQuarantined(now, p, request); decision != nil {
		return decision
	}
	if decision := p.refuseHopeless(now, request); decision != nil {
		return decision
	}
	available := p.candidates(now, request)
	if len(available) == 0 {
		return p.queueOrRefuse(now, request, p.reasonWithoutCandidates(now, request))
	}
	reached := reachedBy(now, owner.entry, available)
	choice := p.choose(now, reached, request, withoutWorkers)
	if choice.server == nil && len(reached) < len(available) {
		choice = p.choose(now, available, request, withoutWorkers)
	}
	if choice.server == nil && request.acceptsSuspended(now) && !p.needsSpread(request) {
		choice = p.choose(now, p.suspendedCandidates(now, request), request, true)
	}
	if choice.server == nil || !p.leavesRoom(now, request, choice) {
		return p.queueOrRefuse(now, request, ReasonBusy)
	}
	p.quarantine.Sent(now, request.parts)
	sched.repeats.Sent(now, request.fingerprint)
	return NewGranted(sched.place(now, p, owner, request, choice))
}

// needsSpread reports whether a prompt exceeds the memory of one engine.
func (p *pool) needsSpread(request Request) bool {
	return p.service.Engine() != nil && request.prompt+request.answer > p.service.Engine().Memory()
}

// choose returns a placement on one of the servers, with no server if there is none.
func (p *pool) choose(now time.Time, available []*server, request Request, withoutWorkers bool) placement {
	if p.service.Engine() == nil {
		return choosePlain(now, available, request)
	}
	return p.chooseEngine(now, available, request, withoutWorkers)
}

// acceptsSuspended reports whether the request has waited long enough for a server
// without failures: a response that fails for some requests is worth more to its
// caller than none.
func (r Request) acceptsSuspended(now time.Time) bool {
	return now.Sub(r.arrived) >= time.Duration(relaxTargetFraction*float64(r.objective.Sub(r.arrived)))
}

// suspendedCandidates returns the suspended servers that a request may get if it gets
// no other.
func (p *pool) suspendedCandidates(now time.Time, request Request) []*server {
	var out []*server
	for _, s := range p.order {
		if s.availableInNeed(now) && !s.available(now) && p.admits(now, s) && !slices.Contains(request.exclude, s.info.ID()) {
			out = append(out, s)
		}
	}
	return out
}

// candidates returns the servers that may get a request. If there are none it
// returns the available servers that the request excludes, and if there are none of
// those either the unavailable servers that responded to the last attempt. The
// caller must not modify the result, which is cached during a tick.
func (p *pool) candidates(now time.Time, request Request) []*server {
	if len(request.exclude) == 0 && p.cachedCandidates != nil {
		return p.cachedCandidates
	}
	out := p.findCandidates(now, request)
	if len(request.exclude) == 0 && p.cachesCandidates {
		p.cachedCandidates = out
	}
	return out
}

// findCandidates returns the servers that candidates is to return, without the cache.
func (p *pool) findCandidates(now time.Time, request Request) []*server {
	out := make([]*server, 0, len(p.order))
	var excluded, failed []*server
	held := false // whether a server is only held back until it has answered
	for _, s := range p.order {
		if !s.usable || !p.admits(now, s) {
			held = held || p.heldBack(now, s, request)
			continue
		}
		if !s.available(now) {
			if !s.unresponsive && s.accepts(now) {
				failed = append(failed, s)
			}
			continue
		}
		if slices.Contains(request.exclude, s.info.ID()) {
			excluded = append(excluded, s)
			continue
		}
		out = append(out, s)
	}
	switch {
	case len(out) > 0:
		return out
	case held:
		return nil
	case len(excluded) > 0:
		return excluded
	default:
		return failed
	}
}

// placement is a server for a request, its prefill workers and the expected time to first token.
type placement struct {
	server           *server
	workers          []*server
	timeToFirstToken time.Duration
	// reservedTokens is the memory to reserve on each prefill worker, nil for none.
	reservedTokens []int
	// keepsIntervals is set if the requests on all these servers still meet their token interval objectives.
	keepsIntervals bool
	explanation    string
}

// choosePlain returns the least loaded server of a plain service, preferring the
// failure domain of the entry that submits the request.
func choosePlain(now time.Time, available []*server, request Request) placement {
	var best *server
	var bestScore float64
	penalty := servicePenalties(now, available)
	for _, s := range available {
		occupied := s.occupied(now)
		if occupied >= s.slots() {
			continue
		}
		score := float64(occupied)/float64(s.slots()) + s.failureRate + penalty(s)
		if s.info.Domain() != request.domain {
			score += 0.3
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return placement{server: best, explanation: "least loaded"}
}

// chooseEngine returns a placement on model engines. Requests with the same token
// interval objective are packed on few servers: a decode pass takes about as long
// for one request as for many, and the prefill of other prompts delays all of them.
func (p *pool) chooseEngine(now time.Time, available []*server, request Request, withoutWorkers bool) placement {
	if p.needsSpread(request) {
		return p.chooseSpread(now, available, request)
	}
	target, acceptable := request.targets(now)
	prefill := p.prefillTime(request)
	minPrefill := time.Duration(float64(prefill) / (1 + maxPrefillWorkers))
	candidates := slices.DeleteFunc(slices.Clone(available), func(s *server) bool {
		if s.occupied(now) >= s.slots() || s.memory+request.prompt+request.answer > s.engine.Memory() {
			return true
		}
		// Skip servers that can't meet the targets or keep the token intervals even with all prefill workers.
		cost := minPrefill
		if withoutWorkers || s.backlog(now) > maxSplitBacklog {
			cost = prefill
		}
		cost = s.scaled(cost)
		return s.backlog(now)+cost+s.decodePassTime() > max(target, acceptable) || !s.canPrefill(now, cost)
	})
	if len(candidates) == 0 {
		return placement{}
	}
	preferred := newServerHeap(candidates, func(a, b *server) int {
		return cmp.Or(intervalAffinity(a, request)-intervalAffinity(b, request), len(b.running)-len(a.running), cmp.Compare(a.backlog(now), b.backlog(now)))
	})
	workers := p.prefillCandidates(now, available, false)
	var best placement
	for s := preferred.next(); s != nil; s = preferred.next() {
		for _, count := range workerCounts {
			if count > 0 && (withoutWorkers || s.backlog(now) > maxSplitBacklog || request.prompt/(count+1) < minPrefillTokens) {
				break
			}
			choice, ok := withWorkers(now, s, workers, request.prompt, count)
			if !ok {
				break
			}
			if !choice.keepsIntervals {
				continue
			}
			if choice.timeToFirstToken <= target {
				choice.explanation = "gathered"
				return choice
			}
			if choice.timeToFirstToken <= acceptable && (best.server == nil || choice.timeToFirstToken < best.timeToFirstToken) {
				best = choice
				best.explanation = "soonest"
			}
		}
	}
	return best
}

// targets returns the target for the expected time to first token, and the longest
// acceptable one, 0 until the request has waited a little.
func (r Request) targets(now time.Time) (target, acceptable time.Duration) {
	left := r.objective.Sub(now)
	target = time.Duration(targetFraction * float64(left))
	if left <= 0 {
		late := time.Duration(firstTokenDeadlineFraction * float64(r.firstTokenDeadline.Sub(now)))
		return 0, late
	}
	total := r.objective.Sub(r.arrived)
	if now.Sub(r.arrived) >= time.Duration(relaxTargetFraction*float64(total)) {
		acceptable = time.Duration(acceptableFraction * float64(left))
	}
	return target, acceptable
}

// intervalAffinity returns 0 for a server whose shortest token interval objective is
// the request's, 1 for a server without such an objective and 2 for others.
func intervalAffinity(s *server, request Request) int {
	switch s.tokenInterval {
	case request.maxTokenInterval:
		return 0
	case 0:
		return 1
	default:
		return 2
	}
}

// prefillCandidates returns the servers that may be prefill workers for one prompt,
// those without running requests first and then by backlog. An engine prefills parts
// for others before its own prompts, so a server that still prefills a prompt of its
// own is left out, and unless limited is set one with a rate limit.
func (p *pool) prefillCandidates(now time.Time, available []*server, limited bool) []*server {
	workers := slices.DeleteFunc(slices.Clone(available), func(s *server) bool {
		return s.limit.perSecond > 0 && !limited || s.workerFor >= s.slots() || now.Before(s.coldUntil) || s.decoding < len(s.running) || s.backlog(now) > maxSplitBacklog
	})
	quickest := newServerHeap(workers, func(a, b *server) int {
		if (len(a.running) > 0) != (len(b.running) > 0) {
			if len(a.running) > 0 {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.backlog(now), b.backlog(now))
	})
	return quickest.popN(maxPrefillWorkers + 1)
}

// withWorkers returns the placement on a server with so many prefill workers, and
// false if there are not as many.
func withWorkers(now time.Time, s *server, workers []*server, prompt, count int) (placement, bool) {
	share := 1 / float64(1+count)
	cost := s.prefillTime(prompt, share)
	choice := placement{server: s, timeToFirstToken: s.backlog(now) + cost + s.decodePassTime(), keepsIntervals: s.canPrefill(now, cost)}
	if count > 0 {
		choice.workers = make([]*server, 0, count)
	}
	for _, worker := range workers {
		if len(choice.workers) == count {
			break
		}
		if worker == s {
			continue
		}
		choice.workers = append(choice.workers, worker)
		choice.timeToFirstToken = max(choice.timeToFirstToken, worker.backlog(now)+cost+worker.decodePassTime())
		choice.keepsIntervals = choice.keepsIntervals && worker.canPrefill(now, cost)
	}
	return choice, len(choice.workers) == count
}

// place records a placement in the scheduler's state and returns the grant.
func (sched *Scheduler) place(now time.Time, p *pool, owner Owner, request Request, choice placement) Grant {
	s := choice.server
	p.cachedCandidates = nil
	var workerIDs []string
	var prefillWorkers []PrefillWorker
	var reservations []reservation
	spread := 0
	for i, worker := range choice.workers {
		tokens := 0
		if choice.reservedTokens != nil && choice.reservedTokens[i] > 0 {
			tokens = choice.reservedTokens[i]
			reservations = append(reservations, reservation{server: worker, tokens: tokens})
			worker.memory += tokens
			spread += tokens
		}
		workerIDs = append(workerIDs, worker.info.ID())
		prefillWorkers = append(prefillWorkers, NewPrefillWorker(worker.info.ID(), worker.info.Address(), tokens))
	}
	alloc := &allocation{
		RunningRequest: NewRunningRequest(request, s.info.ID(), workerIDs),
		owner:          owner,
		assigned:       s,
		granted:        now,

		memory:       request.prompt + request.answer - spread,
		reservations: reservations,
	}
	if s.engine != nil {
		alloc.speedBasis = p.speedBasisOf(now, request, choice)
		alloc.expected = now.Add(choice.timeToFirstToken)
		p.statsOf(request).countPlacement(now, request.prompt)
		p.recentPrefill = p.recentPrefillTime(now) + p.prefillTime(request)
		p.recentPrefillAt = now
		share := 1 / float64(1+len(choice.workers))
		for _, participant := range append([]*server{s}, choice.workers...) {
			participant.assignPrefill(now, alloc, participant.prefillTime(request.prompt, share))
			participant.addPending(alloc)
		}
	}
	if now.Before(s.coldUntil) {
		s.cold.add()
	}
	for _, participant := range append([]*server{s}, choice.workers...) {
		participant.limit.countSend()
	}
	sched.running[request.id] = alloc
	s.add(alloc)
	p.charge(now, alloc, p.accountCost(request))
	explanation := fmt.Sprintf("%s of %d, writers %d, backlog %dms", choice.explanation, len(p.order), s.decoding, s.backlog(now).Milliseconds()) + s.explainObserved(now)
	return NewGrant(request.id, s.info.ID(), s.info.Address(), prefillWorkers, choice.timeToFirstToken).WithExplanation(now.Sub(request.arrived), explanation)
}
