package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/routing"
	"greengagedock.example/timer"
)

// contentMemory is the memory of a process with room for a few dozen items.
const contentMemory = 1 << 20

// contentDecode decodes "config" as a configuration whose services the value lists after the
// version, "domain/…" as an evacuation, "other/…" as an item that is ignored, and all other keys as
// servers of the service that the value names.
func contentDecode(item Item) (Published, error) {
	words := strings.Fields(string(item.Value()))
	switch {
	case strings.HasPrefix(item.Key(), "other/"):
		return PublishedIgnored{}, nil
	case strings.HasPrefix(item.Key(), "domain/"):
		return NewPublishedEvacuation(item.Key()), nil
	case len(words) == 0:
		return nil, errTest
	case item.Key() == "config":
		var services []routing.Service
		for _, name := range words[1:] {
			services = append(services, routing.NewService(name))
		}
		return NewPublishedTable(routing.NewTable(int64(len(words)), nil, services, nil, routing.Limits{})), nil
	default:
		server := NewPublishedServer(routing.NewServer(item.Key(), words[0], "10.0.0.1:1", "a", 6).WithIncarnation(1, item.Revision()))
		if len(item.Value()) > maxUnusedBytes {
			server = server.WithShortValue([]byte(words[0]))
		}
		return server, nil
	}
}

// listedStore is a store whose items are listed in their order; it has no changes.
type listedStore struct {
	items    []Item
	revision routing.Revision
	lists    int
}

func (s *listedStore) List(_ context.Context, into Collector) (routing.Revision, error) {
	s.lists++
	for _, item := range s.items {
		into.Add(item)
	}
	return s.revision, nil
}

func (s *listedStore) Watch(_ context.Context, after routing.Revision, _ time.Duration, into Collector) (routing.Revision, error) {
	for _, item := range s.items {
		if item.revision.After(after) {
			into.Add(item)
		}
	}
	return s.revision, nil
}

// newContentEntry returns a running entry with little memory.
func newContentEntry(t *testing.T, id string) *control {
	entry := newControl(NewSettings(id, "a", "r").WithMemoryBytes(contentMemory), 1, contentDecode, hclog.NewNullLogger(), &timer.Service{})
	stop := make(chan struct{})
	go entry.run(stop)
	t.Cleanup(func() { close(stop) })
	return entry
}

// unusedServers returns servers of a service, more than there is room for.
func unusedServers(service string, number int64) []Item {
	var items []Item
	for i := range contentMemory / itemOverheadBytes {
		items = append(items, item(fmt.Sprint("a-", service, i), number, service))
	}
	return items
}

