package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// While requests wait, the capacity of a service is divided among the client accounts by
// max-min fairness: each account gets what it asks for up to a share, and the share is what
// the accounts that ask for more can equally have. Requests beyond their account's share
// yield to those within it. Usage is compared with the capacity that was used in the same
// time, so no capacity has to be configured or estimated.

const (
	// shareDecayTime is the time constant with which usage decays. It bounds how long an
	// account that was silent goes first, and how long one yields after a costly request.
	shareDecayTime = time.Second
	// maxAccounts bounds the accounts of a service whose usage is kept.
	maxAccounts = 4096
	// droppedAccounts is how many accounts are dropped at once, so that sorting them is rare
	// even if each request has another account.
	droppedAccounts = maxAccounts / 8
	// maxReportedAccounts bounds what AccountUsages returns for a service.
	maxReportedAccounts = 32
	// maxYieldTrials is for how many of the first queued requests yields tries whether they can be
	// placed; those further back are unlikely to fit.
	maxYieldTrials = 4
	// minDemand is the demand below which an account does not count as asking.
	minDemand = time.Microsecond
	// initialServiceTime is the expected service time of a plain service before a response
	// is complete, and meanServiceTimeWeight the weight of the newest in the moving average.
	initialServiceTime    = 50 * time.Millisecond
	meanServiceTimeWeight = 0.05
)

// shares is the usage of a service's capacity by account; its zero value is ready to use.
// Costs are in slot time; see pool.accountCost.
type shares struct {
	byName map[string]*accountUsage
	// accounts holds the same accounts in the order of their first request, since sums and
	// decisions must not depend on the order of a map.
	accounts []*accountUsage
	// level is the share of an account that asks for more than it, as of levelAt, and
	// math.MaxInt64 while there is enough for all or only one account asks.
	level   time.Duration
	levelAt time.Time
	// undelivered holds decisions on queued requests that were made when another was submitted.
	undelivered []Decision
	// serviceTime is the mean service time of a plain service, zero if unknown.
	serviceTime time.Duration
}

// accountUsage is the state of one account.
type accountUsage struct {
	name string
	// used is the cost of the placed requests, and refused that of requests refused for
	// lack of capacity, both with exponential decay as of at.
	used    time.Duration
	refused time.Duration
	at      time.Time
	// waiting is the cost of the queued requests.
	waiting time.Duration
	// refusals and delays count the requests refused for lack of capacity, and those that
	// yielded to other accounts.
	refusals int64
	delays   int64
}

// decay applies the decay since the last call.
func (a *accountUsage) decay(now time.Time) {
	if !now.After(a.at) {
		return
	}
	left := shareLeft(now.Sub(a.at))
	a.used, a.refused, a.at = time.Duration(left*float64(a.used)), time.Duration(left*float64(a.refused)), now
}

// shareLeft returns the fraction of a cost that still counts after a time.
func shareLeft(after time.Duration) float64 {
	return math.Exp(-float64(after) / float64(shareDecayTime))
}

// demand returns what the account asks for: what it got, waits for and was refused.
func (a *accountUsage) demand() time.Duration { return a.used + a.refused + a.waiting }

// standing is where a request stands in relation to its account's share.
type standing struct {
	over bool
	// usage is what the account has used, and waiting the cost of its requests in the queue
	// that go before this one.
	usage   time.Duration
	waiting time.Duration
	share   time.Duration
	// behind is the account of the first request that goes before it for that reason.
	behind string
}

// String returns the standing for the log.
func (s standing) String() string {
	text := fmt.Sprintf("usage %dms, waiting %dms, share %dms", s.usage.Milliseconds(), s.waiting.Milliseconds(), s.share.Milliseconds())
	if s.behind != "" {
		text += ", yields to " + s.behind
	}
	return text
}

// account returns an account as of now. A new one may displace those that ask for the least.
func (s *shares) account(now time.Time, name string) *accountUsage {
	if a := s.byName[name]; a != nil {
		a.decay(now)
		return a
	}
	if len(s.accounts) >= maxAccounts {
		s.dropLeast(now)
	}
	if s.byName == nil {
		s.byName = make(map[string]*accountUsage)
	}
	a := &accountUsage{name: name, at: now}
	s.byName[name] = a
	s.accounts = append(s.accounts, a)
	return a
}

// dropLeast drops the accounts that ask for the least.
func (s *shares) dropLeast(now time.Time) {
	for _, a := range s.accounts {
		a.decay(now)
	}
	byDemand := slices.Clone(s.accounts)
	slices.SortStableFunc(byDemand, func(a, b *accountUsage) int { return cmp.Compare(a.demand(), b.demand()) })
	for _, a := range byDemand[:droppedAccounts] {
		delete(s.byName, a.name)
	}
	s.accounts = slices.DeleteFunc(s.accounts, func(a *accountUsage) bool { return s.byName[a.name] != a })
}

