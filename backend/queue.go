package backend

import (
	"math"
	"slices"
	"strings"
	"time"
)

// maxQueuedRequests bounds the queued requests of one class of a workload.
const maxQueuedRequests = 512

// queuedRequest is a slot request in the queue.
type queuedRequest struct {
	request SlotRequest
	since   time.Time
	removed bool
}

// classQueue holds the queued requests of one class of a workload. Accounts
// are served by start-time fair queueing: each account's tag grows by its
// tokens divided by its share, and the account with the least tag goes first.
type classQueue struct {
	flows       []*flow
	virtualTime float64
	length      int
}

// flow holds the queued requests of one account, by descending priority.
type flow struct {
	account  string
	tag      float64
	tokens   int
	requests []*queuedRequest
}

// push adds a request behind those of its account that have the same priority
// or a higher one.
func (q *classQueue) push(w *queuedRequest) {
	f := q.flow(w.request.account)
	if len(f.requests) == 0 {
		f.tag = max(f.tag, q.virtualTime)
	}
	at := len(f.requests)
	for at > 0 && f.requests[at-1].request.priority < w.request.priority {
		at--
	}
	f.requests = slices.Insert(f.requests, at, w)
	f.tokens += w.request.cost.Tokens()
	q.length++
}

func (q *classQueue) flow(account string) *flow {
	i, found := slices.BinarySearchFunc(q.flows, account, func(f *flow, a string) int {
		return strings.Compare(f.account, a)
	})
	if !found {
		q.flows = slices.Insert(q.flows, i, &flow{account: account})
	}
	return q.flows[i]
}

// activeFlows returns the flows with queued requests, the next one to be
// served first.
func (q *classQueue) activeFlows() []*flow {
	var active []*flow
	for _, f := range q.flows {
		if len(f.requests) > 0 {
			active = append(active, f)
		}
	}
	slices.SortStableFunc(active, func(a, b *flow) int {
		if d := b.requests[0].request.priority - a.requests[0].request.priority; d != 0 {
			return d
		}
		switch {
		case a.tag < b.tag:
			return -1
		case a.tag > b.tag:
			return 1
		}
		return 0
	})
	return active
}

// dequeue removes a granted request from its flow and charges its account.
func (q *classQueue) dequeue(f *flow, w *queuedRequest) {
	q.virtualTime = max(q.virtualTime, f.tag)
	f.tag += float64(max(w.request.cost.Tokens(), 1)) / float64(w.request.Share())
	q.remove(f, w)
}

// remove removes a request without charging its account.
func (q *classQueue) remove(f *flow, w *queuedRequest) {
	i := slices.Index(f.requests, w)
	if i < 0 {
		return
	}
	f.requests = slices.Delete(f.requests, i, i+1)
	w.removed = true
	f.tokens -= w.request.cost.Tokens()
	q.length--
	if len(f.requests) == 0 && f.tag <= q.virtualTime {
		q.flows = slices.DeleteFunc(q.flows, func(g *flow) bool { return g == f })
	}
}

// heaviest returns the flow with the most queued tokens, nil if all are
// empty.
func (q *classQueue) heaviest() *flow {
	var heaviest *flow
	for _, f := range q.flows {
		if len(f.requests) > 0 && (heaviest == nil || f.tokens > heaviest.tokens) {
			heaviest = f
		}
	}
	return heaviest
}

// loadAhead returns the load that is served before a new last request of an
// account.
func (q *classQueue) loadAhead(account string, cost Cost) Load {
	own := cost.Tokens()
	for _, f := range q.flows {
		if f.account == account {
			own += f.tokens
		}
	}
	var load Load
	for _, f := range q.flows {
		tokens := min(f.tokens, own)
		if f.tokens == 0 {
			load.requests += len(f.requests)
			continue
		}
		load.tokens += tokens
		load.requests += (len(f.requests)*tokens + f.tokens - 1) / f.tokens
	}
	return load
}

