package peer

import (
	"slices"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

const (
	// addressLife is how long a caller may keep the answer to which entry to use.
	addressLife = 10 * time.Second
	// maxAlternates bounds the other entries that the answer names.
	maxAlternates = 3
)

// Snapshot is the control state of one moment, for traffic and operators; it never changes.
type Snapshot struct {
	owner     backend.Owner
	self      registry.Instance
	time      time.Time
	list      registry.List
	documents []*registry.Document
	entries   []Entry
	servers   []backend.ServerState
	polls     []PolledServer
	items     []Item
	refused   []RefusedItem
	synced    bool
	draining  bool
	authority bool
	contact   time.Time
	watches   bool
	domains   map[string]registry.State
	untrusted []string
	trusted   time.Time
}

// Entry is a listed entry instance as this one sees it.
type Entry struct {
	instance registry.Instance
	requests int
	silent   bool
	draining bool
	heard    time.Time
	version  int64
}

// Instance returns the entry as published.
func (e Entry) Instance() registry.Instance { return e.instance }

// OpenRequests returns the number of requests that the entry last said to have open.
func (e Entry) OpenRequests() int { return e.requests }

// Silent reports whether the entry was not heard lately.
func (e Entry) Silent() bool { return e.silent }

// Draining reports whether the entry is shutting down.
func (e Entry) Draining() bool { return e.draining }

// LastHeard returns when the entry was last heard.
func (e Entry) LastHeard() time.Time { return e.heard }

// ListVersion returns the version of the entry list that the entry last vouched for.
func (e Entry) ListVersion() int64 { return e.version }

// PolledServer is a backend server whose load report this entry reads.
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

// Item is a published item in force.
type Item struct {
	key     string
	version int64
	since   time.Time
	source  string
}

// Key returns the key under which the item is published.
func (i Item) Key() string { return i.key }

// Version returns the version in force.
func (i Item) Version() int64 { return i.version }

// Since returns when the version came into force here.
func (i Item) Since() time.Time { return i.since }

// Source returns who brought the version: the platform, or the name of a peer.
func (i Item) Source() string { return i.source }

// RefusedItem is a published item that is not in force because it is not valid.
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

// Since returns when the version was refused here.
func (r RefusedItem) Since() time.Time { return r.since }

// Err returns why the version was refused.
func (r RefusedItem) Err() error { return r.err }

// Self returns this entry's incarnation.
func (s *Snapshot) Self() backend.Owner { return s.owner }

// Instance returns this entry as its settings describe it.
func (s *Snapshot) Instance() registry.Instance { return s.self }

// Time returns when the snapshot was taken.
func (s *Snapshot) Time() time.Time { return s.time }

// ListVersion returns the version of the entry list in force.
func (s *Snapshot) ListVersion() int64 { return s.list.Version() }

// Documents returns the service documents in force.
func (s *Snapshot) Documents() []*registry.Document { return s.documents }

// Entries returns the listed entries.
func (s *Snapshot) Entries() []Entry { return s.entries }

// Servers returns the backend servers that this entry keeps.
func (s *Snapshot) Servers() []backend.ServerState { return s.servers }

// PolledServers returns the backend servers whose reports this entry reads.
func (s *Snapshot) PolledServers() []PolledServer { return s.polls }

// Items returns the published items in force.
func (s *Snapshot) Items() []Item { return s.items }

// Refused returns the published items that are not valid.
func (s *Snapshot) Refused() []RefusedItem { return s.refused }

// Synced reports whether this entry knows what is in force and may serve.
func (s *Snapshot) Synced() bool { return s.synced }

// Draining reports whether this entry is shutting down.
func (s *Snapshot) Draining() bool { return s.draining }

// HasQuorumLease reports whether this entry may give work to cold servers that it keeps.
func (s *Snapshot) HasQuorumLease() bool { return s.authority }

// PlatformReadAt returns when the platform was last read, zero for never.
func (s *Snapshot) PlatformReadAt() time.Time { return s.contact }

// WatchesPlatform reports whether this entry is one of those that watch the platform for the others.
func (s *Snapshot) WatchesPlatform() bool { return s.watches }

// Domains returns the published state of each failure domain; the caller must not change the map.
func (s *Snapshot) Domains() map[string]registry.State { return s.domains }

// ServersWithoutLease returns the backend servers that this entry keeps by the list,
// but can't be sure yet to be the only keeper of.
func (s *Snapshot) ServersWithoutLease() []string { return s.untrusted }

// AllLeasesHeldAt returns when this entry was last sure of all servers that it keeps
// by the list, zero for never.
func (s *Snapshot) AllLeasesHeldAt() time.Time { return s.trusted }

// Entry returns the listed entry of that name.
func (s *Snapshot) Entry(id string) (registry.Instance, bool) { return s.list.Find(id) }

// Silent reports whether the listed entry of that name was not heard lately.
func (s *Snapshot) Silent(id string) bool {
	for _, e := range s.entries {
		if e.instance.ID() == id {
			return e.silent
		}
	}
	return false
}

// Addresses returns the entries that a caller in the failure domain should
// use, best first, and how long it may keep the answer: entries in the
// caller's own domain before others, those with fewer open requests first,
// and this one before others that are about as good.
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
		return a.requests - b.requests
	})
	s.preferSelf(usable, domain)
	var out []registry.Instance
	for _, e := range usable[:min(len(usable), maxAlternates+1)] {
		out = append(out, e.instance)
	}
	return out, addressLife
}

// selfSlack is how many more open requests than the best entry this one may
// have and still name itself: a caller that stays needs no second connection,
// and its calls that run at most once are at home here.
const selfSlack = 16

// preferSelf moves this entry to the front if it is about as good as the first.
func (s *Snapshot) preferSelf(sorted []Entry, domain string) {
	for i, e := range sorted {
		if e.instance.ID() != s.self.ID() {
			continue
		}
		best := sorted[0]
		near := best.instance.Location().Domain() == domain
		if near != (e.instance.Location().Domain() == domain) || e.requests > best.requests+selfSlack {
			return
		}
		copy(sorted[1:i+1], sorted[:i])
		sorted[0] = e
		return
	}
}
