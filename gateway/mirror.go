package gateway

import (
	"compress/flate"
	"time"

	"github.com/hashicorp/go-hclog"

	"greengagedock.example/mesh"
	"greengagedock.example/routing"
)

// lapseGrace is how long a server is kept whose entry is missing when the
// store comes back: entries that lapsed meanwhile are written anew by then.
const lapseGrace = 2200 * time.Millisecond

// mirror holds the newest known content of the store; its revision never falls.
type mirror struct {
	decode   Decoder
	log      hclog.Logger
	items    map[string]Item
	says     map[string]Published
	revision int64
	table    *routing.Table
	// packed holds long values compressed for peers, by key.
	packed map[string]packedItem
	// lapsing holds the servers that are missing, and until when they are kept.
	lapsing map[string]lapse
	// removals are the last removals, in the order in which they were heard of;
	// removedFrom is the revision above which they are complete.
	removals    []Item
	removedFrom int64
	// regained is when the store came back after an outage.
	regained time.Time
}

// packedItem is the compressed value of an item at a revision.
type packedItem struct {
	revision int64
	value    []byte
}

// packFrom is the length from which values are compressed for peers: the
// configuration is, the entries of servers are not worth the time.
const packFrom = 8 << 10

// lapse is the removal of a server that is used until a time.
type lapse struct {
	removal Item
	until   time.Time
}

// maxRemovals bounds the removals that are remembered for peers.
const maxRemovals = 512

func newMirror(decode Decoder, log hclog.Logger) *mirror {
	return &mirror{
		decode: decode, log: log,
		items: make(map[string]Item), says: make(map[string]Published), lapsing: make(map[string]lapse),
		packed: make(map[string]packedItem),
	}
}

// replace takes all items of a revision above the mirror's own, and reports whether it did.
func (m *mirror) replace(now time.Time, items []Item, revision int64) bool {
	if revision <= m.revision {
		return false
	}
	if m.revision == 0 {
		m.removedFrom = revision
	}
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.key] = true
		m.apply(now, item)
	}
	for key, item := range m.items {
		// A page may be older than one that is read later: what is newer than
		// the list was not removed by it.
		if !listed[key] && item.revision <= revision {
			m.apply(now, NewRemovedItem(key, revision))
		}
	}
	m.revision = revision
	return true
}

// change takes the changes up to a revision.
func (m *mirror) change(now time.Time, items []Item, revision int64) {
	for _, item := range items {
		m.apply(now, item)
	}
	m.revision = max(m.revision, revision)
}

func (m *mirror) apply(now time.Time, item Item) {
	known, ok := m.items[item.key]
	if ok && known.revision >= item.revision {
		return
	}
	if item.removed {
		if ok {
			m.remove(now, item)
		}
		return
	}
	delete(m.lapsing, item.key)
	m.items[item.key] = item
	says, err := m.decode(item)
	if err != nil {
		m.log.Warn("item refused", "key", item.key, "revision", item.revision, "error", err)
		// A configuration that can't be read leaves the last one in force.
		delete(m.says, item.key)
		return
	}
	m.says[item.key] = says
	if published, ok := says.(PublishedTable); ok {
		m.takeTable(published.table, item.revision)
	}
}

// takeTable puts a newer version of the configuration in force.
func (m *mirror) takeTable(table *routing.Table, revision int64) {
	if m.table != nil && table.Version() <= m.table.Version() {
		m.log.Warn("configuration not newer", "version", table.Version(), "in_force", m.table.Version(), "revision", revision)
		return
	}
	m.table = table
	m.log.Info("configuration in force", "version", table.Version(), "revision", revision)
}

// remove takes the removal of a known item.
func (m *mirror) remove(now time.Time, item Item) {
	_, isServer := m.says[item.key].(PublishedServer)
	until := m.regained.Add(lapseGrace)
	if isServer && now.Before(until) {
		if _, ok := m.lapsing[item.key]; !ok {
			m.log.Info("server lapsed", "key", item.key, "revision", item.revision, "kept_for", until.Sub(now))
			m.lapsing[item.key] = lapse{removal: item, until: until}
		}
		return
	}
	m.log.Info("item removed", "key", item.key, "revision", item.revision)
	m.forget(item.key)
	m.remember(item)
}

// remember keeps a removal for peers that lag.
func (m *mirror) remember(removal Item) {
	m.removals = append(m.removals, removal)
	if len(m.removals) > maxRemovals {
		m.removedFrom = max(m.removedFrom, m.removals[0].revision)
		m.removals = m.removals[1:]
	}
}

func (m *mirror) forget(key string) {
	delete(m.items, key)
	delete(m.says, key)
	delete(m.lapsing, key)
}

// expire drops the servers that did not come back, and reports whether there were any.
func (m *mirror) expire(now time.Time) bool {
	dropped := false
	for key, lapsed := range m.lapsing {
		if !now.Before(lapsed.until) {
			m.log.Info("server gone", "key", key)
			m.forget(key)
			m.remember(lapsed.removal)
			dropped = true
		}
	}
	return dropped
}

// services returns the services of the configuration in force, none without one.
func (m *mirror) services() []string {
	if m.table == nil {
		return nil
	}
	return m.table.Services()
}

// view returns what the items say.
func (m *mirror) view() *routing.View {
	servers := make(map[string]routing.Server)
	evacuated := make(map[string]bool)
	for _, says := range m.says {
		switch p := says.(type) {
		case PublishedServer:
			servers[p.server.ID()] = p.server
		case PublishedEvacuation:
			evacuated[p.domain] = true
		}
	}
	return routing.NewView(m.revision, m.table, servers, evacuated)
}

// pack returns an item's value compressed, nil if it is short.
func (m *mirror) pack(item Item) []byte {
	if len(item.value) < packFrom {
		return nil
	}
	known := m.packed[item.key]
	if known.revision != item.revision {
		known = packedItem{revision: item.revision, value: mesh.Compress(string(item.value), flate.BestSpeed)}
		m.packed[item.key] = known
	}
	return known.value
}

// since returns what changed after a revision, and all items with whole true
// where that is no longer known. Removals that may be a lapse are among them:
// whoever is told decides for itself how long to use those servers.
func (m *mirror) since(revision int64) (items []Item, whole bool) {
	whole = revision < m.removedFrom
	for _, lapsed := range m.lapsing {
		items = append(items, lapsed.removal)
	}
	for _, item := range m.items {
		if whole || item.revision > revision {
			items = append(items, item)
		}
	}
	if whole {
		return items, true
	}
	for _, removal := range m.removals {
		if removal.revision > revision {
			items = append(items, removal)
		}
	}
	return items, false
}
