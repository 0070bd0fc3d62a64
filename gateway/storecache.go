package gateway

import (
	"compress/flate"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"greengagedock.example/mesh"
	"greengagedock.example/routing"
)

// removalGrace is how long a server is kept that the store has removed when it
// recovers from an outage: servers whose keys expired during the outage have
// published themselves again by then.
const removalGrace = 2200 * time.Millisecond

// storeCache holds the newest known content of the store. Its revision never
// decreases.
type storeCache struct {
	decode  Decoder
	log     hclog.Logger
	items   map[string]Item
	decoded map[string]Published
	// content bounds the memory of items. incomplete is set if some were left out since the last
	// list of the store, and wantsList if they may be of use now.
	content    contentLimit
	incomplete bool
	wantsList  bool
	// leftOut counts the items that were left out.
	leftOut  int64
	revision routing.Revision
	table    *routing.Table
	// tableItem is the item of the active configuration.
	tableItem Item
	// compressed holds the compressed values of long items, by key; compressedMu guards it.
	// compressing is held while a value is compressed, so that each is only once.
	compressing  sync.Mutex
	compressedMu sync.Mutex
	compressed   map[string]compressedItem
	// kept holds what is kept of the past beside the content, by key.
	kept map[string]keptItem
	// departures holds the servers that have left, by key, departureKeys these keys in
	// the order of their first departure.
	departures    map[string]keptItem
	departureKeys []string
	// baseline is the lowest known revision at which the content of this era was
	// listed. Items after it were written in this era, not taken over from the copy.
	baseline routing.Revision
	// removals holds the last removals in the order of their receipt. They are
	// complete after revision removalsSince.
	removals      []Item
	removalsSince routing.Revision
	// A list does not show what was written and removed again since the revision
	// before it: removals between listedFrom and listedAt are not complete either.
	listedFrom, listedAt routing.Revision
	// recoveredAt is when the store last recovered from an outage, zero if it never did.
	recoveredAt time.Time
	// restores counts the changes of the store's era since the start.
	restores int64
}

// compressedItem is the compressed value of an item at a revision.
type compressedItem struct {
	revision routing.Revision
	value    []byte
}

// minCompressBytes is the length from which values are compressed for peers. The
// configuration is long enough; for the items of servers it is not worth the time.
const minCompressBytes = 8 << 10

// maxRemovals is the maximum number of removals that are kept for peers.
const maxRemovals = 512

func newStoreCache(decode Decoder, log hclog.Logger) *storeCache {
	return &storeCache{
		decode: decode, log: log,
		items: make(map[string]Item), decoded: make(map[string]Published), kept: make(map[string]keptItem), departures: make(map[string]keptItem),
		compressed: make(map[string]compressedItem),
	}
}

// replace replaces the content with all items of a revision. It reports false, and
// does nothing, if the revision is not after that of the cache.
func (c *storeCache) replace(now time.Time, items []Item, revision routing.Revision) bool {
	switch {
	case !revision.After(c.revision) && (revision != c.revision || !c.incomplete):
		return false
	case c.revision.IsZero():
		c.removalsSince, c.baseline = revision, revision
	case revision.Era() != c.revision.Era():
		c.restore(now, items, revision)
		return true
	}
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.key] = true
		c.apply(now, item)
	}
	for key, item := range c.items {
		// The pages of a list are no snapshot: an item newer than the revision of
		// the list may be missing from it without having been removed.
		if !listed[key] && !item.revision.After(revision) {
			c.apply(now, NewRemovedItem(key, revision))
		}
	}
	if c.listedAt.After(c.removalsSince) {
		c.removalsSince = c.listedAt // only the last such gap is kept
	}
	c.listedFrom, c.listedAt = c.revision, revision
	c.revision = revision
	return true
}

// applyChanges applies the changes up to a revision of the current era.
func (c *storeCache) applyChanges(now time.Time, items []Item, revision routing.Revision) {
	known := c.revision
	for _, item := range items {
		if _, ok := c.items[item.key]; !ok && !item.revision.After(known) {
			continue // a late response: the item was removed since
		}
		c.apply(now, item)
	}
	if revision.After(c.revision) {
		c.revision = revision
	}
}

