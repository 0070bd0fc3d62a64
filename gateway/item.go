package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/routing"
)

// ErrCompacted tells that the store no longer knows the changes after a revision.
var ErrCompacted = eris.New("gateway: history of the store gone")

// Source reads the store.
type Source interface {
	// List returns all items and a revision from which Watch misses no change.
	List(ctx context.Context) ([]Item, int64, error)
	// Watch waits for changes after the revision and returns them with the revision to go on from.
	Watch(ctx context.Context, after int64, wait time.Duration) ([]Item, int64, error)
}

// Decoder turns an item into what it says.
type Decoder func(item Item) (Published, error)

// Item is one key of the store at one revision.
type Item struct {
	key      string
	revision int64
	value    []byte
	removed  bool
}

// NewItem returns an item as it was written.
func NewItem(key string, revision int64, value []byte) Item {
	return Item{key: key, revision: revision, value: value}
}

// NewRemovedItem returns the removal of a key.
func NewRemovedItem(key string, revision int64) Item {
	return Item{key: key, revision: revision, removed: true}
}

// Key returns the item's key.
func (i Item) Key() string { return i.key }

// Revision returns the store's revision of the last change.
func (i Item) Revision() int64 { return i.revision }

// Value returns the item's value.
func (i Item) Value() []byte { return i.value }

// Removed reports whether the key was removed.
func (i Item) Removed() bool { return i.removed }

// Published is what an item says: PublishedTable, PublishedServer,
// PublishedEvacuation or PublishedNothing.
type Published interface {
	published()
}

// PublishedTable is a version of the configuration.
type PublishedTable struct{ table *routing.Table }

// NewPublishedTable returns what an item with a configuration says.
func NewPublishedTable(table *routing.Table) PublishedTable { return PublishedTable{table: table} }

// Table returns the configuration.
func (p PublishedTable) Table() *routing.Table { return p.table }

// PublishedServer is a backend server.
type PublishedServer struct{ server routing.Server }

// NewPublishedServer returns what an item with a backend server says.
func NewPublishedServer(server routing.Server) PublishedServer {
	return PublishedServer{server: server}
}

// Server returns the backend server.
func (p PublishedServer) Server() routing.Server { return p.server }

// PublishedEvacuation asks that a failure domain's servers get no new work.
type PublishedEvacuation struct{ domain string }

// NewPublishedEvacuation returns what an item says that empties a failure domain.
func NewPublishedEvacuation(domain string) PublishedEvacuation {
	return PublishedEvacuation{domain: domain}
}

// Domain returns the failure domain.
func (p PublishedEvacuation) Domain() string { return p.domain }

// PublishedIgnored is an item of no concern.
type PublishedIgnored struct{}

func (PublishedTable) published()      {}
func (PublishedServer) published()     {}
func (PublishedEvacuation) published() {}
func (PublishedIgnored) published()    {}
