package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/routing"
)

// ErrCompacted is returned by Source.Watch when the store no longer has the
// changes after a revision.
var ErrCompacted = eris.New("gateway: store history compacted")

// ErrSilent is wrapped by the errors of a Source whose store sent nothing until a timeout: it may
// have been away all the while. After any other error it was there until then.
var ErrSilent = eris.New("gateway: store is silent")

// Collector takes items one by one while a response is read.
type Collector interface {
	// Add takes an item.
	Add(item Item)
	// Reset drops all items that were added.
	Reset()
}

// Source is a client of the store.
type Source interface {
	// List passes all items of one era to the collector and returns the revision from
	// which to Watch so as to miss no change.
	List(ctx context.Context, into Collector) (routing.Revision, error)
	// Watch waits up to the given time for changes after a revision, passes them to the
	// collector and returns the revision to continue from, or ErrCompacted. If that is of
	// another era, the changes do not continue the content at the given one.
	Watch(ctx context.Context, after routing.Revision, wait time.Duration, into Collector) (routing.Revision, error)
}

// Decoder decodes an item that is not removed.
type Decoder func(item Item) (Published, error)

// Item is a key of the store at a revision.
type Item struct {
	key      string
	revision routing.Revision
	value    []byte
	removed  bool
	// decoded is the decoded item, nil if that is still to be done.
	decoded *decodedItem
}

// NewItem returns an item with the value written at a revision.
func NewItem(key string, revision routing.Revision, value []byte) Item {
	return Item{key: key, revision: revision, value: value}
}

// NewRemovedItem returns the item of a key that was removed at a revision.
func NewRemovedItem(key string, revision routing.Revision) Item {
	return Item{key: key, revision: revision, removed: true}
}

// Key returns the item's key.
func (i Item) Key() string { return i.key }

// Revision returns the store revision of the item's last change.
func (i Item) Revision() routing.Revision { return i.revision }

// Value returns the item's value, nil if it was removed.
func (i Item) Value() []byte { return i.value }

// Removed reports whether the key was removed.
func (i Item) Removed() bool { return i.removed }

// Published is a decoded item: a PublishedTable, PublishedServer,
// PublishedEvacuation or PublishedIgnored.
type Published interface {
	published()
}

// PublishedTable is a version of the configuration.
type PublishedTable struct{ table *routing.Table }

// NewPublishedTable returns a published configuration.
func NewPublishedTable(table *routing.Table) PublishedTable { return PublishedTable{table: table} }

// Table returns the configuration.
func (p PublishedTable) Table() *routing.Table { return p.table }

// PublishedServer is a published backend server.
type PublishedServer struct {
	server routing.Server
	short  []byte
}

// NewPublishedServer returns a published backend server.
func NewPublishedServer(server routing.Server) PublishedServer {
	return PublishedServer{server: server}
}

// WithShortValue returns the published server with a value that decodes to the same, to be
// kept in place of a longer one.
func (p PublishedServer) WithShortValue(value []byte) PublishedServer {
	p.short = value
	return p
}

// ShortValue returns a value that decodes to the same, nil if the value is short.
func (p PublishedServer) ShortValue() []byte { return p.short }

// Server returns the backend server.
func (p PublishedServer) Server() routing.Server { return p.server }

// PublishedEvacuation marks a failure domain whose servers must get no new work.
type PublishedEvacuation struct{ domain string }

// NewPublishedEvacuation returns the evacuation of a failure domain.
func NewPublishedEvacuation(domain string) PublishedEvacuation {
	return PublishedEvacuation{domain: domain}
}

// Domain returns the failure domain.
func (p PublishedEvacuation) Domain() string { return p.domain }

// PublishedIgnored is an item under a key that entries do not use.
type PublishedIgnored struct{}

func (PublishedTable) published()      {}
func (PublishedServer) published()     {}
func (PublishedEvacuation) published() {}
func (PublishedIgnored) published()    {}