// accountCost returns what a request is expected to take of the capacity, in slot time: the
// time for which it takes a slot, or the larger part of an engine's slots that its memory
// amounts to, and the prefill, during which an engine's other slots make no progress either.
// Slot time alone would make the longest prompts cheap, which take whole engines.
func (p *pool) accountCost(request Request) time.Duration {
	if p.service.Engine() == nil {
		return cmp.Or(p.shares.serviceTime, initialServiceTime)
	}
	return p.heldCost(request, p.slotTime(request)) + p.prefillCost(request)
}

// heldCost returns the cost of a request that takes its slot and memory for a time.
func (p *pool) heldCost(request Request, held time.Duration) time.Duration {
	engine := p.service.Engine()
	if engine == nil || engine.Memory() == 0 {
		return held
	}
	slots := float64(engine.Slots()) * float64(request.prompt+request.answer) / float64(engine.Memory())
	return time.Duration(max(1, slots) * float64(held))
}

// prefillCost returns the cost of a request's prefill.
func (p *pool) prefillCost(request Request) time.Duration {
	if p.service.Engine() == nil {
		return 0
	}
	return time.Duration(max(1, p.service.Engine().Slots())) * p.prefillTime(request)
}

// charge charges the account of a placed request.
func (p *pool) charge(now time.Time, alloc *allocation, cost time.Duration) {
	alloc.charged = cost
	p.shares.account(now, alloc.account).used += cost
}

// chargeAdopted charges the account of a request that another scheduler placed, so that a
// successor knows what accounts run. Of one that has started half is assumed to be done.
func (p *pool) chargeAdopted(now time.Time, alloc *allocation, started bool) {
	request := alloc.request()
	cost := p.accountCost(request)
	if started {
		cost = (cost - p.prefillCost(request)) / 2
	}
	p.charge(now, alloc, cost)
}

// request returns a request with what the cost of a running one depends on.
func (r RunningRequest) request() Request {
	return NewRequest(r.id, r.service).WithTokens(r.prompt, r.answer).WithAccount(r.account)
}

// correctCharge corrects what an account was charged for a request that ends by what it used.
func (sched *Scheduler) correctCharge(now time.Time, alloc *allocation, outcome Outcome) {
	p := sched.pools[alloc.service]
	if p == nil {
		return
	}
	used := time.Duration(0)
	held := now.Sub(alloc.granted)
	if outcome.ran() {
		used = p.heldCost(alloc.request(), held) + p.usedPrefill(alloc, held)
	}
	if p.service.Engine() == nil && outcome == OutcomeComplete {
		p.shares.serviceTime = cmp.Or(p.shares.serviceTime, held)
		p.shares.serviceTime += time.Duration(meanServiceTimeWeight * float64(held-p.shares.serviceTime))
	}
	a := p.shares.byName[alloc.account]
	if a == nil {
		return
	}
	a.decay(now)
	a.used = max(0, a.used+time.Duration(shareLeft(held)*float64(used-alloc.charged)))
	alloc.charged = used
}

// usedPrefill returns the cost of the prefill that a request used after so long.
func (p *pool) usedPrefill(alloc *allocation, held time.Duration) time.Duration {
	cost := p.prefillCost(alloc.request())
	if alloc.started || p.service.Engine() == nil {
		return cost
	}
	return min(cost, time.Duration(p.service.Engine().Slots()*(1+len(alloc.prefillWorkers)))*held)
}

// ran reports whether a request with this outcome may have run.
func (o Outcome) ran() bool {
	switch o {
	case OutcomeRejected, OutcomeWithdrawn, OutcomeUnreachable, OutcomeReplaced:
		return false
	default:
		return true
	}
}

// updateAccountShares updates what accounts wait for and the share of those that ask for more, with
// requests that are about to be queued.
func (p *pool) updateAccountShares(now time.Time, next ...Request) {
	s := &p.shares
	for _, a := range s.accounts {
		a.waiting = 0
	}
	for _, q := range p.queue {
		q.cost = p.accountCost(q.request)
		s.account(now, q.request.account).waiting += q.cost
	}
	for _, request := range next {
		s.account(now, request.account).waiting += p.accountCost(request)
	}
	s.levelAt, s.level = now, math.MaxInt64
	var demands []time.Duration
	capacity := time.Duration(0)
	for _, a := range s.accounts {
		a.decay(now)
		if demand := a.demand(); demand >= minDemand {
			demands = append(demands, demand)
			capacity += a.used
		}
	}
	if len(demands) > 1 {
		s.level = maxMinLevel(demands, capacity)
	}
}

