package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedock.example/routing"
)

// SetView updates the services and servers to a newly published view.
func (sched *Scheduler) SetView(now time.Time, view *routing.View) {
	table := view.Table()
	if table == nil {
		return
	}
	for _, name := range table.Services() {
		service, _ := table.Service(name)
		p := sched.pools[name]
		if p == nil {
			// A fresh scheduler counts as the primary one until it is told of another. So an entry
			// that starts does not ask others what runs: they report to it with their heartbeats.
			p = &pool{servers: make(map[string]*server), coldShare: 1, rateLimitShare: 1, observedFrom: now, primary: true}
			sched.pools[name] = p
		}
		p.service = service
	}
	for _, p := range sched.pools {
		p.removeUnpublished(view)
	}
	for id, info := range view.Servers() {
		if p := sched.pools[info.Service()]; p != nil {
			p.setServer(now, info, view.Usable(id))
			p.servers[id].refuse(view.RefusesUntil(id))
			p.servers[id].limit.set(now, view.RateLimit(info.Incarnation()).PerSecond())
		}
	}
	for _, p := range sched.pools {
		p.sortServers(sched.entry)
	}
}

// removeUnpublished marks servers that are no longer published as unusable, and
// removes those without requests.
func (p *pool) removeUnpublished(view *routing.View) {
	for id, s := range p.servers {
		info, ok := view.Servers()[id]
		if ok && info.Service() == p.service.Name() {
			continue
		}
		s.usable = false
		if len(s.running) == 0 && s.workerFor == 0 {
			delete(p.servers, id)
		}
	}
}

// setServer adds or updates a published server. A new start time means a new
// incarnation, which has no requests.
func (p *pool) setServer(now time.Time, info routing.Server, usable bool) {
	s := p.servers[info.ID()]
	if s == nil || s.info.StartUnixMilli() != info.StartUnixMilli() {
		s = &server{running: make(map[string]*allocation)}
		p.servers[info.ID()] = s
	}
	if s.info.Revision() != info.Revision() && info.ColdFor() > 0 {
		s.coldUntil = now.Add(info.ColdFor())
	}
	s.info = info
	s.usable = usable
	s.engine = p.service.Engine()
	s.coldRate = p.service.ColdRate()
}

// sortServers sorts the servers by the entry's preference among equals, a hash that
// differs between entries: entries that schedule on their own for a while then
// don't all choose the same server.
func (p *pool) sortServers(entry string) {
	p.order = p.order[:0]
	for _, s := range p.servers {
		p.order = append(p.order, s)
	}
	preference := func(s *server) uint64 { return xxhash.Sum64String(entry + "\x00" + s.info.ID()) }
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(preference(a), preference(b)) })
	p.usableServers = 0
	for i, s := range p.order {
		s.preference = i
		if s.usable {
			p.usableServers++
		}
	}
}

// Hold has prompts for a service queued without a decision until a time, while the scheduler
// learns what runs on the servers.
func (sched *Scheduler) Hold(service string, until time.Time) {
	if p := sched.pools[service]; p != nil {
		p.heldUntil = until
	}
}

// held reports whether prompts are queued without a decision. Calls of plain services are
// not: they are short, and what runs of them soon ends.
func (p *pool) held(now time.Time) bool {
	return p.service.Engine() != nil && now.Before(p.heldUntil)
}
