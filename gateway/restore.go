package gateway

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"greengagedock.example/routing"
)

// A store that is restored from a copy has lost the last changes before. Until their
// writers have made them again, the cache keeps those that would be unsafe to undo, or
// that cost servers which still run. See docs/design/store_era.md.

const (
	// restoreGrace is how long an evacuation, and the removal of a server, are kept if
	// nobody writes the key again: by then the store has expired the server's key
	// again, and an operator has repeated the evacuation.
	restoreGrace = 15 * time.Second
	// maxDepartures is the maximum number of servers that left of which the cache
	// keeps a record.
	maxDepartures = 1024
)

// errKept is wrapped by the error for a key that entries do not keep.
var errKept = eris.New("gateway: key is not kept")

// keptReason is why an item of the past is kept beside the content of the store.
type keptReason string

const (
	// keptServer: the server is used though the store lacks it.
	keptServer keptReason = "server"
	// keptDeparture: the server is not used though the store has it.
	keptDeparture keptReason = "departure"
	// keptEvacuation: the failure domain is evacuated though the store lacks the key.
	keptEvacuation keptReason = "evacuation"
	// keptTable: the configuration is in force though the store has an older one.
	keptTable keptReason = "configuration"
)

// keptItem is an item of the past that holds beside the content of the store. That of
// a departure has the revision of the departure.
type keptItem struct {
	item      Item
	published Published
	reason    keptReason
	// until is when it ends by itself; zero if only a change of the store ends it.
	until time.Time
}

// server returns the backend server of a kept server or departure.
func (k keptItem) server() routing.Server {
	published, _ := k.published.(PublishedServer)
	return published.server
}

// relayed reports whether other entries are told: of all that an entry that does not
// know it would do wrong. A server that it does not know is only left unused.
func (k keptItem) relayed() bool { return k.reason != keptServer }

// restore replaces the content with all items of a later era.
func (c *storeCache) restore(now time.Time, items []Item, revision routing.Revision) {
	c.restores++
	c.log.Warn("store restored from a copy", "era", revision.Era(), "earlier_era", c.revision.Era(),
		"revision", revision, "earlier_revision", c.revision, "items", len(items), "earlier_items", len(c.items))
	past := c.past()
	earlier, decoded := c.items, c.decoded
	c.items, c.decoded = make(map[string]Item, len(items)), make(map[string]Published, len(items))
	c.content.setTable(c.table, nil)
	c.kept = make(map[string]keptItem)
	c.compressedMu.Lock()
	clear(c.compressed)
	c.compressedMu.Unlock()
	c.removals, c.removalsSince = nil, revision
	c.revision, c.baseline = revision, revision
	c.listedFrom, c.listedAt = routing.Revision{}, routing.Revision{}
	for _, item := range items {
		item = item.decodedBy(c.decode)
		if known, ok := earlier[item.key]; ok && decoded[item.key] != nil && bytes.Equal(known.value, item.value) && c.insert(item) {
			// The same write: what counts from its publication is not counted anew.
			c.decoded[item.key] = decoded[item.key]
			continue
		}
		c.apply(now, item)
	}
	for key, kept := range past {
		if _, present := c.items[key]; !present && kept.reason == keptDeparture {
			c.recordDeparture(kept) // the next copy may have it
		}
		c.keep(now, kept)
	}
}

// past returns what holds now, in the form in which it is kept over a restore.
func (c *storeCache) past() map[string]keptItem {
	past := make(map[string]keptItem)
	for key, departure := range c.departures {
		if _, present := c.items[key]; !present {
			// It may have come back and left again unseen.
			departure.item.revision = c.revision
		}
		past[key] = departure
	}
	for key, decoded := range c.decoded {
		item := c.items[key]
		switch published := decoded.(type) {
		case PublishedServer:
			reason := keptServer
			if published.server.Draining() {
				reason = keptDeparture
			}
			past[key] = keptItem{item: item, published: decoded, reason: reason}
		case PublishedEvacuation:
			past[key] = keptItem{item: item, published: decoded, reason: keptEvacuation}
		}
	}
	for key, kept := range c.kept {
		if kept.reason != keptServer {
			kept.until = time.Time{}
		}
		past[key] = kept
	}
	if c.table != nil {
		past[c.tableItem.key] = keptItem{item: c.tableItem, published: PublishedTable{table: c.table}, reason: keptTable}
	}
	return past
}

// keep keeps an item of the past if the content of the store contradicts it.
func (c *storeCache) keep(now time.Time, kept keptItem) bool {
	key := kept.item.key
	if !c.contradicts(kept) {
		return false
	}
	if kept.until.IsZero() {
		kept.until = c.keptUntil(now, kept)
	}
	if !kept.until.IsZero() && !now.Before(kept.until) {
		if kept.reason == keptServer {
			c.endServer(kept)
		}
		return false
	}
	if kept.reason == keptDeparture {
		c.recordDeparture(kept)
	}
	c.kept[key] = kept
	c.log.Info("kept after store restore", "key", key, "as", string(kept.reason), "revision", kept.item.revision, "until", kept.describeEnd(now))
	return true
}

// describeEnd returns when the item ends, for the log.
func (k keptItem) describeEnd(now time.Time) string {
	if k.until.IsZero() {
		return "written again"
	}
	return k.until.Sub(now).String()
}

