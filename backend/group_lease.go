package backend

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// groupPrefix and gatherPrefix mark the service of a workload that stands
	// for group leases and gather leases. No real service's name has either
	// prefix.
	groupPrefix  = "group/"
	gatherPrefix = "gather/"
	// GatherTimeout bounds the time in which a group reserves all its memory.
	GatherTimeout = 20 * time.Second
	// gatherLeaseTTL is the time after which a gather lease expires.
	gatherLeaseTTL = GatherTimeout + 2*time.Second
	// maxLeaseQueue bounds the groups that wait for one lease.
	maxLeaseQueue = 64
	// groupEnginesDen is the divisor of the share of a service's engines that
	// groups may hold together; a single group may hold more.
	groupEnginesDen = 2
)

// GroupLeaseWorkload returns the workload whose slots are group leases. A
// group holds one while it has memory reserved for its request; together such
// groups hold at most half of the engines.
func GroupLeaseWorkload(workload Workload) Workload {
	return Workload{service: groupPrefix + workload.service, model: workload.model}
}

// GatherLeaseWorkload returns the workload whose slots are gather leases. A
// group holds one while it reserves its memory on the servers; a keeper
// grants it to one group at a time.
func GatherLeaseWorkload(workload Workload) Workload {
	return Workload{service: gatherPrefix + workload.service, model: workload.model}
}

// IsGroupLease reports whether GroupLeaseWorkload or GatherLeaseWorkload
// returned the workload.
func (w Workload) IsGroupLease() bool { return w.partWorkload() != w }

// PartWorkload returns the workload for which a lease's group requests the
// slots of its parts.
func (w Workload) PartWorkload() Workload { return w.partWorkload() }

func (w Workload) partWorkload() Workload {
	service := strings.TrimPrefix(w.service, groupPrefix)
	if service == w.service {
		service = strings.TrimPrefix(w.service, gatherPrefix)
	}
	return Workload{service: service, model: w.model}
}

// groupLeases are the group and gather leases that an allocator grants. The
// zero value has none.
type groupLeases struct {
	leases []*groupLease
	fleets map[string]groupFleet
}

// groupFleet is the number and the capacity of the engines from which groups
// are formed.
type groupFleet struct {
	engines  int
	capacity Capacity
}

// groupLease is the lease of one workload, with its holders and the requests
// that wait for it.
type groupLease struct {
	workload    Workload
	holders     []groupLeaseHolder
	lastAccount string // of the last holder
	waiting     []SlotRequest
}

type groupLeaseHolder struct {
	slot    Slot
	parts   int
	expires time.Time
}

// SetFleet sets how many engines of a service may get new work in the whole
// region, and the capacity of each.
func (a *Allocator) SetFleet(service string, engines int, capacity Capacity) {
	if a.groupLeases.fleets == nil {
		a.groupLeases.fleets = make(map[string]groupFleet)
	}
	a.groupLeases.fleets[service] = groupFleet{engines: engines, capacity: capacity}
}

func (l *groupLeases) lease(workload Workload) *groupLease {
	for _, lease := range l.leases {
		if lease.workload == workload {
			return lease
		}
	}
	l.leases = append(l.leases, &groupLease{workload: workload})
	return l.leases[len(l.leases)-1]
}

// requestLease asks for a group's lease. The request is queued behind earlier
// ones, or denied if the group would miss its deadline.
func (a *Allocator) requestLease(now time.Time, request SlotRequest) []Decision {
	lease := a.groupLeases.lease(request.workload)
	for _, h := range lease.holders {
		if h.slot.id == request.id {
			return []Decision{Granted{slot: h.slot, why: "asked again"}}
		}
	}
	if lease.isWaiting(request.id) {
		return []Decision{lease.queued(request)}
	}
	serviceTime := a.groupServiceTime(now, request)
	if late := serviceTime - request.deadline.Sub(now); late > 0 {
		return append([]Decision{newDenied(request, busyRefusal(late))}, a.grantLeases(now)...)
	}
	if len(lease.waiting) >= maxLeaseQueue {
		// A place in the queue is free when the next of the holders' groups ends.
		wait := serviceTime / time.Duration(max(1, len(lease.holders)))
		return append([]Decision{newDenied(request, busyRefusal(wait))}, a.grantLeases(now)...)
	}
	lease.waiting = append(lease.waiting, request)
	out := a.grantLeases(now)
	if lease.isWaiting(request.id) {
		out = append(out, lease.queued(request))
	}
	return out
}

