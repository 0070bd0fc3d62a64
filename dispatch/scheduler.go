package dispatch

import (
	"slices"
	"time"

	"greengagedock.example/quarantine"
	"greengagedock.example/routing"
)

// TickInterval is the interval at which Tick is to be called. It is about as long
// as an event takes between entries, so it adds little to the time in the queue.
const TickInterval = 25 * time.Millisecond

const (
	// unreportedGrace is how long a running request may be missing from its owner's
	// reports before it is released: a round trip and two heartbeats.
	unreportedGrace = 1500 * time.Millisecond
	// maxFailedPlacements is the number of requests per tick and service that may fail
	// to be placed before the rest of the queue is skipped: requests further back are
	// unlikely to fit.
	maxFailedPlacements = 24
	// maxQueue bounds the number of queued requests per service.
	maxQueue = 512
)

// Scheduler assigns requests to backend servers and keeps track of the requests
// that run on them; NewScheduler returns one. It is not safe for concurrent use.
type Scheduler struct {
	entry   string
	pools   map[string]*pool
	running map[string]*allocation
	// cutOff holds the entries that have lost the way to all servers.
	cutOff map[string]bool
	// repeats holds what is known of requests that come again, also to another service.
	repeats quarantine.Repeats
	// unsettled holds requests of which another scheduler has told, until their owners
	// report them.
	unsettled map[string]inheritedRequest
}

// pool holds the servers of one service and the requests queued for them.
type pool struct {
	service routing.Service
	// coldShare is the fraction of the cold servers' capacity that this scheduler may use,
	// and rateLimitShare the fraction of the servers' rate limits.
	coldShare      float64
	rateLimitShare float64
	servers        map[string]*server
	order          []*server
	// usableServers is the number of usable servers.
	usableServers int
	queue         []*queuedRequest
	// recentPrefill is the total prefill time of the requests placed recently, with
	// exponential decay over loadDecayTime, as of recentPrefillAt.
	recentPrefill   time.Duration
	recentPrefillAt time.Time
	// recentSlotTime is the total slot time of the requests that arrived recently, with
	// exponential decay over demandDecayTime, as of recentSlotTimeAt.
	recentSlotTime   time.Duration
	recentSlotTimeAt time.Time
	stats            map[objectives]*placementStats
	// cachesCandidates is set while several requests are tried one after the other.
	// cachedCandidates then holds the servers that any request without exclusions may use,
	// until the next request is placed.
	cachesCandidates bool
	cachedCandidates []*server
	// primary is set while this scheduler places the requests of all entries.
	primary bool
	// observedFrom is when this scheduler began to place the requests of all entries.
	observedFrom time.Time
	// lostAt is when this scheduler ceased to place them, zero once it has forgotten the
	// evidence that it saw. inheritedAt is when it last got that of another one, zero once
	// it has forgotten it or places the requests of all entries.
	lostAt      time.Time
	inheritedAt time.Time
	quarantine  quarantine.Registry
	// heldUntil is until when prompts are queued without a decision.
	heldUntil time.Time
	// limitedReturn is when the last caller may return that was refused because all
	// servers have a rate limit.
	limitedReturn time.Time
	// unseenShare is the fraction of the servers' load that this scheduler does not see, and
	// partialFrom the time since when there is one.
	unseenShare float64
	partialFrom time.Time
	// settling holds the started requests that have not settled, in the order of their start.
	settling []*allocation
	shares   shares
	// returns holds the callers that were told when to return.
	returns promisedReturns
}

// usable returns the number of usable servers and their total prefill backlog.
func (p *pool) usable(now time.Time) (count int, backlog time.Duration) {
	for _, s := range p.order {
		if s.usable {
			count++
			backlog += s.backlog(now)
		}
	}
	return count, backlog
}

type queuedRequest struct {
	owner   Owner
	request Request
	// underserved is set if too few requests of this size class were placed.
	underserved bool
	// late and ratio are whether the request misses its objective and its response ratio, as of
	// the last time the queue was sorted.
	late     bool
	ratio    float64
	standing standing
	// prefill is the prefill time of the prompt, zero until it is needed.
	prefill time.Duration
	// cost is what the request costs its account, as of the last time that shares were updated.
	cost time.Duration
	// returned is set for a caller that was refused for lack of room and returns as promised.
	returned bool
}

// NewScheduler returns an empty scheduler of the entry with the given id. The
// schedulers of different entries prefer different servers among equals.
func NewScheduler(entry string) *Scheduler {
	return &Scheduler{entry: entry, pools: make(map[string]*pool), running: make(map[string]*allocation)}
}

// ColdShare returns the fraction of the capacity of a service's cold servers that this scheduler may use.
func (sched *Scheduler) ColdShare(service string) float64 {
	if p := sched.pools[service]; p != nil {
		return p.coldShare
	}
	return 0
}