// maxMinLevel returns the share at which the demands, each up to the share, add up to the
// capacity, and math.MaxInt64 if there is enough for all. It sorts the demands.
func maxMinLevel(demands []time.Duration, capacity time.Duration) time.Duration {
	slices.Sort(demands)
	for i, demand := range demands {
		if share := capacity / time.Duration(len(demands)-i); demand > share {
			return share
		}
		capacity -= demand
	}
	return math.MaxInt64
}

// markShares sets the standing of the queued requests, which are sorted without it, and
// reports whether there are some beyond their account's share and some within. An account's
// share goes to its first requests, so that the order within an account stays the same.
func (p *pool) markShares(now time.Time) bool {
	p.updateAccountShares(now)
	if p.shares.level == math.MaxInt64 {
		return false
	}
	earlier := make(map[string]time.Duration)
	within := "" // the account of the first request within its share
	anyWithin, anyOver := false, false
	for _, q := range p.queue {
		name := q.request.account
		q.standing.usage, q.standing.waiting, q.standing.share = p.shares.account(now, name).used, earlier[name], p.shares.level
		earlier[name] += q.cost
		if q.standing.usage+q.standing.waiting < p.shares.level {
			if !anyWithin {
				anyWithin, within = true, name
			}
			continue
		}
		q.standing.over, anyOver = true, true
	}
	if !anyWithin || !anyOver {
		return false
	}
	for _, q := range p.queue {
		if q.standing.over && q.request.account != within {
			if q.standing.behind == "" {
				p.shares.account(now, q.request.account).delays++
			}
			q.standing.behind = cmp.Or(within, commonAccount)
		}
	}
	return true
}

// commonAccount stands for the account of the requests without one in explanations.
const commonAccount = "requests without an account"

// compareStanding puts requests within their account's share first.
func compareStanding(a, b *queuedRequest) int {
	switch {
	case a.standing.over == b.standing.over:
		return 0
	case a.standing.over:
		return 1
	default:
		return -1
	}
}

// standingOf returns the standing of a request that is not queued yet.
func (p *pool) standingOf(now time.Time, request Request) standing {
	if len(p.queue) == 0 {
		return standing{}
	}
	if now.Sub(p.shares.levelAt) >= TickInterval {
		p.updateAccountShares(now)
	}
	if p.shares.level == math.MaxInt64 {
		return standing{}
	}
	out := standing{usage: p.shares.account(now, request.account).used, share: p.shares.level}
	for _, q := range p.queue {
		if q.request.account == request.account {
			out.waiting += q.cost
		}
	}
	out.over = out.usage+out.waiting >= out.share
	return out
}

// yields reports whether queued requests have to be placed before a new one: it is beyond its
// account's share, and one that is not and would go before it can be placed now.
func (p *pool) yields(now time.Time, request Request) bool {
	if !p.standingOf(now, request).over {
		return false
	}
	// Nothing is placed while queued requests are tried, so the candidates stay the same.
	p.cachesCandidates = true
	defer func() { p.cachesCandidates, p.cachedCandidates = false, nil }()
	late, tried := p.late(now, request), 0
	for _, q := range p.queue {
		if q.standing.over || !late && p.late(now, q.request) {
			continue
		}
		choice := p.choose(now, p.candidates(now, q.request), q.request, false)
		if choice.server != nil && p.leavesRoom(now, q.request, choice) {
			return true
		}
		if tried++; tried == maxYieldTrials {
			break
		}
	}
	return false
}

// late reports whether a request to model engines can't meet its objective any more.
func (p *pool) late(now time.Time, request Request) bool {
	return p.service.Engine() != nil && p.missesObjective(now, request)
}

// aheadWork is the prefill of the queued requests that go before another one.
type aheadWork struct {
	within time.Duration
	all    time.Duration
}

// add adds a queued request.
func (w *aheadWork) add(q *queuedRequest, prefill time.Duration) {
	w.all += prefill
	if !q.standing.over {
		w.within += prefill
	}
}

// of returns the prefill that counts for a request: a request within its account's share is
// not refused because of what accounts over theirs wait for.
func (w *aheadWork) of(q *queuedRequest) time.Duration {
	if q.standing.over {
		return w.all
	}
	return w.within
}

