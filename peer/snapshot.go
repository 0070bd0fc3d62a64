package peer

import (
	"slices"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

const (
	// addressTTL is how long a caller may use the addresses that it was given.
	addressTTL = 10 * time.Second
	// maxAlternates bounds the entries that are returned besides the first.
	maxAlternates = 3
)

// Snapshot is an immutable view of the control state, for traffic and
// operators.
type Snapshot struct {
	owner               backend.Owner
	self                registry.Instance
	time                time.Time
	list                registry.List
	documents           []*registry.Document
	entries             []Entry
	servers             []backend.ServerState
	serverAddresses     []string
	polledServers       []PolledServer
	items               []Item
	refused             []RefusedItem
	synced              bool
	draining            bool
	quorumLease         bool
	platformReadAt      time.Time
	watchesPlatform     bool
	domains             map[string]registry.State
	serversWithoutLease []string
	allLeasesHeldAt     time.Time
}

// Entry is the status of a listed entry as this one sees it.
type Entry struct {
	instance     registry.Instance
	openRequests int
	silent       bool
	draining     bool
	lastHeard    time.Time
	listVersion  int64
}

// Instance returns the entry as published.
func (e Entry) Instance() registry.Instance { return e.instance }

// OpenRequests returns the number of open requests that the entry last
// reported.
func (e Entry) OpenRequests() int { return e.openRequests }

// Silent reports whether the entry was not heard recently.
func (e Entry) Silent() bool { return e.silent }

// Draining reports whether the entry is shutting down.
func (e Entry) Draining() bool { return e.draining }

// LastHeard returns when the entry was last heard.
func (e Entry) LastHeard() time.Time { return e.lastHeard }

// ListVersion returns the version of the entry list that the entry last
// confirmed.
func (e Entry) ListVersion() int64 { return e.listVersion }

// PolledServer is a backend server whose load reports this entry polls.
type PolledServer struct {
	server  string
	address string
	service string
}

// Server returns the backend server's id.
func (p PolledServer) Server() string { return p.server }

// Address returns the backend server's IP and port.
func (p PolledServer) Address() string { return p.address }

// Service returns the name of the backend server's service.
func (p PolledServer) Service() string { return p.service }

// Item is an active published item.
type Item struct {
	key     string
	version int64
	since   time.Time
	source  string
}

// Key returns the key under which the item is published.
func (i Item) Key() string { return i.key }

// Version returns the active version.
func (i Item) Version() int64 { return i.version }

// Since returns when the version became active at this entry.
func (i Item) Since() time.Time { return i.since }

// Source returns where the version came from: the platform, or the name of a
// peer.
func (i Item) Source() string { return i.source }

// RefusedItem is a published item that was refused because it is not valid.
type RefusedItem struct {
	key     string
	version int64
	since   time.Time
	err     error
}

// Key returns the key under which the item is published.
func (r RefusedItem) Key() string { return r.key }

// Version returns the refused version.
func (r RefusedItem) Version() int64 { return r.version }

// Since returns when this entry refused the version.
func (r RefusedItem) Since() time.Time { return r.since }

// Err returns why the version was refused.
func (r RefusedItem) Err() error { return r.err }

// Self returns this entry's incarnation.
func (s *Snapshot) Self() backend.Owner { return s.owner }

// Instance returns this entry's instance as configured in its settings.
func (s *Snapshot) Instance() registry.Instance { return s.self }

// Time returns when the snapshot was taken.
func (s *Snapshot) Time() time.Time { return s.time }

// ListVersion returns the version of the active entry list.
func (s *Snapshot) ListVersion() int64 { return s.list.Version() }

// Documents returns the active service documents.
func (s *Snapshot) Documents() []*registry.Document { return s.documents }

// Entries returns the listed entries.
func (s *Snapshot) Entries() []Entry { return s.entries }

// Servers returns the backend servers that this entry keeps.
func (s *Snapshot) Servers() []backend.ServerState { return s.servers }

// PolledServers returns the backend servers whose load reports this entry
// polls.
func (s *Snapshot) PolledServers() []PolledServer { return s.polledServers }

// ServerAddresses returns the IPs and ports of all listed servers, in order.
func (s *Snapshot) ServerAddresses() []string { return s.serverAddresses }

// Items returns the active published items.
func (s *Snapshot) Items() []Item { return s.items }

// Refused returns the published items that were refused.
func (s *Snapshot) Refused() []RefusedItem { return s.refused }

// Synced reports whether this entry has learned the active items and may serve.
func (s *Snapshot) Synced() bool { return s.synced }

// Draining reports whether this entry is shutting down.
func (s *Snapshot) Draining() bool { return s.draining }

// HasQuorumLease reports whether this entry holds a quorum lease, without which
// it may not give work to cold servers.
func (s *Snapshot) HasQuorumLease() bool { return s.quorumLease }

// PlatformReadAt returns when the platform was last read, zero for never.
func (s *Snapshot) PlatformReadAt() time.Time { return s.platformReadAt }

// WatchesPlatform reports whether this entry is one of those that watch the
// platform for all.
func (s *Snapshot) WatchesPlatform() bool { return s.watchesPlatform }

// Domains returns the published state of each failure domain; the caller must not change the map.
func (s *Snapshot) Domains() map[string]registry.State { return s.domains }

// ServersWithoutLease returns the backend servers of which this entry is the
// keeper by the list, but of which it does not hold the full lease yet.
func (s *Snapshot) ServersWithoutLease() []string { return s.serversWithoutLease }

// AllLeasesHeldAt returns when ServersWithoutLease was last empty, zero for
// never.
func (s *Snapshot) AllLeasesHeldAt() time.Time { return s.allLeasesHeldAt }

// Entry returns the listed entry of that name.
func (s *Snapshot) Entry(id string) (registry.Instance, bool) { return s.list.Find(id) }

// Silent reports whether the listed entry of that name was not heard recently.
func (s *Snapshot) Silent(id string) bool {
	for _, e := range s.entries {
		if e.instance.ID() == id {
			return e.silent
		}
	}
	return false
}

// Addresses returns the entries that a caller in the failure domain should use,
// best first, and how long it may use them. Entries in the caller's domain come
// first, then those with fewer open requests; this entry comes first if it is
// about as good as the best.
func (s *Snapshot) Addresses(domain string) ([]registry.Instance, time.Duration) {
	usable := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		if !e.silent && !e.draining && e.instance.State() == registry.StateLive {
			usable = append(usable, e)
		}
	}
	slices.SortStableFunc(usable, func(a, b Entry) int {
		if near, far := a.instance.Location().Domain() == domain, b.instance.Location().Domain() == domain; near != far {
			if near {
				return -1
			}
			return 1
		}
		return a.openRequests - b.openRequests
	})
	s.preferSelf(usable, domain)
	var out []registry.Instance
	for _, e := range usable[:min(len(usable), maxAlternates+1)] {
		out = append(out, e.instance)
	}
	return out, addressTTL
}

// selfRequestSlack is how many more open requests than the best entry this one
// may have and still come first: a caller that stays needs no second
// connection, and this entry already owns its non-idempotent calls.
const selfRequestSlack = 16

// preferSelf moves this entry to the front if it is about as good as the first.
func (s *Snapshot) preferSelf(sorted []Entry, domain string) {
	for i, e := range sorted {
		if e.instance.ID() != s.self.ID() {
			continue
		}
		best := sorted[0]
		near := best.instance.Location().Domain() == domain
		if near != (e.instance.Location().Domain() == domain) || e.openRequests > best.openRequests+selfRequestSlack {
			return
		}
		copy(sorted[1:i+1], sorted[:i])
		sorted[0] = e
		return
	}
}
