package peer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// Snapshot returns a snapshot of the state at now.
func (n *Node) Snapshot(now time.Time) *Snapshot { return n.nextSnapshot(now, nil) }

// nextSnapshot returns a snapshot of the state at now. It shares the active
// items with the previous snapshot unless they have changed.
func (n *Node) nextSnapshot(now time.Time, previous *Snapshot) *Snapshot {
	s := &Snapshot{
		owner:           n.owner,
		self:            n.self,
		time:            now,
		list:            n.membership.list,
		servers:         n.keeper.allocator.Servers(now),
		synced:          n.sync.done,
		draining:        n.draining,
		quorumLease:     n.quorumLease,
		platformReadAt:  n.platformReadAt,
		watchesPlatform: n.watchesPlatform(now),
		domains:         n.domainStates,
	}
	if previous == nil || n.changed {
		s.documents = n.items.documents()
		s.items = n.items.activeItems()
		s.serverAddresses = slices.Sorted(maps.Values(n.requester.table.addresses))
	} else {
		s.serverAddresses = previous.serverAddresses
		s.documents = previous.documents
		s.items = previous.items
	}
	s.refused = n.items.refusedItems()
	for _, instance := range n.membership.list.All() {
		s.entries = append(s.entries, n.entryStatus(now, instance))
	}
	for _, id := range sortedKeys(n.keeper.kept) {
		s.polledServers = append(s.polledServers, PolledServer{server: id, address: n.keeper.kept[id].address, service: n.serviceOf(id, previous)})
	}
	s.serversWithoutLease = n.serversWithoutLease(s.servers)
	n.changed = false
	return s
}

// activeItems returns the active items, sorted by key.
func (s *itemStore) activeItems() []Item {
	out := make([]Item, 0, len(s.active))
	for _, key := range sortedKeys(s.active) {
		item := s.active[key]
		out = append(out, Item{key: key, version: item.item.Version(), since: item.since, source: item.source})
	}
	return out
}

// refusedItems returns the refused items, sorted by key.
func (s *itemStore) refusedItems() []RefusedItem {
	var out []RefusedItem
	for _, key := range sortedKeys(s.refused) {
		f := s.refused[key]
		out = append(out, RefusedItem{key: key, version: f.item.Version(), since: f.since, err: f.err})
	}
	return out
}

// serviceOf returns the service of a published server, from the previous
// snapshot if that has the server and nothing has changed since.
func (n *Node) serviceOf(server string, previous *Snapshot) string {
	if previous != nil && !n.changed {
		i, found := slices.BinarySearchFunc(previous.polledServers, server, func(p PolledServer, id string) int { return strings.Compare(p.server, id) })
		if found {
			return previous.polledServers[i].service
		}
	}
	for _, list := range n.serverLists {
		if instance, ok := list.Find(server); ok {
			return instance.Service()
		}
	}
	return ""
}

// serversWithoutLease returns the servers of which this entry is the keeper by
// the list and which may get work, but of which it does not hold the full
// lease.
func (n *Node) serversWithoutLease(servers []backend.ServerState) []string {
	var out []string
	for _, server := range servers {
		id := server.Server()
		if n.keeper.kept[id].keeperByList && !n.requester.table.closedServers[id] && server.KeeperLease() != backend.KeeperLeaseFull {
			out = append(out, id)
		}
	}
	return out
}

// entryStatus returns the status of a listed entry as this one sees it.
func (n *Node) entryStatus(now time.Time, instance registry.Instance) Entry {
	if instance.ID() == n.self.ID() {
		return Entry{instance: instance, openRequests: n.openRequests, draining: n.draining, lastHeard: now, listVersion: n.membership.list.Version()}
	}
	e := Entry{instance: instance, silent: !n.reachable(now, instance.ID())}
	if peer := n.membership.members[instance.ID()]; peer != nil {
		e.openRequests = peer.lastHeartbeat.OpenRequests
		e.draining = peer.lastHeartbeat.Draining
		e.lastHeard = peer.lastHeard
		e.listVersion = peer.listVersion
	}
	return e
}
