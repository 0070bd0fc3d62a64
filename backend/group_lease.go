package backend

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// groupPrefix begins the service of a work that stands for groups that
	// hold memory, gatherPrefix of one that stands for those that still
	// gather it; no service's name has either.
	groupPrefix  = "group/"
	gatherPrefix = "gather/"
	// GatherTimeout bounds the time in which a group gets all its memory.
	GatherTimeout = 20 * time.Second
	// gatherLife is the time after which a lease to gather ends by itself.
	gatherLife = GatherTimeout + 2*time.Second
	// maxLeaseWants bounds the groups that wait for one lease.
	maxLeaseWants = 64
	// groupPartDen is the part of a service's engines that groups may hold
	// together, as a divisor; a single group may hold more.
	groupPartDen = 2
)

// GroupLeaseWorkload returns the work whose slot is the lease of a group that holds
// memory for a work: together such groups hold half of the engines at most.
func GroupLeaseWorkload(work Workload) Workload {
	return Workload{service: groupPrefix + work.service, model: work.model}
}

// GatherLeaseWorkload returns the work whose slot is the lease to gather a group's
// memory: a keeper gives it to one group at a time.
func GatherLeaseWorkload(work Workload) Workload {
	return Workload{service: gatherPrefix + work.service, model: work.model}
}

// IsGroupLease reports whether the work is one that GroupWork or GatherWork returns.
func (w Workload) IsGroupLease() bool { return w.member() != w }

// PartWorkload returns the work that the parts of a lease's group are.
func (w Workload) PartWorkload() Workload { return w.member() }

func (w Workload) member() Workload {
	service := strings.TrimPrefix(w.service, groupPrefix)
	if service == w.service {
		service = strings.TrimPrefix(w.service, gatherPrefix)
	}
	return Workload{service: service, model: w.model}
}

// leases are the leases of groups that a ledger gives; its zero value has none out.
type leases struct {
	works  []*lease
	fleets map[string]groupFleet
}

// groupFleet is what a group may be made of.
type groupFleet struct {
	engines int
	bearing Capacity
}

// lease is the leave of groups of one work to gather, or to hold memory.
type lease struct {
	work    Workload
	holders []leaseHolder
	account string // of the last holder
	waiting []SlotRequest
}

type leaseHolder struct {
	slot  Slot
	parts int
	ends  time.Time
}

// SetFleet sets how many engines of a service may get new work in the whole
// region, and what each bears.
func (l *Allocator) SetFleet(service string, engines int, bearing Capacity) {
	if l.leases.fleets == nil {
		l.leases.fleets = make(map[string]groupFleet)
	}
	l.leases.fleets[service] = groupFleet{engines: engines, bearing: bearing}
}

func (l *leases) lease(work Workload) *lease {
	for _, each := range l.works {
		if each.work == work {
			return each
		}
	}
	l.works = append(l.works, &lease{work: work})
	return l.works[len(l.works)-1]
}

// askLease asks for a group's lease. It is queued behind the groups before
// it, or denied if its group would end late.
func (l *Allocator) askLease(now time.Time, want SlotRequest) []Decision {
	e := l.leases.lease(want.work)
	for _, h := range e.holders {
		if h.slot.id == want.id {
			return []Decision{Granted{slot: h.slot, why: "asked again"}}
		}
	}
	if e.waits(want.id) {
		return []Decision{e.queued(want)}
	}
	if late := l.groupService(now, want) - want.deadline.Sub(now); late > 0 || len(e.waiting) >= maxLeaseWants {
		return append([]Decision{denied(want, busy(late))}, l.settleLeases(now)...)
	}
	e.waiting = append(e.waiting, want)
	out := l.settleLeases(now)
	if e.waits(want.id) {
		out = append(out, e.queued(want))
	}
	return out
}

