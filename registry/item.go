package registry

import "strings"

// Keys and key prefixes of the values that the platform publishes.
const (
	// ServicePrefix precedes a service's name; the value is a service document.
	ServicePrefix = "service/"
	// EntriesPrefix precedes a region's name; the value lists its entry instances.
	EntriesPrefix = "entries/"
	// ServersPrefix precedes a failure domain's name; the value lists its backend servers.
	ServersPrefix = "servers/"
	// DomainsKey is the key of the list of all failure domains' states.
	DomainsKey = "domains"
)

// Item is one published value. Its version orders the values of its key: it is a
// service document's own version, and the platform's revision for anything else.
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

// Version returns the item's version, which increases with every change.
func (i Item) Version() int64 { return i.version }

// Value returns the published text.
func (i Item) Value() string { return i.value }

// IsDocument reports whether the item is a service document.
func (i Item) IsDocument() bool { return strings.HasPrefix(i.key, ServicePrefix) }
