package dispatch

import (
	"slices"
	"time"

	"greengagedock.example/routing"
)

// TickInterval is the time between two calls of Tick: an event's way between
// entries, so that waiting adds little to it.
const TickInterval = 25 * time.Millisecond

const (
	// undeclaredGrace is how long a grant may be missing from its owner's
	// declarations: a round trip and two heartbeats.
	undeclaredGrace = 1500 * time.Millisecond
	// maxMisses is how many wants that find no place are tried at each look:
	// those behind them in the order would hardly find one.
	maxMisses = 24
	// maxQueue bounds the wants that wait for one service.
	maxQueue = 512
)

// Scheduler holds the backend servers and the requests on them; NewBook makes one.
type Scheduler struct {
	entry string
	pools map[string]*pool
	holds map[string]*hold
}

// pool is the servers of one service and the wants that wait for them.
type pool struct {
	service routing.Service
	// share is the part of cold servers' bearing that this book may give out.
	share   float64
	servers map[string]*server
	order   []*server
	queue   []*waiting
	// given is the reading that was placed, forgotten over loadTime; givenAt is when it was last added to.
	given   time.Duration
	givenAt time.Time
	kinds   map[kindKey]*kind
	// ticking tells that a look at what waits is under way, and opened holds the
	// servers that are open to any want until the next place is given.
	ticking bool
	opened  []*server
}

// usable returns how many servers may get work, and the time that their prompts still take to read.
func (p *pool) usable(now time.Time) (count int, backlog time.Duration) {
	for _, s := range p.order {
		if s.usable {
			count++
			backlog += s.backlog(now)
		}
	}
	return count, backlog
}

type waiting struct {
	owner Owner
	want  Request
	// owed tells that wants of its length got too few places.
	owed bool
}

// NewScheduler returns an empty book of an entry; books of different entries prefer
// different servers among equals.
func NewScheduler(entry string) *Scheduler {
	return &Scheduler{entry: entry, pools: make(map[string]*pool), holds: make(map[string]*hold)}
}

// SetColdShare states the part of the bearing of a service's cold servers that this book may give out, up to 1.
func (b *Scheduler) SetColdShare(service string, share float64) {
	if p := b.pools[service]; p != nil {
		p.share = share
	}
}

// Submit decides on a want; it is asked again with the same id while it is queued.
func (b *Scheduler) Submit(now time.Time, owner Owner, want Request) Decision {
	if h := b.holds[want.id]; h != nil {
		if grant, ok := b.grantOf(h); ok {
			return NewGranted(grant)
		}
		b.release(now, h)
	}
	p := b.pools[want.service]
	if p == nil {
		return NewRefused(want.id, ReasonNoServer, comeBackNoServer)
	}
	if slices.ContainsFunc(p.queue, func(w *waiting) bool { return w.want.id == want.id }) {
		return Queued{}
	}
	if p.service.Engine() != nil {
		p.kindOf(want).ask(now, want.prompt)
	}
	if decision := b.decide(now, p, owner, want, len(p.queue) > 0); decision != nil {
		return decision
	}
	if len(p.queue) >= maxQueue {
		return NewRefused(want.id, ReasonBusy, p.comeBack(now))
	}
	p.queue = append(p.queue, &waiting{owner: owner, want: want})
	return Queued{}
}

// Withdraw forgets a want that waits.
func (b *Scheduler) Withdraw(id string) {
	for _, p := range b.pools {
		p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool { return w.want.id == id })
	}
}

// Tick decides on the wants that wait, as far as it can.
func (b *Scheduler) Tick(now time.Time) []Decision {
	var out []Decision
	for _, p := range b.pools {
		if len(p.queue) == 0 {
			continue
		}
		p.arrange(now)
		p.ticking = true
		queue := p.queue
		p.queue = nil
		ahead := time.Duration(0)
		misses := 0
		for _, w := range queue {
			var decision Decision
			if misses < maxMisses || !now.Before(w.want.patience(p.service.Engine())) {
				decision = b.decide(now, p, w.owner, w.want, false)
			}
			if decision == nil {
				misses++
				decision = p.hopeless(now, w, ahead)
			}
			if decision == nil {
				p.queue = append(p.queue, w)
				ahead += p.reading(w.want)
				continue
			}
			out = append(out, decision)
		}
		p.ticking, p.opened = false, nil
	}
	return out
}

