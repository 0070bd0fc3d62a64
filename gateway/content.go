package gateway

import "greengagedock.example/routing"

// Anybody may write to the store. The content that an entry holds in memory is bounded all the
// same: of a value only what is used is kept, of items that nobody uses nothing, and of others
// as much as there is memory for, those first that are of use with the present configuration.

const (
	// contentMemoryDivisor is the memory of the process divided by the part for the items of the
	// store, and unusedContentDivisor that divided by the further part for those that are of no
	// use with the present configuration.
	contentMemoryDivisor = 8
	unusedContentDivisor = 4
	// itemOverheadBytes is about the memory of an item beside its key and its value.
	itemOverheadBytes = 768
	// maxUnusedBytes is the longest value that is kept of an item that is not used for it.
	maxUnusedBytes = 1 << 10
)

// decodedItem is the result of decoding an item; published is nil if it is malformed.
type decodedItem struct {
	published Published
	err       error
}

// decodedBy returns the item with its decoded form, and with what is used of its value if it is
// long.
func (i Item) decodedBy(decode Decoder) Item {
	if i.removed || i.decoded != nil {
		return i
	}
	published, err := decode(i)
	if err != nil {
		published = nil
	}
	switch p := published.(type) {
	case PublishedTable:
	case PublishedServer:
		if p.short != nil {
			i.value, p.short = p.short, nil
			published = p
		}
	default:
		if len(i.value) > maxUnusedBytes {
			i.value = nil // decodes to the same
		}
	}
	i.decoded = &decodedItem{published: published, err: err}
	return i
}

// published returns the decoded item, nil if it is malformed or removed.
func (i Item) published() Published {
	if i.decoded == nil {
		return nil
	}
	return i.decoded.published
}

// ignored reports whether entries do not use the item's key.
func (i Item) ignored() bool {
	_, ignored := i.published().(PublishedIgnored)
	return ignored
}

// memory returns about the memory of the item in bytes.
func (i Item) memory() int64 { return int64(len(i.key)+len(i.value)) + itemOverheadBytes }

// contentLimit bounds the memory of items. Its zero value has no bound.
type contentLimit struct {
	// used and unused are the bounds for items that are of use and for others, 0 for none.
	used, unused int64
	table        *routing.Table
	// usedBytes and unusedBytes are the memory of the items that were added.
	usedBytes, unusedBytes int64
}

// newContentLimit returns the limit for a process with an amount of memory in bytes.
func newContentLimit(memory int64) contentLimit {
	used := memory / contentMemoryDivisor
	return contentLimit{used: used, unused: used / unusedContentDivisor}
}

// counter returns what counts the memory of an item with its bound, nil for the configuration,
// which is always kept.
func (l *contentLimit) counter(item Item) (bytes *int64, bound int64) {
	switch published := item.published().(type) {
	case PublishedTable:
		return nil, 0
	case PublishedEvacuation:
		return &l.usedBytes, l.used
	case PublishedServer:
		if l.table != nil {
			if _, ok := l.table.Service(published.server.Service()); ok {
				return &l.usedBytes, l.used
			}
		}
	}
	return &l.unusedBytes, l.unused
}

// add adds an item, and reports false and does not if there is no room for it.
func (l *contentLimit) add(item Item) bool {
	bytes, bound := l.counter(item)
	if bytes != nil && bound > 0 && *bytes+item.memory() > bound {
		return false
	}
	l.addAlways(item)
	return true
}

// addAlways adds an item, also if there is no room for it.
func (l *contentLimit) addAlways(item Item) {
	if bytes, _ := l.counter(item); bytes != nil {
		*bytes += item.memory()
	}
}

// remove removes an item that was added.
func (l *contentLimit) remove(item Item) {
	if bytes, _ := l.counter(item); bytes != nil {
		*bytes -= item.memory()
	}
}

// setTable sets the configuration that tells which of all added items are of use.
func (l *contentLimit) setTable(table *routing.Table, items map[string]Item) {
	l.table, l.usedBytes, l.unusedBytes = table, 0, 0
	for _, item := range items {
		l.addAlways(item)
	}
}

// itemCollector collects the decoded items of a list, or changes, within the limit of all.
type itemCollector struct {
	decode Decoder
	limit  contentLimit
	list   bool
	items  []Item
	// leftOut is the number of items for which there was no room, and again is set if some of
	// them may be of use with a configuration that came after them.
	leftOut int
	again   bool
}

// newCollector returns a collector of a list, or of changes, that the cache is to apply.
func (c *control) newCollector(list bool) *itemCollector {
	limit := c.limit
	limit.table = c.View().Table()
	return &itemCollector{decode: c.cache.decode, limit: limit, list: list}
}

// Add decodes and adds an item. A change that is left out counts as a removal, so that the value
// before it does not stay.
func (c *itemCollector) Add(item Item) {
	item = item.decodedBy(c.decode)
	if item.ignored() {
		return
	}
	if published, ok := item.published().(PublishedTable); ok {
		c.again = c.again || c.leftOut > 0 && !servesOnly(published.table, c.limit.table)
		c.limit.table = published.table
	}
	if !item.removed && !c.limit.add(item) {
		c.leftOut++
		if c.list {
			return
		}
		item = NewRemovedItem(item.key, item.revision)
	}
	c.items = append(c.items, item)
}

// Reset drops all items that were added.
func (c *itemCollector) Reset() {
	c.items, c.leftOut, c.again = nil, 0, false
	c.limit.usedBytes, c.limit.unusedBytes = 0, 0
}