// Guards against servers that get no requests since items of another writer take the memory: they
// are kept beside any number of others, in a list and in changes.
func TestServersInUseAreKeptBesideUnusedItems(t *testing.T) {
	c := qt.New(t)
	entry := newContentEntry(t, "e1")
	store := &listedStore{revision: at(3), items: []Item{item("config", 1, "1 desk")}}
	store.items = append(append(store.items, unusedServers("press", 2)...), item("s1", 3, "desk"))
	_, err := entry.readStore(t.Context(), store, routing.Revision{}, time.Time{})
	c.Assert(err, qt.IsNil)
	c.Assert(entry.View().Usable("s1"), qt.IsTrue)
	store.items, store.revision = append(unusedServers("cloud", 5), item("s2", 6, "desk"), item("domain/a", 6, "")), at(6)
	_, err = entry.readStore(t.Context(), store, at(3), time.Time{})
	c.Assert(err, qt.IsNil)
	c.Assert(entry.View().Usable("s2"), qt.IsTrue)
	bytes := int64(0)
	entry.do(func(time.Time) {
		for _, held := range entry.cache.items {
			bytes += held.memory()
		}
		c.Check(entry.cache.content.usedBytes+entry.cache.content.unusedBytes <= bytes, qt.IsTrue)
	})
	c.Assert(bytes < contentMemory/4, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}

// Guards against servers that are never used: their service was in no configuration when there
// was no room for them.
func TestServersLeftOutAreListedForNewConfiguration(t *testing.T) {
	c := qt.New(t)
	watcher, standby := newContentEntry(t, "e1"), newContentEntry(t, "e2")
	store := &listedStore{revision: at(3), items: append([]Item{item("config", 1, "1 desk"), item("s1", 2, "desk")}, unusedServers("press", 3)...)}
	store.items = append(store.items, item("z1", 3, "cloud"))
	_, err := watcher.readStore(t.Context(), store, routing.Revision{}, time.Time{})
	c.Assert(err, qt.IsNil)
	fetchOnce(c, watcher, standby)
	c.Assert(watcher.View().Usable("z1"), qt.IsFalse)

	store.items[0], store.revision = item("config", 4, "1 desk cloud"), at(4)
	_, err = watcher.readStore(t.Context(), store, at(3), time.Time{})
	c.Assert(err, qt.IsNil)
	fetchOnce(c, watcher, standby)
	for _, entry := range []*control{watcher, standby} {
		revision := at(4)
		for deadline := time.Now().Add(5 * time.Second); !revision.IsZero(); time.Sleep(time.Millisecond) {
			c.Assert(time.Now().Before(deadline), qt.IsTrue)
			entry.shouldWatch(&revision)
		}
		_, err = entry.readStore(t.Context(), store, revision, time.Time{})
		c.Assert(err, qt.IsNil)
		c.Assert(entry.View().Usable("z1"), qt.IsTrue)
		entry.do(func(now time.Time) { c.Check(entry.listsStore(now), qt.IsFalse) })
	}
}

// fetchOnce has an entry take over the items of another one.
func fetchOnce(c *qt.C, from, to *control) {
	since := to.View().Revision()
	reply, err := from.handleItems(itemsMessage{Revision: since.Packed()})
	c.Assert(err, qt.IsNil)
	items := to.newCollector(reply.Full)
	for _, message := range reply.Items {
		decoded, err := message.decode()
		c.Assert(err, qt.IsNil)
		items.Add(decoded)
	}
	to.do(func(now time.Time) { to.applyItems(now, "", since, reply, items.items) })
	c.Assert(to.View().Revision(), qt.Equals, from.View().Revision())
}

// Guards against a server that is used with its earlier value after a change for which there is no
// room.
func TestChangeWithoutRoomRemovesServer(t *testing.T) {
	c := qt.New(t)
	entry := newContentEntry(t, "e1")
	store := &listedStore{revision: at(3), items: append([]Item{item("config", 1, "1 desk"), item("s1", 2, "desk")}, unusedServers("press", 3)...)}
	_, err := entry.readStore(t.Context(), store, routing.Revision{}, time.Time{})
	c.Assert(err, qt.IsNil)
	store.items, store.revision = []Item{item("s1", 4, "press")}, at(4)
	_, err = entry.readStore(t.Context(), store, at(3), time.Time{})
	c.Assert(err, qt.IsNil)
	c.Assert(entry.View().Usable("s1"), qt.IsFalse)
	entry.do(func(time.Time) {
		items, full := entry.cache.changesSince(at(3))
		c.Check(full, qt.IsFalse)
		c.Check(items, qt.HasLen, 1)
		c.Check(items[0].Removed(), qt.IsTrue)
	})
}

// Guards against long values that are kept and passed on whole though little or nothing of them is
// used.
func TestLongValuesAreShortened(t *testing.T) {
	c := qt.New(t)
	cache := newStoreCache(contentDecode, hclog.NewNullLogger())
	long := strings.Repeat(" ", 1<<20)
	cache.replace(time.Unix(100, 0), []Item{
		item("config", 1, "1 desk"+long), item("s1", 2, "desk"+long), item("s2", 2, "press"+long), item("domain/a", 3, long), item("other/a", 4, long), item("s3", 5, long),
	}, at(5))
	c.Assert(cache.items, qt.HasLen, 5)
	for key, held := range cache.items {
		if key != "config" {
			c.Check(len(held.value) <= maxUnusedBytes, qt.IsTrue, qt.Commentf("%s: %d bytes", key, len(held.value)))
		}
	}
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)
	c.Assert(cache.view().Servers(), qt.HasLen, 2)
}
