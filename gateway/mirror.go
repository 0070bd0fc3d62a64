package gateway

import (
	"time"

	"github.com/hashicorp/go-hclog"

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
	// lapsing holds the servers that are missing, and until when they are kept.
	lapsing map[string]time.Time
	// regained is when the store came back after an outage.
	regained time.Time
}

func newMirror(decode Decoder, log hclog.Logger) *mirror {
	return &mirror{
		decode: decode, log: log,
		items: make(map[string]Item), says: make(map[string]Published), lapsing: make(map[string]time.Time),
	}
}

// replace takes all items of a revision above the mirror's own, and reports whether it did.
func (m *mirror) replace(now time.Time, items []Item, revision int64) bool {
	if revision <= m.revision {
		return false
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
			m.apply(now, NewRemoval(key, revision))
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
		m.takeTable(published.Table, item.revision)
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
			m.lapsing[item.key] = until
		}
		return
	}
	m.log.Info("item removed", "key", item.key, "revision", item.revision)
	m.forget(item.key)
}

func (m *mirror) forget(key string) {
	delete(m.items, key)
	delete(m.says, key)
	delete(m.lapsing, key)
}

// expire drops the servers that did not come back, and reports whether there were any.
func (m *mirror) expire(now time.Time) bool {
	dropped := false
	for key, until := range m.lapsing {
		if !now.Before(until) {
			m.log.Info("server gone", "key", key)
			m.forget(key)
			dropped = true
		}
	}
	return dropped
}

// view returns what the items say.
func (m *mirror) view() *routing.View {
	servers := make(map[string]routing.Server)
	evacuated := make(map[string]bool)
	for _, says := range m.says {
		switch p := says.(type) {
		case PublishedServer:
			servers[p.Server.ID()] = p.Server
		case PublishedEvacuation:
			evacuated[p.Domain] = true
		}
	}
	return routing.NewView(m.revision, m.table, servers, evacuated)
}

// all returns the items for a peer that lags.
func (m *mirror) all() []Item {
	out := make([]Item, 0, len(m.items))
	for _, item := range m.items {
		out = append(out, item)
	}
	return out
}
