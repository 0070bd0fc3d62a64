package peer

import (
	"strings"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// adoptWait is how long a new keeper gives a server nothing, so that the
// entries can declare what they hold on it.
const adoptWait = 2 * minHeartbeat

// keeperTable says which entry keeps each published server.
type keeperTable struct {
	keeper   map[string]string
	services map[string][]string // service to its keepers, each once
	closed   map[string]bool
	address  map[string]string
}

// placement is what the keepers of servers were last worked out from.
type placement struct {
	digest uint64
	silent string
}

// place works out who keeps which server when what that depends on has
// changed, and takes up and drops this entry's own.
func (n *Node) place(now time.Time) {
	agreed := n.members.agreedSilent(now)
	inputs := placement{digest: n.relay.digest, silent: strings.Join(sortedKeys(agreed), " ")}
	if inputs != n.placed {
		n.placed = inputs
		n.placeAll(now, agreed)
	}
	n.trust(now)
}

// placeAll works out who keeps which server.
func (n *Node) placeAll(now time.Time, agreed map[string]bool) {
	table := keeperTable{
		keeper:   make(map[string]string),
		services: make(map[string][]string),
		closed:   make(map[string]bool),
		address:  make(map[string]string),
	}
	keep := make(map[string]bool)
	for _, list := range n.servers {
		for _, server := range list.All() {
			if server.Location().Region() == n.self.Location().Region() {
				n.placeServer(now, &table, keep, agreed, server)
			}
		}
	}
	n.asking.table = table
	n.setFleets()
	n.decided(now, n.keeping.drop(now, keep))
}

// placeServer places one server. Its keeper by the list may be silent: then
// the next entry in rank stands in for it, without the list's authority.
func (n *Node) placeServer(now time.Time, table *keeperTable, keep map[string]bool, agreed map[string]bool, server registry.Instance) {
	bearing, known := n.bearing(server.Service())
	if !known {
		return
	}
	id := server.ID()
	domain := server.Location().Domain()
	listed := keeperOf(n.members.list, id, domain, func(string) bool { return false })
	keeper := keeperOf(n.members.list, id, domain, func(entry string) bool { return agreed[entry] && entry != n.self.ID() })
	table.add(server.Service(), id, keeper)
	table.address[id] = server.Address()
	table.closed[id] = server.State() == registry.StateLeaving || n.domains[domain] == registry.StateOut
	if keeper != n.self.ID() {
		return
	}
	keep[id] = true
	n.keeping.take(now, backend.NewServer(server, bearing), listed == keeper)
}

// add notes a server's keeper.
func (t *keeperTable) add(service, server, keeper string) {
	if keeper == "" {
		return
	}
	t.keeper[server] = keeper
	for _, known := range t.services[service] {
		if known == keeper {
			return
		}
	}
	t.services[service] = append(t.services[service], keeper)
}

// bearing returns the load that a service's servers bear, by its document in force.
func (n *Node) bearing(service string) (backend.Capacity, bool) {
	held, ok := n.relay.items[registry.ServicePrefix+service]
	if !ok || held.document == nil {
		return backend.Capacity{}, false
	}
	s := held.document.ServerCapacity()
	cold := backend.NewLoad(s.Cold().Requests(), s.Cold().Tokens())
	warm := backend.NewLoad(s.Warm().Requests(), s.Warm().Tokens())
	return backend.NewCapacity(cold, warm, s.WarmAfter()), true
}

// trust sets how far this entry may go with each server that it keeps.
func (n *Node) trust(now time.Time) {
	n.trustedAt = now
	n.members.tryEstablish(now)
	n.members.closeOlder(now)
	n.authority = n.members.authority(now)
	for id, k := range n.keeping.kept {
		n.keeping.ledger.SetClosed(id, n.ending || n.asking.table.closed[id] || now.Sub(k.since) < adoptWait)
		n.keeping.ledger.SetKeeperLease(id, n.trustIn(now, id, k))
	}
}

// transition is how long after a change of the list a keeper goes on to give
// warm servers that it has kept all along what they bear.
const transition = 3 * minVouch

// trustIn returns full trust only to the listed keeper that has authority,
// after all that an earlier keeper granted was started, and with a report of
// the server that was taken since. Until then a keeper that had full trust
// under the list before goes on with the warm servers that it kept already.
func (n *Node) trustIn(now time.Time, id string, k *kept) backend.KeeperLease {
	if !k.listed {
		return backend.KeeperLeaseNone
	}
	sure := n.sureFrom(k)
	reported := n.keeping.ledger.LastReportTime(id).After(sure)
	switch {
	case n.authority && now.After(sure) && reported:
		k.sure = now
		return backend.KeeperLeaseFull
	case !k.sure.IsZero() && now.Sub(k.sure) < transition && now.Sub(n.members.listSince) < transition:
		return backend.KeeperLeaseWarm
	default:
		return backend.KeeperLeaseNone
	}
}

// sureFrom returns from when all that another keeper of a server granted has
// been started: there was none if this entry has kept the server since the list
// before, and that list is the only older one.
func (n *Node) sureFrom(k *kept) time.Time {
	if n.members.older.stepwise && !k.sure.IsZero() && k.since.Before(n.members.listSince) {
		return n.members.older.closedAt
	}
	return later(k.since.Add(vouchValidity(n.members.list)+backend.StartWindow+clockMargin), n.members.authorityFrom())
}
