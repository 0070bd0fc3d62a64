package operator

import (
	"encoding/json"
	"time"
)

// Config lists the published items that are active at an entry instance and those that it refused.
type Config struct {
	items   []Item
	refused []RefusedItem
}

// NewConfig returns a configuration of active and refused items, each sorted by key.
func NewConfig(items []Item, refused []RefusedItem) Config {
	return Config{items: items, refused: refused}
}

// Items returns the active items.
func (c Config) Items() []Item { return c.items }

// Refused returns the items that were refused; an older version, if any, stays active.
func (c Config) Refused() []RefusedItem { return c.refused }

// Item is a published item that is active at an entry.
type Item struct {
	key     string
	version int64
	since   time.Time
	source  string
}

// NewItem returns an item that became active at since; its source is the platform or a peer's id.
func NewItem(key string, version int64, since time.Time, source string) Item {
	return Item{key: key, version: version, since: since, source: source}
}

// Key returns the key under which the item is published, such as service/NAME.
func (i Item) Key() string { return i.key }

// Version returns the active version.
func (i Item) Version() int64 { return i.version }

// Since returns when the version became active at the entry.
func (i Item) Since() time.Time { return i.since }

// Source returns where the entry got the version from: the platform, or a peer's id.
func (i Item) Source() string { return i.source }

// RefusedItem is a published item that was refused.
type RefusedItem struct {
	key     string
	version int64
	since   time.Time
	reason  string
}

// NewRefusedItem returns an item that has been refused since then because of err.
func NewRefusedItem(key string, version int64, since time.Time, err error) RefusedItem {
	return RefusedItem{key: key, version: version, since: since, reason: err.Error()}
}

// Key returns the key under which the item is published.
func (r RefusedItem) Key() string { return r.key }

// Version returns the refused version.
func (r RefusedItem) Version() int64 { return r.version }

// Since returns when the version was refused.
func (r RefusedItem) Since() time.Time { return r.since }

// Reason returns why the version was refused.
func (r RefusedItem) Reason() string { return r.reason }

type itemValue struct {
	Key     string    `json:"key"`
	Version int64     `json:"version"`
	Since   time.Time `json:"since"`
	Source  string    `json:"source"`
}

type refusedValue struct {
	Key     string    `json:"key"`
	Version int64     `json:"version"`
	Since   time.Time `json:"since"`
	Reason  string    `json:"error"`
}

type configValue struct {
	Items   []itemValue    `json:"in_force"`
	Refused []refusedValue `json:"refused"`
}

// MarshalJSON encodes the configuration as the admin server returns it.
func (c Config) MarshalJSON() ([]byte, error) {
	v := configValue{Items: []itemValue{}, Refused: []refusedValue{}}
	for _, i := range c.items {
		v.Items = append(v.Items, itemValue{Key: i.key, Version: i.version, Since: i.since, Source: i.source})
	}
	for _, r := range c.refused {
		v.Refused = append(v.Refused, refusedValue{Key: r.key, Version: r.version, Since: r.since, Reason: r.reason})
	}
	return json.Marshal(v)
}

// UnmarshalJSON decodes a configuration returned by an admin server.
func (c *Config) UnmarshalJSON(text []byte) error {
	var v configValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*c = Config{}
	for _, i := range v.Items {
		c.items = append(c.items, Item{key: i.Key, version: i.Version, since: i.Since, source: i.Source})
	}
	for _, r := range v.Refused {
		c.refused = append(c.refused, RefusedItem{key: r.Key, version: r.Version, since: r.Since, reason: r.Reason})
	}
	return nil
}
