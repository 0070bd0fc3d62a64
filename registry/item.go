package registry

import "strings"

// Key prefixes of what the platform publishes.
const (
	// ServicePrefix stands before a service's name; the value is a service document.
	ServicePrefix = "service/"
	// EntriesPrefix stands before a region's name; the value lists its entry instances.
	EntriesPrefix = "entries/"
	// ServersPrefix stands before a failure domain's name; the value lists its backend servers.
	ServersPrefix = "servers/"
	// DomainsKey is the key under which the state of every failure domain is listed.
	DomainsKey = "domains"
)

// Item is one published value with the version that orders it among the
// values of its key: a document's own version, else the platform's revision.
type Item struct {
	key     string
	version int64
	value   string
}

// NewItem returns the item that the platform publishes under key.
func NewItem(key string, version int64, value string) Item {
	return Item{key: key, version: version, value: value}
}

// Key returns the key under which the item is published.
func (i Item) Key() string { return i.key }

// Version returns the item's version, which rises with every change.
func (i Item) Version() int64 { return i.version }

// Value returns the published text.
func (i Item) Value() string { return i.value }

// IsDocument reports whether the item is a service document.
func (i Item) IsDocument() bool { return strings.HasPrefix(i.key, ServicePrefix) }
