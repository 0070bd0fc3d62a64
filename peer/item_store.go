package peer

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/mesh"
	"greengagedock.example/registry"
)

// inForce is an item that this entry has accepted.
type inForce struct {
	item     registry.Item
	document *registry.Document
	since    time.Time
	source   string
}

// refusedItem is the newest item of its key that this entry refused.
type refusedItem struct {
	item  registry.Item
	err   error
	since time.Time
}

// relay holds the published items in force. An item's version never falls,
// whoever offers it; what is not valid never comes into force nor goes on to peers.
type relay struct {
	items   map[string]inForce
	refused map[string]refusedItem
	digest  uint64
}

// newRelay returns a relay that holds nothing.
func newRelay() relay {
	return relay{items: make(map[string]inForce), refused: make(map[string]refusedItem)}
}

// offer takes an item into force if it is valid and newer than the one in
// force, and reports whether it did; an invalid one is an error, once.
func (r *relay) offer(now time.Time, item registry.Item, source string) (bool, error) {
	old, known := r.items[item.Key()]
	if known && old.covers(item) {
		return false, nil
	}
	if refused, ok := r.refused[item.Key()]; ok && refused.item == item {
		return false, nil
	}
	inspected, document, err := inspect(item)
	if err == nil && known && old.contradicts(inspected) {
		err = eris.Wrapf(ErrItem, "%s: version %d is in force with other content", item.Key(), inspected.Version())
	}
	if err != nil {
		r.refused[item.Key()] = refusedItem{item: item, err: err, since: now}
		return false, err
	}
	if known && inspected.Version() <= old.item.Version() {
		return false, nil
	}
	if known {
		r.digest ^= digestOf(old.item)
	}
	r.digest ^= digestOf(inspected)
	r.items[item.Key()] = inForce{item: inspected, document: document, since: now, source: source}
	delete(r.refused, item.Key())
	return true, nil
}

// covers reports whether an item is seen to bring nothing new without being
// read: a document's text is the one in force, or a list's version no newer.
func (f inForce) covers(item registry.Item) bool {
	if item.IsDocument() {
		return item.Value() == f.item.Value()
	}
	return item.Version() <= f.item.Version()
}

// contradicts reports whether a document has the version in force and another text.
func (f inForce) contradicts(item registry.Item) bool {
	return item.IsDocument() && item.Version() == f.item.Version() && item.Value() != f.item.Value()
}

// versions returns the version in force of every key.
func (r *relay) versions() map[string]int64 {
	out := make(map[string]int64, len(r.items))
	for key, held := range r.items {
		out[key] = held.item.Version()
	}
	return out
}

// newer returns the items that are newer than the given versions.
func (r *relay) newer(versions map[string]int64) []registry.Item {
	var out []registry.Item
	for key, held := range r.items {
		if held.item.Version() > versions[key] {
			out = append(out, held.item)
		}
	}
	return out
}

// documents returns the service documents in force, in the order of their keys.
func (r *relay) documents() []*registry.Document {
	var out []*registry.Document
	for _, key := range sortedKeys(r.items) {
		held := r.items[key]
		if held.document != nil {
			out = append(out, held.document)
		}
	}
	return out
}

// digestOf returns an item's share of the digest. The digest of a set is the
// exclusive or of its members' hashes, as in RFC017 section 5.1.1: two
// entries compare all they hold in eight bytes, and a change costs two hashes.
func digestOf(item registry.Item) uint64 {
	return mesh.Rank(item.Key(), strconv.FormatUint(uint64(item.Version()), 10))
}
