package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"greengagedock.example/quarantine"
)

const (
	// maxReturns bounds the promised returns of a service that are remembered.
	maxReturns = 2048
	// returnWindow is how long after its promised time a caller may return and still has
	// its place, and returnSlack how much earlier: clocks and round trips differ a little.
	returnWindow = time.Second
	returnSlack  = 50 * time.Millisecond
	// returnFraction is the fraction of the time left until its deadline that a caller waits
	// at most before it returns.
	returnFraction = 1.0 / 3
	// firmReturnFraction is the fraction of that time in which callers are told the time at
	// which room is expected. Those for whom there is none until then return in the rest.
	firmReturnFraction = 0.5
)

// promisedReturn is the place of a caller that was refused for lack of room and told when
// to return. It is recognized by its fingerprint, since the attempt then has another id.
type promisedReturn struct {
	fingerprint quarantine.Fingerprint
	account     string
	urgency     urgency
	arrived     time.Time
	due         time.Time
	// room is when room is expected, which may be later than a caller waits.
	room time.Time
	// cost is the part of the servers' time that the request takes.
	cost time.Duration
}

// urgency orders the kinds of requests whose returns compete: by priority, then by the length of the objective.
type urgency struct {
	priority  int
	objective time.Duration
}

func (r Request) urgency() urgency { return urgency{r.priority, r.objective.Sub(r.arrived)} }

// compare returns a negative number if requests of this urgency go before others.
func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.priority, other.priority), cmp.Compare(u.objective, other.objective))
}

// promisedReturns holds the promised returns of a service.
type promisedReturns struct {
	promised []promisedReturn
}

// expire drops the promises that were not used within the window.
func (r *promisedReturns) expire(now time.Time) {
	r.promised = slices.DeleteFunc(r.promised, func(p promisedReturn) bool { return now.After(p.due.Add(returnWindow)) })
}

// find returns the index of the promise that a request may use now, -1 if there is none.
func (r *promisedReturns) find(now time.Time, request Request) int {
	if request.fingerprint == (quarantine.Fingerprint{}) {
		return -1
	}
	return slices.IndexFunc(r.promised, func(p promisedReturn) bool {
		return p.fingerprint == request.fingerprint && !now.Before(p.due.Add(-returnSlack)) && !now.After(p.due.Add(returnWindow))
	})
}

// recognize returns a request with the times of its caller's first arrival if the caller
// returns as promised, and whether it does; that uses the promise. Its objective is then
// that of the first arrival: the caller counts from there, and a request that can still
// meet its objective is more urgent.
func (r *promisedReturns) recognize(now time.Time, request Request) (Request, bool) {
	i := r.find(now, request)
	if i < 0 {
		return request, false
	}
	objective := request.objective.Sub(request.arrived)
	request.arrived = r.promised[i].arrived
	request.objective = request.arrived.Add(objective)
	r.promised = slices.Delete(r.promised, i, i+1)
	return request, true
}

// costAhead returns the servers' time that was promised to those that return before a new
// one of the account: all returns of the same account, and of each other account as much,
// so that a small account is not behind the returns of a large one. Returns of less urgent
// requests are not counted.
func (r *promisedReturns) costAhead(account string, level urgency) time.Duration {
	costs := make(map[string]time.Duration)
	for _, p := range r.promised {
		if p.urgency.compare(level) <= 0 {
			costs[p.account] += p.cost
		}
	}
	total := time.Duration(0)
	for other, cost := range costs {
		if other != account {
			cost = min(cost, costs[account])
		}
		total += cost
	}
	return total
}

// last returns the latest promised time of an account's requests that are as urgent, and the
// latest time at which room is expected for one.
func (r *promisedReturns) last(account string, level urgency) (due, room time.Time) {
	for _, p := range r.promised {
		if p.account == account && p.urgency == level {
			due, room = later(due, p.due), later(room, p.room)
		}
	}
	return due, room
}

// withinReach returns a delay that is less than the latest one, in the same order: a delay
// up to firmReturnFraction of it stays, and the longer ones are spread over the rest.
func withinReach(delay, latest time.Duration) time.Duration {
	firm := time.Duration(firmReturnFraction * float64(latest))
	if delay <= firm {
		return delay
	}
	beyond := float64(delay-firm) / float64(latest)
	return firm + time.Duration(float64(latest-firm)*beyond/(1+beyond))
}

// refuseForRoom refuses a request for lack of room and promises its caller a return: after
// the wait for room and the time taken by the promises before it, and no earlier than those
// refused before it. A caller waits only for a fraction of the time that it has left.
func (p *pool) refuseForRoom(now time.Time, request Request, reason Reason, wait time.Duration) Decision {
	if p.service.Engine() == nil {
		return NewRefused(request.id, reason, min(max(wait, minRetryAfter), maxRetryAfter))
	}
	p.returns.expire(now)
	account, cost := request.account, p.returnCost(request)
	lastDue, lastRoom := p.returns.last(account, request.urgency())
	room := now.Add(max(wait, minRetryAfter) + p.returns.costAhead(account, request.urgency()))
	room = later(room, lastRoom.Add(cost))
	latest := min(maxRetryAfterLate, time.Duration(returnFraction*float64(request.deadline.Sub(now)))-returnSlack)
	if latest < minRetryAfter {
		return NewRefused(request.id, reason, minRetryAfter) // its caller does not return
	}
	retryAfter := max(withinReach(room.Sub(now), latest), min(lastDue.Sub(now), latest), minRetryAfter)
	if len(p.returns.promised) < maxReturns {
		p.returns.promised = append(p.returns.promised, promisedReturn{
			fingerprint: request.fingerprint, account: account, urgency: request.urgency(),
			arrived: request.arrived, due: now.Add(retryAfter), room: room, cost: cost,
		})
	}
	explanation := fmt.Sprintf("room in %dms, returns promised %d, waiting %d, slots expected %.0f", room.Sub(now).Milliseconds(), len(p.returns.promised), len(p.queue), p.slotDemand(now))
	return NewRefused(request.id, reason, retryAfter).WithExplanation(explanation)
}

// returnCost returns the part of the servers' time that a request takes: of their slots or
// of their prefill time, whichever is more.
func (p *pool) returnCost(request Request) time.Duration {
	slots, usable := 0, 0
	for _, s := range p.order {
		if s.usable {
			usable++
			slots += s.slots()
		}
	}
	return max(p.slotTime(request)/time.Duration(max(1, slots)), p.prefillTime(request)/time.Duration(max(1, usable)))
}
