package peer

import (
	"slices"
	"strings"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// Snapshot returns the state at now.
func (n *Node) Snapshot(now time.Time) *Snapshot { return n.nextSnapshot(now, nil) }

// nextSnapshot returns the state at now; what is in force is shared with the
// snapshot before unless it has changed since then.
func (n *Node) nextSnapshot(now time.Time, before *Snapshot) *Snapshot {
	s := &Snapshot{
		owner:     n.owner,
		self:      n.self,
		time:      now,
		list:      n.members.list,
		servers:   n.keeping.ledger.Servers(now),
		synced:    n.sync.done,
		draining:  n.draining,
		authority: n.authority,
		contact:   n.contact,
		watches:   n.watches(now),
		domains:   n.domains,
	}
	if before == nil || n.changed {
		s.documents = n.relay.documents()
		s.items = n.relay.inForce()
	} else {
		s.documents = before.documents
		s.items = before.items
	}
	s.refused = n.relay.refusals()
	for _, instance := range n.members.list.All() {
		s.entries = append(s.entries, n.entry(now, instance))
	}
	for _, id := range sortedKeys(n.keeping.kept) {
		s.polls = append(s.polls, PolledServer{server: id, address: n.keeping.kept[id].address, service: n.serviceOf(id, before)})
	}
	s.untrusted = n.untrusted(s.servers)
	n.changed = false
	return s
}

// inForce returns the items in force in the order of their keys.
func (r *relay) inForce() []Item {
	out := make([]Item, 0, len(r.items))
	for _, key := range sortedKeys(r.items) {
		held := r.items[key]
		out = append(out, Item{key: key, version: held.item.Version(), since: held.since, source: held.source})
	}
	return out
}

// refusals returns the refused items in the order of their keys.
func (r *relay) refusals() []RefusedItem {
	var out []RefusedItem
	for _, key := range sortedKeys(r.refused) {
		f := r.refused[key]
		out = append(out, RefusedItem{key: key, version: f.item.Version(), since: f.since, err: f.err})
	}
	return out
}

// serviceOf returns the name of a published server's service, from the
// snapshot before if it has the server and nothing has changed since.
func (n *Node) serviceOf(server string, before *Snapshot) string {
	if before != nil && !n.changed {
		i, found := slices.BinarySearchFunc(before.polls, server, func(p PolledServer, id string) int { return strings.Compare(p.server, id) })
		if found {
			return before.polls[i].service
		}
	}
	for _, list := range n.servers {
		if instance, ok := list.Find(server); ok {
			return instance.Service()
		}
	}
	return ""
}

// untrusted returns the servers that this entry keeps by the list, that may
// get work, and to which it may not give their whole bearing.
func (n *Node) untrusted(servers []backend.ServerState) []string {
	var out []string
	for _, server := range servers {
		id := server.Server()
		if n.keeping.kept[id].listed && !n.asking.table.closed[id] && server.KeeperLease() != backend.KeeperLeaseFull {
			out = append(out, id)
		}
	}
	return out
}

// entry returns what this entry sees of a listed one.
func (n *Node) entry(now time.Time, instance registry.Instance) Entry {
	if instance.ID() == n.self.ID() {
		return Entry{instance: instance, requests: n.requests, draining: n.draining, heard: now, version: n.members.list.Version()}
	}
	e := Entry{instance: instance, silent: !n.reachable(now, instance.ID())}
	if peer := n.members.members[instance.ID()]; peer != nil {
		e.requests = peer.last.Streams
		e.draining = peer.last.Drains
		e.heard = peer.heard
		e.version = peer.version
	}
	return e
}
