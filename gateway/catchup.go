package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/mesh"
	"greengagedock.example/routing"
)

// An entry that does not watch the store gets what it lacks from other entries, in parts: neither
// end needs memory for all of it, and each part arrives in time on a slow link. Whatever keeps it
// from getting nearer to what others have, it reads the store itself then.

const (
	// maxPartBytes is about the length of the items in one reply, unless it is a single one.
	maxPartBytes = 256 << 10
	// maxChangeParts is how many parts of changes are applied together.
	maxChangeParts = 16
	// maxWholeBytes is the same for an entry that understands no parts.
	maxWholeBytes = 4 << 20
	// itemMessageBytes is about the length of a message of an item beside its key and value.
	itemMessageBytes = 32
	// maxUnpackedBytes bounds the values of one reply once they are decompressed.
	maxUnpackedBytes = 16 << 20
	// behindTimeout is how long an entry may know of a later revision without getting nearer to
	// it before it reads the store.
	behindTimeout = time.Second
)

// errReplyTooLong is the error for a reply that an entry which understands no parts can't take.
var errReplyTooLong = eris.New("gateway: items do not fit into one message")

// errPartsEnded is the error for parts that do not continue the ones before.
var errPartsEnded = eris.New("gateway: part does not continue the ones before")

// handleItems returns the items that another entry lacks. Values are compressed outside the
// control loop.
func (c *control) handleItems(call itemsMessage) (itemsReply, error) {
	var reply itemsReply
	var err error
	if !c.do(func(now time.Time) { reply, err = c.itemsSince(now, call) }) {
		return reply, eris.Wrap(errCall, "stopping")
	}
	for i, item := range reply.Items {
		reply.Items[i] = c.cache.compressMessage(item)
	}
	return reply, err
}

// itemsSince returns the response to a request for the changes after a revision.
func (c *control) itemsSince(now time.Time, call itemsMessage) (itemsReply, error) {
	revision := routing.UnpackRevision(call.Revision)
	if !c.cache.revision.After(revision) {
		return itemsReply{}, nil
	}
	reply := itemsReply{Revision: c.cache.revision.Packed(), SinceRecovery: -1, LeftOut: c.cache.incomplete}
	if !c.cache.recoveredAt.IsZero() {
		reply.SinceRecovery, reply.Outage = now.Sub(c.cache.recoveredAt), c.outage.length()
	}
	items, full := c.cache.changesSince(revision)
	if full = full || call.After != ""; full {
		items = c.cache.itemsAfter(call.After)
	} else {
		slices.SortFunc(items, func(a, b Item) int { return a.revision.Compare(b.revision) })
	}
	most := maxWholeBytes
	if call.Parts {
		most = maxPartBytes
	}
	part := items[:partLength(items, full, most)]
	switch reply.Full, reply.More = full, len(part) < len(items); {
	case !reply.More:
	case full && !call.Parts:
		return itemsReply{}, eris.Wrapf(errReplyTooLong, "%d items", len(items))
	case !full && c.cache.revision.After(part[len(part)-1].revision):
		// Items that are newer than the content do not tell what came before them.
		reply.Revision = part[len(part)-1].revision.Packed()
	}
	for _, item := range part {
		reply.Items = append(reply.Items, encodeItem(item, nil))
	}
	return reply, nil
}

// itemsAfter returns the items with a key after the given one, in the order of their keys.
func (c *storeCache) itemsAfter(key string) []Item {
	var items []Item
	for _, item := range c.items {
		if item.key > key {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.key, b.key) })
	return items
}

// partLength returns how many of the first items make up a part of a number of bytes, at least
// one. Changes of one revision are not parted.
func partLength(items []Item, full bool, most int) int {
	bytes := 0
	for i, item := range items {
		bytes += len(item.key) + len(item.value) + itemMessageBytes
		if i > 0 && bytes > most && (full || item.revision != items[i-1].revision) {
			return i
		}
	}
	return len(items)
}

// catchUp fetches items from peers with a newer revision until ctx ends.
func (c *control) catchUp(ctx context.Context, client *mesh.Client) {
	for {
		select {
		case address := <-c.newerPeers:
			c.fetch(ctx, func(ctx context.Context, call itemsMessage, reply *itemsReply) error {
				return client.Call(ctx, address, callItems, call, reply)
			}, address)
		case <-ctx.Done():
			return
		}
	}
}

// itemsCall asks another entry for items.
type itemsCall func(context.Context, itemsMessage, *itemsReply) error

// fetch fetches what this entry lacks from another one, part by part.
func (c *control) fetch(ctx context.Context, call itemsCall, address string) {
	if c.watching.Load() {
		// The store's own watch is likely to deliver these changes first.
		sleep(ctx, catchUpDelay)
	}
	for {
		since := c.View().Revision()
		reply, items, err := c.fetchItems(ctx, call, since)
		if err != nil {
			c.log.Warn("fetching items failed", "entry", address, "revision", since, "error", err)
			return
		}
		c.do(func(now time.Time) { c.applyItems(now, address, since, reply, items) })
		if !reply.More || !c.View().Revision().After(since) {
			return
		}
	}
}