// SetColdShare sets the fraction of the capacity of a service's cold servers that this scheduler may use, up to 1.
func (sched *Scheduler) SetColdShare(service string, share float64) {
	if p := sched.pools[service]; p != nil {
		p.coldShare = share
	}
}

// Submit decides on a request, or queues it. An owner submits a queued request
// again under the same id, and gets the grant if it was placed meanwhile.
func (sched *Scheduler) Submit(now time.Time, owner Owner, request Request) Decision {
	if alloc := sched.running[request.id]; alloc != nil {
		if grant, ok := sched.grantOf(now, alloc); ok {
			return NewGranted(grant)
		}
		sched.correctCharge(now, alloc, OutcomeWithdrawn)
		sched.release(now, alloc)
	}
	p := sched.pools[request.service]
	if p == nil {
		return NewRefused(request.id, ReasonNoServer, retryAfterNoServer)
	}
	if slices.ContainsFunc(p.queue, func(q *queuedRequest) bool { return q.request.id == request.id }) {
		return Queued{}
	}
	if decision := sched.refuseQuarantined(now, p, request); decision != nil {
		return decision
	}
	request, returned := p.returns.recognize(now, request)
	if p.service.Engine() != nil {
		p.statsOf(request).countRequest(now, request.prompt)
		if !returned { // a late request must not wait for room for itself
			p.countDemand(now, request)
		}
	}
	if p.yields(now, request) {
		p.shares.undelivered = sched.tickPool(now, p)
	}
	if !p.held(now) && p.mayOvertake(now, request) {
		if decision := sched.decide(now, p, owner, request, len(p.queue) > 0); decision != nil {
			return p.recordDecision(now, &queuedRequest{request: request}, decision)
		}
	}
	if decision := p.refuseLimited(now, request, func() int { return p.queuedAhead(now, request) }); decision != nil {
		return p.recordDecision(now, &queuedRequest{request: request}, decision)
	}
	if decision := p.refuseByForecast(now, request, returned); decision != nil {
		return p.recordDecision(now, &queuedRequest{request: request}, decision)
	}
	return p.enqueue(now, &queuedRequest{owner: owner, request: request, returned: returned})
}

// Withdraw removes a request from the queue.
func (sched *Scheduler) Withdraw(id string) {
	for _, p := range sched.pools {
		p.withdraw(id)
	}
}

func (p *pool) withdraw(id string) {
	p.queue = slices.DeleteFunc(p.queue, func(q *queuedRequest) bool { return q.request.id == id })
}

// Tick returns the decisions on queued requests that can be made now.
func (sched *Scheduler) Tick(now time.Time) []Decision {
	var out []Decision
	sched.repeats.Expire(now)
	sched.expireUnsettled(now)
	for _, p := range sched.pools {
		out = append(out, sched.tickPool(now, p)...)
	}
	return out
}

// tickPool returns the decisions on one service's queued requests that can be made now.
func (sched *Scheduler) tickPool(now time.Time, p *pool) []Decision {
	p.expireEvidence(now)
	sched.settle(now, p)
	p.decaySpeeds(now)
	out := p.takeUndelivered()
	if len(p.queue) == 0 || p.held(now) {
		return out
	}
	p.sortQueue(now)
	p.cachesCandidates = true
	queue := p.queue
	p.queue = nil
	var ahead aheadWork
	misses := 0
	for _, q := range queue {
		var decision Decision
		if misses < maxFailedPlacements || !now.Before(p.queueDeadline(q.request)) {
			decision = sched.decide(now, p, q.owner, q.request, false)
		}
		if decision == nil {
			misses++
			decision = p.shedLate(now, q, ahead.of(q))
		}
		if decision == nil {
			decision = p.refuseLimited(now, q.request, func() int { return len(p.queue) })
		}
		if decision == nil {
			p.queue = append(p.queue, q)
			ahead.add(q, p.queuedPrefill(q))
			continue
		}
		out = append(out, p.recordDecision(now, q, decision))
	}
	p.cachesCandidates, p.cachedCandidates = false, nil
	return out
}

// Started records that the first event of a request arrived.
func (sched *Scheduler) Started(now time.Time, id string) {
	alloc := sched.running[id]
	if alloc == nil || alloc.started {
		return
	}
	sched.start(now, alloc)
}

func (sched *Scheduler) start(now time.Time, alloc *allocation) {
	alloc.started, alloc.startedAt = true, now
	sched.addSettling(alloc)
	s := sched.serverOf(alloc)
	if s == nil {
		return
	}
	s.responded(now, alloc.owner.entry)
	s.decoding++
	s.observed.recordAnswer(now)
	s.learnSpeed(now, alloc)
	s.contextTokens += alloc.prompt
	for _, part := range alloc.prefillParts {
		// Prefill that ends earlier or later than expected moves the prefill queued behind it;
		// half of the difference is applied.
		if !alloc.expected.IsZero() {
			part.server.prefillDoneAt = part.server.prefillDoneAt.Add(now.Sub(alloc.expected) / 2)
		}
	}
	sched.releaseWorkers(alloc)
}