func (c *storeCache) apply(now time.Time, item Item) {
	known, ok := c.items[item.key]
	if ok && !item.revision.After(known.revision) {
		return
	}
	if item.removed {
		if ok {
			c.remove(now, item)
		} else if c.kept[item.key].reason == keptEvacuation && item.revision.After(c.baseline) {
			delete(c.kept, item.key)
		}
		return
	}
	item = item.decodedBy(c.decode)
	if item.ignored() {
		return
	}
	err := item.decoded.err
	if err != nil {
		item.decoded = &decodedItem{} // the error takes more memory than the item
	}
	if !c.insert(item) {
		c.leaveOut(item)
		if ok {
			c.remove(now, NewRemovedItem(item.key, item.revision))
		}
		return
	}
	defer c.review(item.key)
	if err != nil {
		c.log.Warn("malformed item is not used", "key", item.key, "revision", item.revision, "bytes", len(item.value), "error", err)
		// The last valid configuration stays active.
		delete(c.decoded, item.key)
		return
	}
	c.decoded[item.key] = item.published()
	if published, ok := item.published().(PublishedTable); ok {
		c.applyTable(published.table, item)
	}
}

// insert adds an item, in place of an earlier one of its key, and reports false and does not if
// there is no room for it.
func (c *storeCache) insert(item Item) bool {
	known, replaces := c.items[item.key]
	if replaces {
		c.content.remove(known)
	}
	if !c.content.add(item) {
		if replaces {
			c.content.addAlways(known)
		}
		return false
	}
	c.items[item.key] = item
	return true
}

// leaveOut records that there is no room for an item.
func (c *storeCache) leaveOut(item Item) {
	if !c.incomplete {
		c.log.Warn("items of the store are left out: they take too much memory", "key", item.key, "revision", item.revision,
			"items", len(c.items), "used_bytes", c.content.usedBytes, "unused_bytes", c.content.unusedBytes)
	}
	c.incomplete = true
	c.leftOut++
}

// noteLeftOut records what was left out of a read before it was applied, and how many items
// while it was. A list replaces what is known of that.
func (c *storeCache) noteLeftOut(read *itemCollector, applied int64) {
	if read.list {
		c.incomplete, c.wantsList = applied > 0, false
	}
	c.incomplete = c.incomplete || read.leftOut > 0
	c.wantsList = c.wantsList || read.again
	c.leftOut += int64(read.leftOut)
}

// applyTable activates a configuration if its version is newer.
func (c *storeCache) applyTable(table *routing.Table, item Item) {
	if c.table != nil && table.Version() <= c.table.Version() {
		c.log.Warn("configuration ignored: version is not newer", "version", table.Version(), "in_force", c.table.Version(), "revision", item.revision)
		return
	}
	if c.incomplete && !servesOnly(table, c.table) {
		c.wantsList = true
	}
	c.table, c.tableItem = table, item
	c.content.setTable(table, c.items)
	c.log.Info("configuration activated", "version", table.Version(), "revision", item.revision, "header_timeout", table.Limits().HeaderTimeout(), "idle_timeout", table.Limits().IdleTimeout())
}

// servesOnly reports whether a configuration has no services beside those of another one.
func servesOnly(table, other *routing.Table) bool {
	return other != nil && !slices.ContainsFunc(table.Services(), func(name string) bool {
		_, ok := other.Service(name)
		return !ok
	})
}

// remove removes a known item. A server that is removed within removalGrace after
// the store recovered is kept until then.
func (c *storeCache) remove(now time.Time, removal Item) {
	known, published := c.items[removal.key], c.decoded[removal.key]
	c.drop(removal.key)
	c.recordRemoval(removal)
	server, isServer := published.(PublishedServer)
	if _, left := c.kept[removal.key]; isServer && !left {
		kept := keptItem{item: known, published: published, reason: keptServer, until: c.recoveredAt.Add(removalGrace)}
		if !server.server.Draining() && now.Before(kept.until) {
			c.log.Info("removed server kept after store outage", "key", removal.key, "revision", removal.revision, "kept_for", kept.until.Sub(now))
			c.kept[removal.key] = kept
			return
		}
		kept.item.revision = removal.revision
		c.endServer(kept)
	}
	c.review(removal.key)
	c.log.Info("item removed", "key", removal.key, "revision", removal.revision)
}

