package backend

import (
	"math"
	"slices"
	"strings"
	"time"
)

// maxQueuedWants bounds the wants of one class that wait for a work.
const maxQueuedWants = 512

// waiting is a want in the queue.
type waiting struct {
	want  SlotRequest
	since time.Time
	gone  bool
}

// lane holds the waiting wants of one class of a work. Accounts are served by
// start-time fair queueing: each account's tag grows by its tokens over its
// share, and the account with the least tag goes first.
type lane struct {
	flows   []*flow
	virtual float64
	length  int
}

// flow holds the waiting wants of one account in the order of their priority.
type flow struct {
	account string
	tag     float64
	tokens  int
	wants   []*waiting
}

// push adds a want behind those of its account that have its priority.
func (l *lane) push(w *waiting) {
	f := l.flow(w.want.account)
	if len(f.wants) == 0 {
		f.tag = max(f.tag, l.virtual)
	}
	at := len(f.wants)
	for at > 0 && f.wants[at-1].want.priority < w.want.priority {
		at--
	}
	f.wants = slices.Insert(f.wants, at, w)
	f.tokens += w.want.cost.Tokens()
	l.length++
}

func (l *lane) flow(account string) *flow {
	i, found := slices.BinarySearchFunc(l.flows, account, func(f *flow, a string) int {
		return strings.Compare(f.account, a)
	})
	if !found {
		l.flows = slices.Insert(l.flows, i, &flow{account: account})
	}
	return l.flows[i]
}

// order returns the accounts that have waiting wants, the next to be served first.
func (l *lane) order() []*flow {
	var active []*flow
	for _, f := range l.flows {
		if len(f.wants) > 0 {
			active = append(active, f)
		}
	}
	slices.SortStableFunc(active, func(a, b *flow) int {
		if d := b.wants[0].want.priority - a.wants[0].want.priority; d != 0 {
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

// serve takes a granted want out of its flow and charges its account.
func (l *lane) serve(f *flow, w *waiting) {
	l.virtual = max(l.virtual, f.tag)
	f.tag += float64(max(w.want.cost.Tokens(), 1)) / float64(w.want.Share())
	l.remove(f, w)
}

// remove takes a want out without charging its account.
func (l *lane) remove(f *flow, w *waiting) {
	i := slices.Index(f.wants, w)
	if i < 0 {
		return
	}
	f.wants = slices.Delete(f.wants, i, i+1)
	w.gone = true
	f.tokens -= w.want.cost.Tokens()
	l.length--
	if len(f.wants) == 0 && f.tag <= l.virtual {
		l.flows = slices.DeleteFunc(l.flows, func(g *flow) bool { return g == f })
	}
}

// longest returns the account with the most waiting tokens over its share.
func (l *lane) longest() *flow {
	var longest *flow
	for _, f := range l.flows {
		if len(f.wants) > 0 && (longest == nil || f.tokens > longest.tokens) {
			longest = f
		}
	}
	return longest
}

// ahead returns the load that is served before the last want of an account.
func (l *lane) ahead(account string, cost Cost) Load {
	own := cost.Tokens()
	for _, f := range l.flows {
		if f.account == account {
			own += f.tokens
		}
	}
	var load Load
	for _, f := range l.flows {
		tokens := min(f.tokens, own)
		if f.tokens == 0 {
			load.requests += len(f.wants)
			continue
		}
		load.tokens += tokens
		load.requests += (len(f.wants)*tokens + f.tokens - 1) / f.tokens
	}
	return load
}

// load returns the load of all waiting wants.
func (l *lane) load() Load {
	load := Load{requests: l.length}
	for _, f := range l.flows {
		load.tokens += f.tokens
	}
	return load
}

// demandMemory is the time in which a past demand loses most of its weight.
const demandMemory = 30 * time.Second

// demand is the prompt tokens asked for lately, by class.
type demand struct {
	tokens [len(classes)]float64
	first  time.Time
	last   time.Time
}

// add takes in the prompt of a want.
func (d *demand) add(now time.Time, cost Cost) {
	fade := math.Exp(-max(now.Sub(d.last).Seconds(), 0) / demandMemory.Seconds())
	for i := range d.tokens {
		d.tokens[i] *= fade
	}
	if d.first.IsZero() {
		d.first = now
	}
	d.last = now
	d.tokens[cost.Class().index()] += float64(cost.prompt)
}

// rate returns the prompt tokens a second of the class, 0 if too little is known.
func (d *demand) rate(now time.Time, class Class) float64 {
	if now.Sub(d.first) < demandMemory/4 {
		return 0
	}
	weight := 1 - math.Exp(-now.Sub(d.first).Seconds()/demandMemory.Seconds())
	fade := math.Exp(-max(now.Sub(d.last).Seconds(), 0) / demandMemory.Seconds())
	return d.tokens[class.index()] * fade / weight / demandMemory.Seconds()
}

// part returns the class's part of the demand.
func (d *demand) part(class Class) float64 {
	sum := 0.0
	for _, tokens := range d.tokens {
		sum += tokens
	}
	if sum == 0 {
		return 0
	}
	return d.tokens[class.index()] / sum
}

// gathering is a server that frees its memory for one waiting want; its zero
// value is none.
type gathering struct {
	book *book
	want *waiting
}

// keeps reports whether the server's memory is kept from a want.
func (g gathering) keeps(b *book, want SlotRequest) bool {
	return g.book == b && g.want.want.id != want.id
}

// queue holds the waiting wants of one work.
type queue struct {
	work   Workload
	lanes  [len(classes)]lane
	gather gathering
	hold   [len(classes)]float64
	demand demand
	served demand
}

func (q *queue) lane(class Class) *lane { return &q.lanes[class.index()] }

// held takes in how long an attempt of the class kept its slot.
func (q *queue) held(class Class, elapsed time.Duration) {
	hold := &q.hold[class.index()]
	if *hold == 0 {
		*hold = elapsed.Seconds()
	}
	*hold += paceGain * (elapsed.Seconds() - *hold)
}

// tokens returns the tokens of all waiting wants.
func (q *queue) tokens() int {
	sum := 0
	for i := range q.lanes {
		sum += q.lanes[i].load().tokens
	}
	return sum
}

// find returns the waiting want of an owner.
func (q *queue) find(owner Owner, id string) (*lane, *flow, *waiting) {
	for i := range q.lanes {
		for _, f := range q.lanes[i].flows {
			for _, w := range f.wants {
				if w.want.id == id && w.want.owner == owner {
					return &q.lanes[i], f, w
				}
			}
		}
	}
	return nil, nil, nil
}

// removeIf takes out the wants for which drop returns true.
func (q *queue) removeIf(drop func(SlotRequest) bool) {
	for i := range q.lanes {
		l := &q.lanes[i]
		for _, f := range slices.Clone(l.flows) {
			for _, w := range slices.Clone(f.wants) {
				if drop(w.want) {
					l.remove(f, w)
				}
			}
		}
	}
}