// Started tells that the first event of a request came.
func (b *Scheduler) Started(now time.Time, id string) {
	h := b.holds[id]
	if h == nil || h.started {
		return
	}
	b.start(now, h)
}

func (b *Scheduler) start(now time.Time, h *hold) {
	h.started = true
	s := b.serverOf(h)
	if s == nil {
		return
	}
	s.writers++
	s.context += h.prompt
	for _, part := range h.parts {
		// What was read sooner or later than expected moves all that waits behind it.
		if !h.expect.IsZero() {
			part.server.readyAt = part.server.readyAt.Add(now.Sub(h.expect) / 2)
		}
	}
	b.unhelp(h)
}

// unhelp frees the helpers of a request whose prompt is read.
func (b *Scheduler) unhelp(h *hold) {
	for _, part := range h.parts {
		part.server.settled(h)
		if part.server != h.on {
			part.server.helping--
		}
	}
	h.parts = nil
}

// Ended tells how a request ended.
func (b *Scheduler) Ended(now time.Time, id string, outcome Outcome) {
	h := b.holds[id]
	if h == nil {
		return
	}
	if s := b.serverOf(h); s != nil {
		s.ended(now, outcome)
	}
	b.release(now, h)
}

// ReportFault tells that a request at another server failed through the one at the address.
func (b *Scheduler) ReportFault(now time.Time, service, address string, outcome Outcome) {
	p := b.pools[service]
	if p == nil {
		return
	}
	for _, s := range p.order {
		if s.info.Address() == address {
			s.ended(now, outcome)
		}
	}
}

// release takes a request off its servers.
func (b *Scheduler) release(now time.Time, h *hold) {
	delete(b.holds, h.id)
	for _, part := range h.parts {
		part.server.readyAt = later(now, part.server.readyAt.Add(-part.cost))
	}
	b.unhelp(h)
	for _, r := range h.reserved {
		r.server.memory -= r.tokens
	}
	h.reserved = nil
	s := b.serverOf(h)
	if s == nil {
		return
	}
	s.remove(h)
	if h.started {
		s.writers--
		s.context -= h.prompt
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// serverOf returns the server that a request is on, nil if that incarnation is gone.
func (b *Scheduler) serverOf(h *hold) *server {
	p := b.pools[h.service]
	if p == nil {
		return nil
	}
	if s := p.servers[h.server]; s != nil && s.holds[h.id] == h {
		return s
	}
	return nil
}

// Running returns the requests that an owner has on servers, as the book knows them.
func (b *Scheduler) Running(owner Owner) []RunningRequest {
	var out []RunningRequest
	for _, h := range b.holds {
		if h.owner == owner {
			out = append(out, h.RunningRequest)
		}
	}
	return out
}

// Waiting returns how many wants wait.
func (b *Scheduler) Waiting() int {
	n := 0
	for _, p := range b.pools {
		n += len(p.queue)
	}
	return n
}

// reservedOn returns the memory that the request takes on a helper.
func (h *hold) reservedOn(s *server) int {
	for _, r := range h.reserved {
		if r.server == s {
			return r.tokens
		}
	}
	return 0
}

// grantOf returns the grant of a request that is asked for again, and false if
// its server is gone.
func (b *Scheduler) grantOf(h *hold) (Grant, bool) {
	s := b.serverOf(h)
	if s == nil {
		return Grant{}, false
	}
	var helpers []PrefillWorker
	for _, part := range h.parts {
		if part.server != s {
			helpers = append(helpers, NewPrefillWorker(part.server.info.ID(), part.server.info.Address(), h.reservedOn(part.server)))
		}
	}
	return NewGrant(h.id, h.server, s.info.Address(), helpers, max(0, h.expect.Sub(h.granted))), true
}
