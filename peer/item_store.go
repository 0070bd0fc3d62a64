package peer

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/mesh"
	"greengagedock.example/registry"
)

// activeItem is the accepted item of a key.
type activeItem struct {
	item     registry.Item
	document *registry.Document
	since    time.Time
	source   string
}

// refusedItem is the latest item of a key that was refused.
type refusedItem struct {
	item  registry.Item
	err   error
	since time.Time
}

// itemStore holds the active published items by key. The version of an item
// never falls, whoever offers it. An invalid item neither becomes active nor is
// sent to peers.
type itemStore struct {
	active  map[string]activeItem
	refused map[string]refusedItem
	digest  uint64
}

// newItemStore returns an empty store.
func newItemStore() itemStore {
	return itemStore{active: make(map[string]activeItem), refused: make(map[string]refusedItem)}
}

// offer activates an item if it is valid and newer than the active one, and
// reports whether it did. It returns an error for an invalid item, once.
func (s *itemStore) offer(now time.Time, item registry.Item, source string) (bool, error) {
	old, known := s.active[item.Key()]
	if known && old.covers(item) {
		return false, nil
	}
	if refused, ok := s.refused[item.Key()]; ok && refused.item == item {
		return false, nil
	}
	inspected, document, err := validateItem(item)
	if err == nil && known && old.conflictsWith(inspected) {
		err = eris.Wrapf(ErrItem, "%s: version %d is in force with other content", item.Key(), inspected.Version())
	}
	if err != nil {
		s.refused[item.Key()] = refusedItem{item: item, err: err, since: now}
		return false, err
	}
	if known && inspected.Version() <= old.item.Version() {
		return false, nil
	}
	if known {
		s.digest ^= itemDigest(old.item)
	}
	s.digest ^= itemDigest(inspected)
	s.active[item.Key()] = activeItem{item: inspected, document: document, since: now, source: source}
	delete(s.refused, item.Key())
	return true, nil
}

// covers reports whether an item can be ignored without parsing it: a document
// with the active text, or a list whose version is not newer.
func (a activeItem) covers(item registry.Item) bool {
	if item.IsDocument() {
		return item.Value() == a.item.Value()
	}
	return item.Version() <= a.item.Version()
}

// conflictsWith reports whether a document has the active version but another
// text.
func (a activeItem) conflictsWith(item registry.Item) bool {
	return item.IsDocument() && item.Version() == a.item.Version() && item.Value() != a.item.Value()
}

// versions returns the active version of each key.
func (s *itemStore) versions() map[string]int64 {
	out := make(map[string]int64, len(s.active))
	for key, item := range s.active {
		out[key] = item.item.Version()
	}
	return out
}

// newerThan returns the active items that are newer than the given versions.
func (s *itemStore) newerThan(versions map[string]int64) []registry.Item {
	var out []registry.Item
	for key, item := range s.active {
		if item.item.Version() > versions[key] {
			out = append(out, item.item)
		}
	}
	return out
}

// documents returns the active service documents, sorted by key.
func (s *itemStore) documents() []*registry.Document {
	var out []*registry.Document
	for _, key := range sortedKeys(s.active) {
		item := s.active[key]
		if item.document != nil {
			out = append(out, item.document)
		}
	}
	return out
}

// itemDigest returns the hash of an item. The digest of a set is the exclusive
// or of its members' hashes, as in RFC017 section 5.1.1: two entries compare
// all items in eight bytes, and a change costs two hashes.
func itemDigest(item registry.Item) uint64 {
	return mesh.RendezvousWeight(item.Key(), strconv.FormatUint(uint64(item.Version()), 10))
}