// releaseWorkers releases the prefill workers of a request whose prompt is prefilled.
func (sched *Scheduler) releaseWorkers(alloc *allocation) {
	for _, part := range alloc.prefillParts {
		part.server.removePending(alloc)
		if part.server != alloc.assigned {
			part.server.workerFor--
		}
	}
	alloc.prefillParts = nil
}

// Ended records the outcome of a request and releases it.
func (sched *Scheduler) Ended(now time.Time, id string, outcome Outcome) {
	alloc := sched.running[id]
	if alloc == nil {
		sched.endUnsettled(now, id, outcome)
		return
	}
	if s := sched.serverOf(alloc); s != nil {
		s.recordOutcome(now, alloc.owner.entry, outcome)
		s.observed.recordOutcome(now, alloc, outcome)
		s.learnServiceTime(now, alloc, outcome)
	}
	sched.recordEvidence(now, alloc, outcome)
	sched.recordRepeat(now, alloc, outcome)
	sched.correctCharge(now, alloc, outcome)
	sched.release(now, alloc)
}

// ReportFault records that the server at the address caused a request at another server to
// fail, as an entry reports it.
func (sched *Scheduler) ReportFault(now time.Time, entry, service, address string, outcome Outcome) {
	p := sched.pools[service]
	if p == nil {
		return
	}
	for _, s := range p.order {
		if s.info.Address() == address {
			s.recordOutcome(now, entry, outcome)
		}
	}
}

// SetCutOff sets which entries have lost the way to all servers. What they reported of
// servers before that was known no longer counts, and events that they wait for are not
// overdue.
func (sched *Scheduler) SetCutOff(now time.Time, entries map[string]bool) {
	for _, alloc := range sched.running {
		if !entries[alloc.owner.entry] || sched.cutOff[alloc.owner.entry] {
			continue
		}
		for _, part := range alloc.prefillParts {
			part.server.removePending(alloc)
		}
	}
	sched.cutOff = entries
	for _, p := range sched.pools {
		for _, s := range p.order {
			s.forgive(now, entries)
		}
	}
}

// release removes a request from its servers.
func (sched *Scheduler) release(now time.Time, alloc *allocation) {
	delete(sched.running, alloc.id)
	for _, part := range alloc.prefillParts {
		part.server.prefillDoneAt = later(now, part.server.prefillDoneAt.Add(-part.cost))
	}
	sched.releaseWorkers(alloc)
	for _, r := range alloc.reservations {
		r.server.memory -= r.tokens
	}
	alloc.reservations = nil
	s := sched.serverOf(alloc)
	if s == nil {
		return
	}
	s.remove(alloc)
	s.recordEnd(now)
	if alloc.started {
		s.decoding--
		s.contextTokens -= alloc.prompt
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// serverOf returns the server that a request runs on, nil if that incarnation is gone.
func (sched *Scheduler) serverOf(alloc *allocation) *server {
	p := sched.pools[alloc.service]
	if p == nil {
		return nil
	}
	if s := p.servers[alloc.server]; s != nil && s.running[alloc.id] == alloc {
		return s
	}
	return nil
}

// Running returns an owner's running requests, as known to the scheduler.
func (sched *Scheduler) Running(owner Owner) []RunningRequest {
	var out []RunningRequest
	for _, alloc := range sched.running {
		if alloc.owner == owner {
			out = append(out, alloc.RunningRequest)
		}
	}
	return out
}

// Waiting returns the number of queued requests.
func (sched *Scheduler) Waiting() int {
	n := 0
	for _, p := range sched.pools {
		n += len(p.queue)
	}
	return n
}

// reservedOn returns the number of tokens that the request reserves on a prefill worker.
func (alloc *allocation) reservedOn(s *server) int {
	for _, r := range alloc.reservations {
		if r.server == s {
			return r.tokens
		}
	}
	return 0
}

// grantOf returns the grant of a request that is submitted again, and false if one of
// its servers is gone or takes no more requests now.
func (sched *Scheduler) grantOf(now time.Time, alloc *allocation) (Grant, bool) {
	s := sched.serverOf(alloc)
	if s == nil || !s.accepts(now) {
		return Grant{}, false
	}
	var workers []PrefillWorker
	for _, part := range alloc.prefillParts {
		current := sched.pools[alloc.service].servers[part.server.info.ID()]
		if part.server != current || !current.accepts(now) {
			return Grant{}, false
		}
		if part.server != s {
			workers = append(workers, NewPrefillWorker(part.server.info.ID(), part.server.info.Address(), alloc.reservedOn(part.server)))
		}
	}
	return NewGrant(alloc.id, alloc.server, s.info.Address(), workers, max(0, alloc.expected.Sub(alloc.granted))), true
}
