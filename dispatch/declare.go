package dispatch

import (
	"slices"
	"time"
)

// Reconcile takes all requests that an owner has on the servers of some services;
// what it was granted a while ago and does not declare is released.
func (b *Scheduler) Reconcile(now time.Time, owner Owner, services []string, holds []RunningRequest) {
	declared := make(map[string]bool, len(holds))
	for _, d := range holds {
		declared[d.id] = true
		if h := b.holds[d.id]; h == nil {
			b.Adopt(now, owner, d)
		} else if d.started && !h.started {
			b.start(now, h)
		}
	}
	for id, h := range b.holds {
		if h.owner == owner && !declared[id] && slices.Contains(services, h.service) && now.Sub(h.granted) > undeclaredGrace {
			b.release(now, h)
		}
	}
}

// Adopt takes a request that another book placed.
func (b *Scheduler) Adopt(now time.Time, owner Owner, d RunningRequest) {
	if b.holds[d.id] != nil {
		return
	}
	p := b.pools[d.service]
	if p == nil || p.servers[d.server] == nil {
		return
	}
	started := d.started
	d.started = false
	s := p.servers[d.server]
	h := &hold{RunningRequest: d, owner: owner, granted: now, on: s, memory: d.prompt + d.answer}
	if s.engine != nil {
		h.memory = min(h.memory, s.engine.Memory())
	}
	b.holds[d.id] = h
	s.add(h)
	if started {
		b.start(now, h)
		return
	}
	b.adoptReading(now, p, h)
}

// adoptReading enters the reading of a request that another book placed; half
// of it is taken to be done.
func (b *Scheduler) adoptReading(now time.Time, p *pool, h *hold) {
	if h.on.engine == nil {
		return
	}
	share := 1 / float64(1+len(h.helpers))
	readers := []*server{h.on}
	for _, id := range h.helpers {
		if helper := p.servers[id]; helper != nil && helper != h.on {
			readers = append(readers, helper)
		}
	}
	for _, r := range readers {
		r.give(now, h, r.readCost(h.prompt, share)/2)
	}
}

// give enters a part of a request's reading on the server.
func (s *server) give(now time.Time, h *hold, cost time.Duration) {
	s.readyAt = later(now, s.readyAt).Add(cost)
	h.parts = append(h.parts, part{server: s, cost: cost})
	if s != h.on {
		s.helping++
	}
}

// ReleaseEntry releases what the other incarnations of an entry hold; keep 0 releases all.
func (b *Scheduler) ReleaseEntry(now time.Time, entry string, keep uint64) {
	for _, h := range b.holds {
		if h.owner.entry == entry && h.owner.incarnation != keep {
			b.release(now, h)
		}
	}
	for _, p := range b.pools {
		p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool {
			return w.owner.entry == entry && w.owner.incarnation != keep
		})
	}
}