// setRecovered corrects when the store recovered from its last outage, zero if there was none, and
// until when servers are kept for it.
func (c *storeCache) setRecovered(at time.Time) {
	until := c.recoveredAt.Add(removalGrace)
	c.recoveredAt = at
	for key, kept := range c.kept {
		if kept.reason == keptServer && kept.until.Equal(until) {
			kept.until = at.Add(removalGrace)
			c.kept[key] = kept
		}
	}
}

// recordRemoval keeps a removal for peers with an older revision.
func (c *storeCache) recordRemoval(removal Item) {
	c.removals = append(c.removals, removal)
	if len(c.removals) > maxRemovals {
		if c.removals[0].revision.After(c.removalsSince) {
			c.removalsSince = c.removals[0].revision
		}
		c.removals = c.removals[1:]
	}
}

func (c *storeCache) drop(key string) {
	if known, ok := c.items[key]; ok {
		c.content.remove(known)
	}
	delete(c.items, key)
	delete(c.decoded, key)
	c.compressedMu.Lock()
	defer c.compressedMu.Unlock()
	delete(c.compressed, key)
}

// services returns the services of the active configuration, none without one.
func (c *storeCache) services() []string {
	if c.table == nil {
		return nil
	}
	return c.table.Services()
}

// view returns the decoded content.
func (c *storeCache) view() *routing.View {
	servers := make(map[string]routing.Server)
	evacuated := make(map[string]bool)
	for _, decoded := range c.decoded {
		switch published := decoded.(type) {
		case PublishedServer:
			servers[published.server.ID()] = published.server
		case PublishedEvacuation:
			evacuated[published.domain] = true
		}
	}
	for _, kept := range c.kept {
		switch published := kept.published.(type) {
		case PublishedServer:
			server := published.server
			if kept.reason == keptDeparture {
				server = servers[server.ID()].WithDraining(true)
			}
			servers[server.ID()] = server
		case PublishedEvacuation:
			evacuated[published.domain] = true
		}
	}
	return routing.NewView(c.revision, c.table, servers, evacuated)
}

// compress returns an item's compressed value, nil if the value is short. It may be called
// outside the control loop.
func (c *storeCache) compress(item Item) []byte {
	if len(item.value) < minCompressBytes {
		return nil
	}
	c.compressing.Lock()
	defer c.compressing.Unlock()
	c.compressedMu.Lock()
	known, ok := c.compressed[item.key]
	c.compressedMu.Unlock()
	if ok && known.revision == item.revision {
		return known.value
	}
	known = compressedItem{revision: item.revision, value: mesh.Compress(string(item.value), flate.BestSpeed)}
	c.compressedMu.Lock()
	defer c.compressedMu.Unlock()
	c.compressed[item.key] = known
	return known.value
}

// compressMessage returns a message of an item with the compressed value if that is long. It may
// be called outside the control loop.
func (c *storeCache) compressMessage(m itemMessage) itemMessage {
	item := Item{key: m.Key, revision: routing.UnpackRevision(m.Revision), value: m.Value, removed: m.Removed}
	return encodeItem(item, c.compress(item))
}

// changesSince returns the changes after a revision, or all items and full true if
// the removals since then are no longer known. What is kept is not included: each
// entry decides for itself how long to keep a removed server.
func (c *storeCache) changesSince(revision routing.Revision) (items []Item, full bool) {
	full = c.removalsSince.After(revision) || revision.After(c.listedFrom) && c.listedAt.After(revision)
	for _, item := range c.items {
		if full || item.revision.After(revision) {
			items = append(items, item)
		}
	}
	if full {
		return items, true
	}
	for _, removal := range c.removals {
		if removal.revision.After(revision) {
			items = append(items, removal)
		}
	}
	return items, false
}