// groupServiceTime returns the expected service time of a group's request by
// the estimates for the allocator's own servers, 0 if there are none. The
// parts run one after another, so the group takes as long as one server that
// could hold them all.
func (a *Allocator) groupServiceTime(now time.Time, request SlotRequest) time.Duration {
	idle := a.idleServers(now, request.workload.partWorkload())
	if len(idle) == 0 {
		return 0
	}
	return idle.serviceTime(request)
}

func (l *groupLease) isWaiting(id string) bool {
	return slices.ContainsFunc(l.waiting, func(r SlotRequest) bool { return r.id == id })
}

func (l *groupLease) queued(request SlotRequest) Decision {
	return Queued{attemptID: request.id, owner: request.owner, expectedWait: GatherTimeout}
}

// grantLeases removes expired leases and requests, and grants the leases that
// are free.
func (a *Allocator) grantLeases(now time.Time) []Decision {
	var out []Decision
	for _, lease := range a.groupLeases.leases {
		lease.waiting = slices.DeleteFunc(lease.waiting, func(r SlotRequest) bool {
			expired := !now.Before(r.deadline)
			if expired {
				out = append(out, newDenied(r, NewRefusal(ReasonDeadline, 0)))
			}
			return expired
		})
		lease.holders = slices.DeleteFunc(lease.holders, func(h groupLeaseHolder) bool { return !now.Before(h.expires) })
		for len(lease.waiting) > 0 {
			next := lease.next()
			parts := a.groupLeases.partCount(lease.waiting[next])
			if !a.groupLeases.hasRoom(lease, parts) {
				break
			}
			out = append(out, lease.grant(now, a.keeper, next, parts))
		}
	}
	return out
}

// next returns the index of the first waiting request of another account than
// the last holder's, or of the first request if there is none.
func (l *groupLease) next() int {
	return max(slices.IndexFunc(l.waiting, func(r SlotRequest) bool { return r.account != l.lastAccount }), 0)
}

func (l *groupLeases) partCount(request SlotRequest) int {
	return len(l.fleets[request.workload.partWorkload().service].capacity.SplitCost(request.cost))
}

// hasRoom reports whether one more group of that many parts may hold the
// lease.
func (l *groupLeases) hasRoom(lease *groupLease, parts int) bool {
	if len(lease.holders) == 0 {
		return true
	}
	if strings.HasPrefix(lease.workload.service, gatherPrefix) {
		return false
	}
	for _, h := range lease.holders {
		parts += h.parts
	}
	return parts <= l.fleets[lease.workload.partWorkload().service].engines/groupEnginesDen
}

func (l *groupLease) grant(now time.Time, keeper string, next, parts int) Granted {
	request := l.waiting[next]
	l.waiting = slices.Delete(l.waiting, next, next+1)
	server := Server{id: l.workload.service + "/" + l.workload.model}
	slot := NewSlot(request, keeper, server, "", now.Add(StartWindow))
	expires := request.deadline.Add(releaseGrace)
	if strings.HasPrefix(l.workload.service, gatherPrefix) {
		expires = now.Add(gatherLeaseTTL)
	}
	l.holders = append(l.holders, groupLeaseHolder{slot: slot, parts: parts, expires: expires})
	l.lastAccount = request.account
	return Granted{slot: slot, why: fmt.Sprintf("lease of %d parts, %d groups wait", parts, len(l.waiting))}
}

// releaseLease ends the lease that an owner's attempt holds or waits for.
func (a *Allocator) releaseLease(now time.Time, owner Owner, id string) []Decision {
	return a.endLeases(now, func(o Owner, other string) bool { return o == owner && other == id })
}

// removeLeases ends all leases and lease requests of an owner incarnation.
func (a *Allocator) removeLeases(now time.Time, owner Owner) []Decision {
	return a.endLeases(now, func(o Owner, _ string) bool { return o == owner })
}

func (a *Allocator) endLeases(now time.Time, ended func(Owner, string) bool) []Decision {
	for _, lease := range a.groupLeases.leases {
		lease.waiting = slices.DeleteFunc(lease.waiting, func(r SlotRequest) bool { return ended(r.owner, r.id) })
		lease.holders = slices.DeleteFunc(lease.holders, func(h groupLeaseHolder) bool { return ended(h.slot.owner, h.slot.id) })
	}
	return a.grantLeases(now)
}