// enqueue queues a request. If the queue is full, the last request of the account that is
// the most over its share is refused, which may be the new one.
func (p *pool) enqueue(now time.Time, q *queuedRequest) Decision {
	request := q.request
	q.standing = p.standingOf(now, request)
	if len(p.queue) >= maxQueue && !q.returned {
		i := p.mostOver(now, request)
		if i < 0 {
			return p.recordDecision(now, q, p.refuseForRoom(now, request, ReasonBusy, p.retryAfter(now)))
		}
		displaced := p.queue[i]
		a := p.shares.account(now, displaced.request.account)
		displaced.standing = standing{over: true, usage: a.used, waiting: a.waiting, share: p.shares.level, behind: cmp.Or(request.account, commonAccount)}
		p.shares.undelivered = append(p.shares.undelivered, p.recordDecision(now, displaced, p.refuseForRoom(now, displaced.request, ReasonBusy, p.retryAfter(now))))
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	p.queue = append(p.queue, q)
	q.cost = p.accountCost(request)
	p.shares.account(now, request.account).waiting += q.cost
	return Queued{}
}

// mostOver returns the index of the last queued request of the account that is the most over
// its share, and -1 if that is the account of the new request or there is none.
func (p *pool) mostOver(now time.Time, request Request) int {
	p.updateAccountShares(now, request)
	if p.shares.level == math.MaxInt64 {
		return -1
	}
	s := &p.shares
	usage := func(name string) time.Duration {
		a := s.account(now, name)
		return a.used + a.waiting
	}
	most, index := max(s.level, usage(request.account)), -1
	for i, q := range p.queue {
		if q.request.account == request.account {
			continue
		}
		if of := usage(q.request.account); of > most || index >= 0 && of == most && q.request.account == p.queue[index].request.account {
			most, index = of, i
		}
	}
	return index
}

// Undelivered returns the decisions on queued requests that were made since the last tick
// because others were submitted. Tick returns them too.
func (sched *Scheduler) Undelivered() []Decision {
	var out []Decision
	for _, p := range sched.pools {
		out = append(out, p.takeUndelivered()...)
	}
	return out
}

// takeUndelivered returns the decisions that are not delivered yet.
func (p *pool) takeUndelivered() []Decision {
	out := p.shares.undelivered
	p.shares.undelivered = nil
	return out
}

// recordDecision records a decision on a request and adds its standing to the explanation.
func (p *pool) recordDecision(now time.Time, q *queuedRequest, decision Decision) Decision {
	switch d := decision.(type) {
	case Granted:
		if q.standing.behind == "" {
			return d
		}
		return NewGranted(d.grant.WithExplanation(d.grant.waited, d.grant.explanation+", "+q.standing.String()))
	case Refused:
		if !d.reason.lacksCapacity() {
			return d
		}
		a := p.shares.account(now, q.request.account)
		a.refused += p.accountCost(q.request)
		a.refusals++
		if q.standing.share == 0 {
			return d
		}
		return d.WithExplanation(strings.TrimPrefix(d.explanation+", "+q.standing.String(), ", "))
	default:
		return decision
	}
}

// lacksCapacity reports whether requests are refused for this reason because others take the capacity.
func (r Reason) lacksCapacity() bool {
	return r == ReasonBusy || r == ReasonNoRoom || r == ReasonPastDeadline || r == ReasonServersLimited
}

// AccountUsage is what an account uses of a service.
type AccountUsage struct {
	account  string
	usage    time.Duration
	share    time.Duration
	limited  bool
	refusals int64
	delays   int64
}

// Account returns the account's name, empty for requests without one.
func (u AccountUsage) Account() string { return u.account }

// Usage returns the recent usage in slot time, with a decay time of a second.
func (u AccountUsage) Usage() time.Duration { return u.usage }

// Share returns the usage beyond which the account's requests yield to others, and false
// if there is enough for all.
func (u AccountUsage) Share() (time.Duration, bool) { return u.share, u.limited }

// Refusals returns how many requests of the account were refused for lack of capacity.
func (u AccountUsage) Refusals() int64 { return u.refusals }

// Delays returns how many requests of the account yielded to those of other accounts.
func (u AccountUsage) Delays() int64 { return u.delays }

// AccountUsages returns the usage of each service by account, of the accounts that use the
// most and had requests refused or delayed.
func (sched *Scheduler) AccountUsages(now time.Time) map[string][]AccountUsage {
	out := make(map[string][]AccountUsage)
	for name, p := range sched.pools {
		if len(p.queue) > 0 {
			p.updateAccountShares(now)
		}
		limited := len(p.queue) > 0 && p.shares.level != math.MaxInt64
		var usages []AccountUsage
		for _, a := range p.shares.accounts {
			a.decay(now)
			u := AccountUsage{account: a.name, usage: a.used, limited: limited, refusals: a.refusals, delays: a.delays}
			if limited {
				u.share = p.shares.level
			}
			usages = append(usages, u)
		}
		slices.SortStableFunc(usages, func(a, b AccountUsage) int {
			return cmp.Or(cmp.Compare(b.usage, a.usage), cmp.Compare(b.refusals+b.delays, a.refusals+a.delays))
		})
		if len(usages) > 0 {
			out[name] = usages[:min(len(usages), maxReportedAccounts)]
		}
	}
	return out
}