// fetchItems fetches all parts of a whole list, or the first parts of the changes after a
// revision. It returns the last reply, with what holds for all parts: what was received of changes
// counts, whatever becomes of the next part.
func (c *control) fetchItems(ctx context.Context, call itemsCall, since routing.Revision) (itemsReply, []Item, error) {
	request := itemsMessage{Revision: since.Packed(), Parts: true}
	var reply itemsReply
	if err := callPart(ctx, call, request, &reply); err != nil {
		return reply, nil, err
	}
	items := c.newCollector(reply.Full)
	if err := items.addMessages(reply.Items); err != nil {
		return reply, nil, err
	}
	for parts := 1; reply.More && len(reply.Items) > 0 && (reply.Full || parts < maxChangeParts); parts++ {
		request.Revision = reply.Revision
		if reply.Full {
			request.Revision, request.After = since.Packed(), reply.Items[len(reply.Items)-1].Key
		}
		var next itemsReply
		err := callPart(ctx, call, request, &next)
		switch {
		case err == nil && (next.Full != reply.Full || !sameEra(next.Revision, reply.Revision)):
			err = errPartsEnded
		case err == nil:
			err = items.addMessages(next.Items)
		}
		switch {
		case err != nil && reply.Full:
			return reply, nil, err
		case err != nil:
			c.log.Warn("fetching further items failed", "revision", routing.UnpackRevision(reply.Revision), "error", err)
			reply.More = false
		case reply.Full:
			reply.Items, reply.More, reply.LeftOut = next.Items, next.More, reply.LeftOut || next.LeftOut
		default:
			next.LeftOut = next.LeftOut || reply.LeftOut
			reply = next
		}
	}
	reply.LeftOut = reply.LeftOut || items.leftOut > 0
	return reply, items.items, nil
}

// sameEra reports whether two packed revisions are of one era.
func sameEra(a, b int64) bool {
	return routing.UnpackRevision(a).Era() == routing.UnpackRevision(b).Era()
}

// callPart asks for one part within fetchTimeout.
func callPart(ctx context.Context, call itemsCall, request itemsMessage, reply *itemsReply) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return call(ctx, request, reply)
}

// addMessages decodes and adds the items of a reply one by one. If one can't be decoded, or if they
// are longer together than any reply should be, it returns an error.
func (c *itemCollector) addMessages(messages []itemMessage) error {
	unpacked := 0
	for _, message := range messages {
		item, err := message.decode()
		if err != nil {
			return eris.Wrap(err, message.Key)
		}
		if unpacked += len(item.value); unpacked > maxUnpackedBytes {
			return eris.Wrapf(mesh.ErrDecompress, "over %d bytes in one reply", maxUnpackedBytes)
		}
		c.Add(item)
	}
	return nil
}

// lag is how far the content of an entry is behind what others have.
type lag struct {
	// newest is the latest revision that another entry has stated.
	newest routing.Revision
	// since is when the content was last known to get nearer to it, as of a revision; zero if it
	// is not behind.
	since    time.Time
	revision routing.Revision
	// readAt is when the entry reads the store if nothing changes, and reads how often it did.
	readAt time.Time
	reads  int64
}

// update records the revision of the content. An entry that does not catch up reads the store
// after behindTimeout and a delay.
func (l *lag) update(now time.Time, revision routing.Revision, delay func() time.Duration) {
	switch {
	case !l.newest.After(revision):
		l.since = time.Time{}
	case l.since.IsZero() || revision.After(l.revision):
		l.since, l.revision = now, revision
		l.readAt = now.Add(behindTimeout + delay())
	}
}

// late reports whether the entry is to read the store now.
func (l *lag) late(now time.Time) bool { return !l.since.IsZero() && !now.Before(l.readAt) }

// noteRead records that the entry has read the store since it fell behind: what other entries
// stated before counts no longer.
func (l *lag) noteRead() {
	if !l.since.IsZero() {
		l.reads++
	}
	l.newest, l.since = routing.Revision{}, time.Time{}
}

// behindFor returns for how long the content did not get nearer to what others have.
func (l *lag) behindFor(now time.Time) time.Duration {
	if l.since.IsZero() {
		return 0
	}
	return now.Sub(l.since)
}

// hearRevision records the revision of the content of another entry.
func (c *control) hearRevision(now time.Time, revision routing.Revision) {
	if revision.After(c.lag.newest) {
		c.lag.newest = revision
	}
	c.lag.update(now, c.cache.revision, c.spread)
}
