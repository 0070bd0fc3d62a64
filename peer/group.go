package peer

import (
	"slices"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// fleetComeBack is when to come back for a request that the listed fleet can't hold.
const fleetComeBack = time.Minute

// chooseLease returns the entry that gives the lease to gather groups for a
// work, empty if the fleet could not hold the group or the entry was asked.
func (n *Node) chooseLease(now time.Time, a *asked) (keeper, why string) {
	if refusal := n.refuseGroup(a.want); refusal != nil {
		a.reason, a.back = refusal.Reason(), refusal.RetryAfter()
		return "", ""
	}
	work := a.want.Workload()
	keeper = keeperOf(n.members.list, work.Service()+"/"+work.Model(), "", func(entry string) bool {
		return !n.reachable(now, entry)
	})
	if slices.Contains(a.tried, keeper) {
		if a.reason == backend.ReasonNoServer {
			a.reason = backend.ReasonBusy
		}
		return "", ""
	}
	return keeper, "lease"
}

// refuseGroup returns why the service's servers can't hold the group
// together, nil if those that may get work now can.
func (n *Node) refuseGroup(want backend.SlotRequest) *backend.Refusal {
	service := want.Workload().PartWorkload().Service()
	bearing, known := n.bearing(service)
	if !known {
		return backend.NewRefusal(backend.ReasonNoServer, retryPause)
	}
	listed, open := n.engines(service)
	parts := len(bearing.SplitCost(want.Cost()))
	switch {
	case listed == 0:
		return backend.NewRefusal(backend.ReasonNoServer, retryPause)
	case parts == 0 || parts > listed:
		return backend.NewRefusal(backend.ReasonTooLarge, fleetComeBack)
	case parts > open:
		return backend.NewRefusal(backend.ReasonBusy, retryPause)
	}
	return nil
}

// engines returns how many of the region's engines are listed for a service,
// and how many of them may get new work.
func (n *Node) engines(service string) (listed, open int) {
	for _, list := range n.servers {
		for _, server := range list.All() {
			if server.Service() != service || server.Kind() != registry.KindEngine || server.Location().Region() != n.self.Location().Region() {
				continue
			}
			listed++
			if !n.asking.table.closed[server.ID()] {
				open++
			}
		}
	}
	return listed, open
}

// avoids reports whether a want avoids all servers of its service that an entry keeps.
func (n *Node) avoids(want backend.SlotRequest, keeper string) bool {
	if len(want.Avoid()) == 0 {
		return false
	}
	for _, list := range n.servers {
		for _, server := range list.All() {
			keeps := n.asking.table.keeper[server.ID()] == keeper
			if keeps && server.Service() == want.Workload().Service() && !slices.Contains(want.Avoid(), server.ID()) {
				return false
			}
		}
	}
	return true
}

// setFleets tells this entry's books how many engines groups may be made of.
func (n *Node) setFleets() {
	for service := range n.asking.table.services {
		bearing, _ := n.bearing(service)
		_, open := n.engines(service)
		n.keeping.ledger.SetFleet(service, open, bearing)
	}
}
