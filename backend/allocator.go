package backend

import (
	"slices"
	"strings"
	"time"
)

// KeeperLease is the state of a keeper's lease on a backend server: how
// certain it is that no other entry allocates the server's slots at the same
// time.
type KeeperLease string

// States of a keeper's lease; a server starts with KeeperLeaseNone.
const (
	// KeeperLeaseNone allows no load on a cold server and at most half the
	// warm capacity on any other.
	KeeperLeaseNone KeeperLease = "none"
	// KeeperLeaseWarm allows no load on a cold server and, on any other, the
	// capacity at its current warmth.
	KeeperLeaseWarm KeeperLease = "warm"
	// KeeperLeaseFull allows the capacity at the server's current warmth.
	KeeperLeaseFull KeeperLease = "full"
)

// StartWindow is the time after the grant within which an attempt must start
// on its slot.
const StartWindow = time.Second

// Allocator allocates the slots of the backend servers that one entry keeps;
// no other entry grants slots of these servers. It is not safe for concurrent
// use, does no I/O and takes the time only from its callers.
type Allocator struct {
	keeper      string
	backends    []*backendState
	queues      []*queue
	affinity    affinity
	groupLeases groupLeases
}

// NewAllocator returns the allocator of the named entry, without any servers.
func NewAllocator(keeper string) *Allocator { return &Allocator{keeper: keeper} }

// AddServer starts to allocate the slots of a server, which is cold and gets
// no work until its first report. For a server that the allocator has
// already, it updates the published description.
func (a *Allocator) AddServer(_ time.Time, server Server) {
	i, found := a.search(server.id)
	if found {
		a.backends[i].server = server
		return
	}
	a.backends = slices.Insert(a.backends, i, newBackendState(server))
}

// RemoveServer stops allocating the slots of a server and denies the queued
// requests that no remaining server can serve.
func (a *Allocator) RemoveServer(now time.Time, server string) []Decision {
	if i, found := a.search(server); found {
		a.backends = slices.Delete(a.backends, i, i+1)
		a.affinity.forget(server)
	}
	return append(a.denyExpired(now), a.grantQueued(now)...)
}

// SetKeeperLease sets the state of the keeper's lease on a server.
func (a *Allocator) SetKeeperLease(server string, lease KeeperLease) {
	if b := a.backend(server); b != nil {
		b.lease = lease
	}
}

// SetClosed sets whether the server gets no new work, because it is leaving
// or its failure domain is out of service.
func (a *Allocator) SetClosed(server string, closed bool) {
	if b := a.backend(server); b != nil {
		b.closed = closed
	}
}

// Tick ends grants and leases that have expired, repeats cancels, denies
// requests that can no longer finish in time and grants queued ones.
func (a *Allocator) Tick(now time.Time) []Decision {
	var out []Decision
	for _, b := range a.backends {
		b.expireGrants(now)
		out = append(out, b.dueCancels(now)...)
	}
	out = append(out, a.grantLeases(now)...)
	out = append(out, a.denyExpired(now)...)
	return append(out, a.grantQueued(now)...)
}

func (a *Allocator) search(server string) (int, bool) {
	return slices.BinarySearchFunc(a.backends, server, func(b *backendState, id string) int {
		return strings.Compare(b.server.id, id)
	})
}

func (a *Allocator) backend(server string) *backendState {
	if i, found := a.search(server); found {
		return a.backends[i]
	}
	return nil
}

// serving returns the servers that carry the workload.
func (a *Allocator) serving(workload Workload) []*backendState {
	var list []*backendState
	for _, b := range a.backends {
		if b.serves(workload) {
			list = append(list, b)
		}
	}
	return list
}

func (a *Allocator) queue(workload Workload) *queue {
	i, found := slices.BinarySearchFunc(a.queues, workload, func(q *queue, w Workload) int {
		if c := strings.Compare(q.workload.service, w.service); c != 0 {
			return c
		}
		return strings.Compare(q.workload.model, w.model)
	})
	if !found {
		a.queues = slices.Insert(a.queues, i, &queue{workload: workload})
	}
	return a.queues[i]
}
