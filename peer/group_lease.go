package peer

import (
	"slices"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// fleetRetryAfter is the retry delay for a group that all listed servers
// together can't hold.
const fleetRetryAfter = time.Minute

// chooseGroupLeaseKeeper returns the entry that grants the lease to gather
// server groups for a workload, empty if the servers can't hold the group or
// the entry was already tried.
func (n *Node) chooseGroupLeaseKeeper(now time.Time, p *pendingRequest) (keeper, why string) {
	if refusal := n.checkGroup(p.request); refusal != nil {
		p.reason, p.retryAfter = refusal.Reason(), refusal.RetryAfter()
		return "", ""
	}
	workload := p.request.Workload()
	keeper = keeperOf(n.membership.list, workload.Service()+"/"+workload.Model(), "", func(entry string) bool {
		return !n.reachable(now, entry)
	})
	if slices.Contains(p.tried, keeper) {
		if p.reason == backend.ReasonNoServer {
			p.reason = backend.ReasonBusy
		}
		return "", ""
	}
	return keeper, "lease"
}

// checkGroup returns why the service's servers can't hold the group together,
// nil if the servers that may get work now can.
func (n *Node) checkGroup(request backend.SlotRequest) *backend.Refusal {
	service := request.Workload().PartWorkload().Service()
	capacity, known := n.serviceCapacity(service)
	if !known {
		return backend.NewRefusal(backend.ReasonNoServer, defaultRetryAfter)
	}
	listed, open := n.countEngines(service)
	parts := len(capacity.SplitCost(request.Cost()))
	switch {
	case listed == 0:
		return backend.NewRefusal(backend.ReasonNoServer, defaultRetryAfter)
	case parts == 0 || parts > listed:
		return backend.NewRefusal(backend.ReasonTooLarge, fleetRetryAfter)
	case parts > open:
		return backend.NewRefusal(backend.ReasonBusy, defaultRetryAfter)
	}
	return nil
}

// countEngines returns how many of the region's engines are listed for a
// service, and how many of those may get new work.
func (n *Node) countEngines(service string) (listed, open int) {
	for _, list := range n.serverLists {
		for _, server := range list.All() {
			if server.Service() != service || server.Kind() != registry.KindEngine || server.Location().Region() != n.self.Location().Region() {
				continue
			}
			listed++
			if !n.requester.table.closedServers[server.ID()] {
				open++
			}
		}
	}
	return listed, open
}

// avoidsKeeper reports whether the request excludes every server of its service
// that an entry keeps.
func (n *Node) avoidsKeeper(request backend.SlotRequest, keeper string) bool {
	if len(request.Avoid()) == 0 {
		return false
	}
	for _, list := range n.serverLists {
		for _, server := range list.All() {
			keeps := n.requester.table.keepers[server.ID()] == keeper
			if keeps && server.Service() == request.Workload().Service() && !slices.Contains(request.Avoid(), server.ID()) {
				return false
			}
		}
	}
	return true
}

// updateFleets tells this entry's allocator how many engines a group may be
// made of.
func (n *Node) updateFleets() {
	for service := range n.requester.table.keepersByService {
		capacity, _ := n.serviceCapacity(service)
		_, open := n.countEngines(service)
		n.keeper.allocator.SetFleet(service, open, capacity)
	}
}