// load returns the load of all queued requests.
func (q *classQueue) load() Load {
	load := Load{requests: q.length}
	for _, f := range q.flows {
		load.tokens += f.tokens
	}
	return load
}

// rateTimeConstant is the time in which a sample's weight in a tokenRate
// falls to 1/e.
const rateTimeConstant = 30 * time.Second

// tokenRate is an exponentially decaying sum of prompt tokens by class.
type tokenRate struct {
	tokens [len(classes)]float64
	first  time.Time
	last   time.Time
}

// add adds the prompt tokens of a cost.
func (r *tokenRate) add(now time.Time, cost Cost) {
	decay := math.Exp(-max(now.Sub(r.last).Seconds(), 0) / rateTimeConstant.Seconds())
	for i := range r.tokens {
		r.tokens[i] *= decay
	}
	if r.first.IsZero() {
		r.first = now
	}
	r.last = now
	r.tokens[cost.Class().index()] += float64(cost.prompt)
}

// perSecond returns the prompt tokens per second of the class, 0 until a
// quarter of rateTimeConstant has passed since the first sample.
func (r *tokenRate) perSecond(now time.Time, class Class) float64 {
	if now.Sub(r.first) < rateTimeConstant/4 {
		return 0
	}
	weight := 1 - math.Exp(-now.Sub(r.first).Seconds()/rateTimeConstant.Seconds())
	decay := math.Exp(-max(now.Sub(r.last).Seconds(), 0) / rateTimeConstant.Seconds())
	return r.tokens[class.index()] * decay / weight / rateTimeConstant.Seconds()
}

// fraction returns the class's share of the tokens.
func (r *tokenRate) fraction(class Class) float64 {
	sum := 0.0
	for _, tokens := range r.tokens {
		sum += tokens
	}
	if sum == 0 {
		return 0
	}
	return r.tokens[class.index()] / sum
}

// reservation keeps a server's memory for one queued request until the server
// has freed enough of it. The zero value reserves nothing.
type reservation struct {
	backend *backendState
	request *queuedRequest
}

// blocks reports whether the reservation keeps the server's memory from a
// request.
func (r reservation) blocks(b *backendState, request SlotRequest) bool {
	return r.backend == b && r.request.request.id != request.id
}

// queue holds the queued requests of one workload and their statistics: the
// mean time that a slot is held, the tokens requested (demand) and the tokens
// granted (served), each by class.
type queue struct {
	workload        Workload
	classQueues     [len(classes)]classQueue
	reservation     reservation
	meanHoldSeconds [len(classes)]float64
	demand          tokenRate
	served          tokenRate
}

func (q *queue) classQueue(class Class) *classQueue { return &q.classQueues[class.index()] }

// observeHold adds how long an attempt of the class held its slot.
func (q *queue) observeHold(class Class, elapsed time.Duration) {
	mean := &q.meanHoldSeconds[class.index()]
	if *mean == 0 {
		*mean = elapsed.Seconds()
	}
	*mean += estimateGain * (elapsed.Seconds() - *mean)
}

// tokens returns the tokens of all queued requests.
func (q *queue) tokens() int {
	sum := 0
	for i := range q.classQueues {
		sum += q.classQueues[i].load().tokens
	}
	return sum
}

// find returns an owner's queued request with its class and flow, nil if
// there is none.
func (q *queue) find(owner Owner, id string) (*classQueue, *flow, *queuedRequest) {
	for i := range q.classQueues {
		for _, f := range q.classQueues[i].flows {
			for _, w := range f.requests {
				if w.request.id == id && w.request.owner == owner {
					return &q.classQueues[i], f, w
				}
			}
		}
	}
	return nil, nil, nil
}

// removeIf removes the requests for which drop returns true.
func (q *queue) removeIf(drop func(SlotRequest) bool) {
	for i := range q.classQueues {
		c := &q.classQueues[i]
		for _, f := range slices.Clone(c.flows) {
			for _, w := range slices.Clone(f.requests) {
				if drop(w.request) {
					c.remove(f, w)
				}
			}
		}
	}
}