// contradicts reports whether the content of the store undoes an item of the past by
// what may come from the copy.
func (c *storeCache) contradicts(kept keptItem) bool {
	item, present := c.items[kept.item.key]
	if kept.reason == keptTable {
		published, ok := c.decoded[kept.item.key].(PublishedTable)
		return kept.published.(PublishedTable).table == c.table && (!ok || published.table.Version() < c.table.Version())
	}
	if present && (item.revision.After(c.baseline) || item.revision.Overwrites(kept.item.revision)) {
		return false
	}
	published, isServer := c.decoded[kept.item.key].(PublishedServer)
	start, keptStart := published.server.StartUnixMilli(), kept.server().StartUnixMilli()
	switch kept.reason {
	case keptServer:
		return !present || isServer && start < keptStart
	case keptDeparture:
		return isServer && !published.server.Draining() && start <= keptStart
	default:
		return !present
	}
}

// keptUntil returns when a kept item ends by itself, zero if it does not. A server that
// was draining, or of which a later incarnation is known, does not come back.
func (c *storeCache) keptUntil(now time.Time, kept keptItem) time.Time {
	switch kept.reason {
	case keptServer:
		return c.recoveredAt.Add(removalGrace)
	case keptDeparture:
		published, _ := c.decoded[kept.item.key].(PublishedServer)
		if kept.server().Draining() || published.server.StartUnixMilli() < kept.server().StartUnixMilli() {
			return time.Time{}
		}
		return now.Add(restoreGrace)
	case keptEvacuation:
		return now.Add(restoreGrace)
	default:
		return time.Time{}
	}
}

// review ends what is kept for a key once the content no longer contradicts it.
func (c *storeCache) review(key string) {
	if kept, ok := c.kept[key]; ok && !c.contradicts(kept) {
		c.log.Info("no longer kept: the store has a later change", "key", key, "as", string(kept.reason), "revision", c.items[key].revision)
		delete(c.kept, key)
	}
}

// expireKept ends what is kept and whose time is over, and reports whether there was any.
func (c *storeCache) expireKept(now time.Time) bool {
	expired := false
	for key, kept := range c.kept {
		if kept.until.IsZero() || now.Before(kept.until) {
			continue
		}
		expired = true
		c.log.Info("no longer kept: time is over", "key", key, "as", string(kept.reason), "revision", kept.item.revision)
		delete(c.kept, key)
		switch kept.reason {
		case keptServer:
			c.endServer(kept)
			if departure, ok := c.departures[key]; ok {
				c.keep(now, departure) // the store may have an earlier incarnation
			}
		case keptDeparture:
			delete(c.departures, key)
		}
	}
	return expired
}

// endServer records that a kept server was not published again.
func (c *storeCache) endServer(kept keptItem) {
	kept.item.removed = true
	kept.reason, kept.until = keptDeparture, time.Time{}
	c.recordDeparture(kept)
}

// recordDeparture records that a server has left, for the case that the store is
// restored from a copy that still has it.
func (c *storeCache) recordDeparture(departure keptItem) {
	key := departure.item.key
	if _, ok := c.departures[key]; !ok {
		c.departureKeys = append(c.departureKeys, key)
	}
	departure.until = time.Time{}
	c.departures[key] = departure
	for len(c.departureKeys) > maxDepartures {
		delete(c.departures, c.departureKeys[0])
		c.departureKeys = c.departureKeys[1:]
	}
}

// lowerBaseline takes over the revision at which another entry first listed the content
// of this era. It reports whether the cache changed.
func (c *storeCache) lowerBaseline(baseline routing.Revision) bool {
	if baseline.Era() != c.baseline.Era() || !c.baseline.After(baseline) {
		return false
	}
	c.baseline = baseline
	known := len(c.kept)
	for key := range c.kept {
		c.review(key)
	}
	return len(c.kept) != known
}

// decodeKept returns what another entry keeps.
func (c *storeCache) decodeKept(item Item) (keptItem, error) {
	written := item
	written.removed = false
	written = written.decodedBy(c.decode)
	if err := written.decoded.err; err != nil {
		return keptItem{}, err
	}
	item.value = written.value
	published := written.published()
	switch published.(type) {
	case PublishedTable:
		return keptItem{item: item, published: published, reason: keptTable}, nil
	case PublishedServer:
		return keptItem{item: item, published: published, reason: keptDeparture}, nil
	case PublishedEvacuation:
		return keptItem{item: item, published: published, reason: keptEvacuation}, nil
	default:
		return keptItem{}, eris.Wrap(errKept, item.key)
	}
}

// merge keeps an item of the past that another entry keeps. It reports whether the
// cache changed.
func (c *storeCache) merge(now time.Time, kept keptItem) bool {
	key := kept.item.key
	known, ok := c.kept[key]
	switch {
	case kept.reason == keptTable:
		table := kept.published.(PublishedTable).table
		if c.table != nil && table.Version() <= c.table.Version() {
			return false
		}
		c.applyTable(table, kept.item)
		delete(c.kept, key)
		c.keep(now, kept)
		return true
	case ok && !kept.item.revision.After(known.item.revision):
		return false
	case ok && known.reason == keptServer && kept.server().StartUnixMilli() >= known.server().StartUnixMilli():
		delete(c.kept, key)
		c.recordDeparture(kept)
		c.keep(now, kept)
		return true
	case ok && known.reason == keptServer:
		return false
	default:
		return c.keep(now, kept)
	}
}

// keptDigest returns a hash of what is kept and relayed, 0 if nothing.
func (c *storeCache) keptDigest() uint64 {
	var out uint64
	for key, kept := range c.kept {
		if !kept.relayed() {
			continue
		}
		state := kept.item.revision.String()
		if published, ok := kept.published.(PublishedTable); ok {
			state = strconv.FormatInt(published.table.Version(), 10)
		}
		out ^= xxhash.Sum64String(key + "\x00" + string(kept.reason) + "\x00" + state)
	}
	return out
}

// keptCounts returns how many items are kept, by reason.
func (c *storeCache) keptCounts() map[string]int {
	out := make(map[string]int)
	for _, kept := range c.kept {
		out[string(kept.reason)]++
	}
	return out
}
