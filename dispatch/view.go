package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedock.example/routing"
)

// SetView takes what is published now.
func (b *Scheduler) SetView(now time.Time, view *routing.View) {
	table := view.Table()
	if table == nil {
		return
	}
	for _, name := range table.Services() {
		service, _ := table.Service(name)
		p := b.pools[name]
		if p == nil {
			p = &pool{servers: make(map[string]*server), share: 1}
			b.pools[name] = p
		}
		p.service = service
	}
	for _, p := range b.pools {
		p.drop(view)
	}
	for id, info := range view.Servers() {
		if p := b.pools[info.Service()]; p != nil {
			p.set(now, info, view.Usable(id))
		}
	}
	for _, p := range b.pools {
		p.sort(b.entry)
	}
}

// drop marks the servers that are published no more, and forgets those without requests.
func (p *pool) drop(view *routing.View) {
	for id, s := range p.servers {
		info, ok := view.Servers()[id]
		if ok && info.Service() == p.service.Name() {
			continue
		}
		s.usable = false
		if len(s.holds) == 0 && s.helping == 0 {
			delete(p.servers, id)
		}
	}
}

// set takes a server as it is published.
func (p *pool) set(now time.Time, info routing.Server, usable bool) {
	s := p.servers[info.ID()]
	if s == nil || s.info.StartUnixMilli() != info.StartUnixMilli() {
		s = &server{holds: make(map[string]*hold)}
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

// sort puts the servers in the order in which an entry prefers equals. Entries
// that place by themselves for a while so don't all choose the same server.
func (p *pool) sort(entry string) {
	p.order = p.order[:0]
	for _, s := range p.servers {
		p.order = append(p.order, s)
	}
	preference := func(s *server) uint64 { return xxhash.Sum64String(entry + "\x00" + s.info.ID()) }
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(preference(a), preference(b)) })
	for i, s := range p.order {
		s.rank = i
	}
}