// groupService returns how long a group is expected to work on a want by the
// pace of the kept servers, 0 if none is kept: its parts follow one another,
// so it takes as long as one server that could hold it all.
func (l *Allocator) groupService(now time.Time, want SlotRequest) time.Duration {
	kept := l.survey(now, want.work.member())
	if len(kept) == 0 {
		return 0
	}
	return kept.service(want)
}

func (e *lease) waits(id string) bool {
	return slices.ContainsFunc(e.waiting, func(w SlotRequest) bool { return w.id == id })
}

func (e *lease) queued(want SlotRequest) Decision {
	return Queued{want: want.id, owner: want.owner, wait: GatherTimeout}
}

// settleLeases ends leases and wants whose time is over and gives free leases on.
func (l *Allocator) settleLeases(now time.Time) []Decision {
	var out []Decision
	for _, e := range l.leases.works {
		e.waiting = slices.DeleteFunc(e.waiting, func(w SlotRequest) bool {
			over := !now.Before(w.deadline)
			if over {
				out = append(out, denied(w, NewRefusal(ReasonDeadline, 0)))
			}
			return over
		})
		e.holders = slices.DeleteFunc(e.holders, func(h leaseHolder) bool { return !now.Before(h.ends) })
		for len(e.waiting) > 0 {
			next := e.next()
			parts := l.leases.parts(e.waiting[next])
			if !l.leases.room(e, parts) {
				break
			}
			out = append(out, e.grant(now, l.keeper, next, parts))
		}
	}
	return out
}

// next returns the index of the first want that waits, of another account
// than the last holder's if there is one.
func (e *lease) next() int {
	return max(slices.IndexFunc(e.waiting, func(w SlotRequest) bool { return w.account != e.account }), 0)
}

func (l *leases) parts(want SlotRequest) int {
	return len(l.fleets[want.work.member().service].bearing.SplitCost(want.cost))
}

// room reports whether one more group of so many parts may have the lease.
func (l *leases) room(e *lease, parts int) bool {
	if len(e.holders) == 0 {
		return true
	}
	if strings.HasPrefix(e.work.service, gatherPrefix) {
		return false
	}
	for _, h := range e.holders {
		parts += h.parts
	}
	return parts <= l.fleets[e.work.member().service].engines/groupPartDen
}

func (e *lease) grant(now time.Time, keeper string, next, parts int) Granted {
	want := e.waiting[next]
	e.waiting = slices.Delete(e.waiting, next, next+1)
	server := Server{id: e.work.service + "/" + e.work.model}
	slot := NewSlot(want, keeper, server, "", now.Add(StartWindow))
	ends := want.deadline.Add(releaseGrace)
	if strings.HasPrefix(e.work.service, gatherPrefix) {
		ends = now.Add(gatherLife)
	}
	e.holders = append(e.holders, leaseHolder{slot: slot, parts: parts, ends: ends})
	e.account = want.account
	return Granted{slot: slot, why: fmt.Sprintf("lease of %d parts, %d groups wait", parts, len(e.waiting))}
}

// releaseLease ends the lease that an owner's attempt holds or waits for.
func (l *Allocator) releaseLease(now time.Time, owner Owner, id string) []Decision {
	return l.endLeases(now, func(o Owner, other string) bool { return o == owner && other == id })
}

// forgetLeases ends all that an owner incarnation had of leases.
func (l *Allocator) forgetLeases(now time.Time, owner Owner) []Decision {
	return l.endLeases(now, func(o Owner, _ string) bool { return o == owner })
}

func (l *Allocator) endLeases(now time.Time, over func(Owner, string) bool) []Decision {
	for _, e := range l.leases.works {
		e.waiting = slices.DeleteFunc(e.waiting, func(w SlotRequest) bool { return over(w.owner, w.id) })
		e.holders = slices.DeleteFunc(e.holders, func(h leaseHolder) bool { return over(h.slot.owner, h.slot.id) })
	}
	return l.settleLeases(now)
}
