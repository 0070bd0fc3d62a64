package peer

import (
	"strings"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// declarationWait is how long a new keeper gives a server no work, so that the
// other entries can declare the slots that they hold on it.
const declarationWait = 2 * minHeartbeat

// keeperTable is the assignment of keepers to the region's published servers.
type keeperTable struct {
	keepers          map[string]string
	keepersByService map[string][]string // each keeper once per service
	closedServers    map[string]bool
	addresses        map[string]string
}

// assignmentInputs is what the assignment of keepers was last derived from.
type assignmentInputs struct {
	digest uint64
	silent string
}

// updateAssignment reassigns keepers if the inputs of the assignment have
// changed, and updates the leases of the servers that this entry keeps.
func (n *Node) updateAssignment(now time.Time) {
	silentPeers := n.membership.majoritySilent(now)
	inputs := assignmentInputs{digest: n.items.digest, silent: strings.Join(sortedKeys(silentPeers), " ")}
	if inputs != n.assignedFrom {
		n.assignedFrom = inputs
		n.assignKeepers(now, silentPeers)
	}
	n.updateLeases(now)
}

// assignKeepers derives the keeper of every server of the region, and starts
// and stops keeping this entry's own.
func (n *Node) assignKeepers(now time.Time, silentPeers map[string]bool) {
	table := keeperTable{
		keepers:          make(map[string]string),
		keepersByService: make(map[string][]string),
		closedServers:    make(map[string]bool),
		addresses:        make(map[string]string),
	}
	keep := make(map[string]bool)
	for _, list := range n.serverLists {
		for _, server := range list.All() {
			if server.Location().Region() == n.self.Location().Region() {
				n.assignServer(now, &table, keep, silentPeers, server)
			}
		}
	}
	n.requester.table = table
	n.updateFleets()
	n.deliverDecisions(now, n.keeper.drop(now, keep))
}

// assignServer assigns one server to its keeper by the list. If a majority
// reports that keeper silent, the entry of the next weight stands in for it,
// without a lease.
func (n *Node) assignServer(now time.Time, table *keeperTable, keep map[string]bool, silentPeers map[string]bool, server registry.Instance) {
	capacity, known := n.serviceCapacity(server.Service())
	if !known {
		return
	}
	id := server.ID()
	domain := server.Location().Domain()
	listed := keeperOf(n.membership.list, id, domain, func(string) bool { return false })
	keeper := keeperOf(n.membership.list, id, domain, func(entry string) bool { return silentPeers[entry] && entry != n.self.ID() })
	table.add(server.Service(), id, keeper)
	table.addresses[id] = server.Address()
	table.closedServers[id] = server.State() == registry.StateLeaving || n.domainStates[domain] == registry.StateOut
	if keeper != n.self.ID() {
		return
	}
	keep[id] = true
	n.keeper.keep(now, backend.NewServer(server, capacity), listed == keeper)
}

// add records a server's keeper.
func (t *keeperTable) add(service, server, keeper string) {
	if keeper == "" {
		return
	}
	t.keepers[server] = keeper
	for _, known := range t.keepersByService[service] {
		if known == keeper {
			return
		}
	}
	t.keepersByService[service] = append(t.keepersByService[service], keeper)
}

// serviceCapacity returns the cold and warm capacity of a service's servers, as
// its active document states it.
func (n *Node) serviceCapacity(service string) (backend.Capacity, bool) {
	item, ok := n.items.active[registry.ServicePrefix+service]
	if !ok || item.document == nil {
		return backend.Capacity{}, false
	}
	s := item.document.ServerCapacity()
	cold := backend.NewLoad(s.Cold().Requests(), s.Cold().Tokens())
	warm := backend.NewLoad(s.Warm().Requests(), s.Warm().Tokens())
	return backend.NewCapacity(cold, warm, s.WarmAfter()), true
}

// updateLeases updates the quorum lease and the lease of each server that this
// entry keeps.
func (n *Node) updateLeases(now time.Time) {
	n.leasesUpdatedAt = now
	n.membership.tryEstablish(now)
	n.membership.retireOlder(now)
	n.quorumLease = n.membership.hasQuorumLease(now)
	for id, k := range n.keeper.kept {
		n.keeper.allocator.SetClosed(id, n.stopping || n.requester.table.closedServers[id] || now.Sub(k.since) < declarationWait)
		n.keeper.allocator.SetKeeperLease(id, n.keeperLease(now, id, k))
	}
}

// leaseTransition is how long after a change of the list a keeper may go on
// giving work to the warm servers that it kept before the change.
const leaseTransition = 3 * minLease

// keeperLease returns the lease that this entry holds of a server. The full
// lease needs the keeper by the list, a quorum lease, the time after which all
// that an earlier keeper granted was started or expired, and a report of the
// server since then. Until that is met, a keeper that held the full lease
// before the list changed goes on with the servers that are warm.
func (n *Node) keeperLease(now time.Time, id string, k *keptServer) backend.KeeperLease {
	if !k.keeperByList {
		return backend.KeeperLeaseNone
	}
	usableFrom := n.leaseUsableFrom(k)
	reported := n.keeper.allocator.LastReportTime(id).After(usableFrom)
	switch {
	case n.quorumLease && now.After(usableFrom) && reported:
		k.fullLeaseAt = now
		return backend.KeeperLeaseFull
	case !k.fullLeaseAt.IsZero() && now.Sub(k.fullLeaseAt) < leaseTransition && now.Sub(n.membership.listActiveSince) < leaseTransition:
		return backend.KeeperLeaseWarm
	default:
		return backend.KeeperLeaseNone
	}
}

// leaseUsableFrom returns when all slots of a server that another keeper
// granted have been started or have expired. There was no other keeper if this
// entry has kept the server since the previous list and that list is the only
// older one.
func (n *Node) leaseUsableFrom(k *keptServer) time.Time {
	if n.membership.olderLists.onlyPrevious && !k.fullLeaseAt.IsZero() && k.since.Before(n.membership.listActiveSince) {
		return n.membership.olderLists.retiredAt
	}
	return later(k.since.Add(leaseDuration(n.membership.list)+backend.StartWindow+clockMargin), n.membership.quorumLeaseUsableFrom())
}
