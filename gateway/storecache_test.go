package gateway

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/mesh"
	"greengagedock.example/routing"
)

var errTest = errors.New("malformed")

// testDecode decodes "config" as a configuration version, "domain/…" as an
// evacuation and all other keys as servers.
func testDecode(item Item) (Published, error) {
	value := string(item.Value())
	switch {
	case value == "malformed":
		return nil, errTest
	case item.Key() == "config":
		version, err := strconv.ParseInt(value, 10, 64)
		return NewPublishedTable(routing.NewTable(version, nil, []routing.Service{routing.NewService("desk")}, nil, routing.Limits{})), err
	case strings.HasPrefix(item.Key(), "domain/"):
		return NewPublishedEvacuation(strings.TrimPrefix(item.Key(), "domain/")), nil
	default:
		return NewPublishedServer(routing.NewServer(item.Key(), "desk", value, "a", 6).WithIncarnation(1, item.Revision())), nil
	}
}

func newTestCache() *storeCache { return newStoreCache(testDecode, hclog.NewNullLogger()) }

func item(key string, number int64, value string) Item {
	return NewItem(key, at(number), []byte(value))
}

// at returns a revision of a store without eras.
func at(number int64) routing.Revision { return routing.NewRevision(0, number) }

func TestCacheNeverRegresses(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newTestCache()
	c.Assert(cache.replace(now, []Item{item("config", 5, "9"), item("s1", 4, "10.0.0.1:1")}, at(6)), qt.IsTrue)
	// A stale peer, a late change and a version that is not newer change nothing.
	c.Assert(cache.replace(now, []Item{item("config", 3, "8")}, at(5)), qt.IsFalse)
	cache.applyChanges(now, []Item{item("s1", 2, "10.0.0.9:1"), item("config", 7, "9"), item("config", 8, "4")}, at(8))
	view := cache.view()
	c.Assert(view.Table().Version(), qt.Equals, int64(9))
	c.Assert(view.Servers()["s1"].Address(), qt.Equals, "10.0.0.1:1")
	c.Assert(view.Revision(), qt.Equals, at(8))
}

func TestCacheKeepsLastValidConfiguration(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newTestCache()
	cache.applyChanges(now, []Item{item("config", 1, "1")}, at(1))
	cache.applyChanges(now, []Item{item("config", 2, "malformed")}, at(2))
	c.Assert(cache.view().Table().Version(), qt.Equals, int64(1))
	cache.applyChanges(now, []Item{item("config", 3, "3")}, at(3))
	c.Assert(cache.view().Table().Version(), qt.Equals, int64(3))
}

func TestCacheDropsMalformedServer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newTestCache()
	cache.applyChanges(now, []Item{item("s1", 1, "10.0.0.1:1")}, at(1))
	cache.applyChanges(now, []Item{item("s1", 2, "malformed")}, at(2))
	c.Assert(cache.view().Usable("s1"), qt.IsFalse)
}

func TestCacheRemovesAtOnceWithoutOutage(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newTestCache()
	cache.applyChanges(now, []Item{item("s1", 1, "10.0.0.1:1"), item("domain/a", 2, "")}, at(2))
	c.Assert(cache.view().Usable("s1"), qt.IsFalse)
	cache.applyChanges(now, []Item{NewRemovedItem("domain/a", at(3))}, at(3))
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)
	cache.applyChanges(now, []Item{NewRemovedItem("s1", at(4))}, at(4))
	c.Assert(cache.view().Usable("s1"), qt.IsFalse)
}

// Servers whose keys expired during a store outage publish themselves again soon
// after it. They are kept until then, and dropped if they stay missing.
func TestCacheKeepsRemovedServersAfterOutage(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newTestCache()
	cache.applyChanges(now, []Item{item("s1", 1, "10.0.0.1:1"), item("s2", 2, "10.0.0.2:1")}, at(2))
	cache.recoveredAt = now
	cache.applyChanges(now, []Item{NewRemovedItem("s1", at(5)), NewRemovedItem("s2", at(6))}, at(6))
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)
	cache.applyChanges(now.Add(time.Second), []Item{item("s1", 7, "10.0.0.1:1")}, at(7))
	c.Assert(cache.expireKept(now.Add(removalGrace-time.Millisecond)), qt.IsFalse)
	c.Assert(cache.expireKept(now.Add(removalGrace)), qt.IsTrue)
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)
	c.Assert(cache.view().Usable("s2"), qt.IsFalse)
}

// Changes of the store that arrive after later ones from a peer do not restore an item.
func TestCacheDropsLateChangeOfRemovedItem(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newTestCache()
	cache.applyChanges(now, []Item{item("s1", 2, "10.0.0.1:1"), item("s2", 3, "10.0.0.2:1")}, at(3))
	cache.applyChanges(now, []Item{NewRemovedItem("s1", at(5))}, at(5))
	cache.applyChanges(now, []Item{item("s1", 4, "10.0.0.1:1")}, at(4))
	c.Assert(cache.view().Usable("s1"), qt.IsFalse)
	cache.applyChanges(now, []Item{item("s1", 6, "10.0.0.1:1")}, at(6))
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)
}

// A list does not show what was written and removed again since the one before it, so a
// peer that has seen the first of the two gets all items.
func TestChangesSinceWithinGapOfListAreWhole(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	ahead, behind := newTestCache(), newTestCache()
	for _, cache := range []*storeCache{ahead, behind} {
		cache.replace(now, []Item{item("s1", 2, "10.0.0.1:1")}, at(3))
	}
	behind.applyChanges(now, []Item{item("s2", 4, "10.0.0.2:1")}, at(5))
	ahead.replace(now, []Item{item("s1", 2, "10.0.0.1:1")}, at(8))
	for since, want := range map[int64]bool{2: true, 3: false, 4: true, 7: true, 8: false} {
		_, full := ahead.changesSince(at(since))
		c.Assert(full, qt.Equals, want, qt.Commentf("since %d", since))
	}
	items, _ := ahead.changesSince(behind.revision)
	behind.replace(now, items, ahead.revision)
	c.Assert(behind.view().Usable("s2"), qt.IsFalse)
	// A second gap moves on the first.
	ahead.replace(now, []Item{item("s1", 2, "10.0.0.1:1")}, at(12))
	for since, want := range map[int64]bool{3: true, 7: true, 8: false, 9: true, 12: false} {
		_, full := ahead.changesSince(at(since))
		c.Assert(full, qt.Equals, want, qt.Commentf("since %d", since))
	}
}

// The pages of a list are no snapshot: a key written after the first page is newer
// than the list's revision and may be missing from the list.
func TestCacheKeepsItemsNewerThanList(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newTestCache()
	cache.items["s9"] = item("s9", 12, "10.0.0.9:1")
	cache.decoded["s9"] = NewPublishedServer(routing.NewServer("s9", "desk", "10.0.0.9:1", "a", 6))
	cache.replace(now, []Item{item("s1", 3, "10.0.0.1:1")}, at(10))
	c.Assert(cache.view().Usable("s9"), qt.IsTrue)
}

// A peer with an older revision gets the changes since then, removals included, and
// ends up with the same content.
func TestChangesSinceBringPeerUpToDate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	ahead, behind := newTestCache(), newTestCache()
	ahead.replace(now, []Item{item("config", 1, "1"), item("s1", 2, "10.0.0.1:1"), item("s2", 3, "10.0.0.2:1")}, at(3))
	sync := func() bool {
		items, full := ahead.changesSince(behind.revision)
		if full {
			behind.replace(now, items, ahead.revision)
		} else {
			behind.applyChanges(now, items, ahead.revision)
		}
		c.Assert(maps.Equal(behind.view().Servers(), ahead.view().Servers()), qt.IsTrue)
		c.Assert(behind.revision, qt.Equals, ahead.revision)
		return full
	}
	c.Assert(sync(), qt.IsTrue)
	ahead.applyChanges(now, []Item{NewRemovedItem("s1", at(4)), item("s3", 5, "10.0.0.3:1")}, at(5))
	c.Assert(sync(), qt.IsFalse)
	c.Assert(behind.view().Servers(), qt.HasLen, 2)
	for i := range maxRemovals + 2 {
		key := "x" + strconv.Itoa(i)
		ahead.applyChanges(now, []Item{item(key, int64(10+2*i), "10.0.0.9:1"), NewRemovedItem(key, at(int64(11+2*i)))}, at(int64(11+2*i)))
	}
	c.Assert(sync(), qt.IsTrue)
}

// A peer gets a pending removal as a removal soon after an outage, and keeps the
// server for as long.
func TestChangesSinceIncludesPendingRemovals(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	ahead, behind := newTestCache(), newTestCache()
	for _, cache := range []*storeCache{ahead, behind} {
		cache.replace(now, []Item{item("s1", 2, "10.0.0.1:1")}, at(3))
	}
	ahead.recoveredAt = now
	ahead.applyChanges(now, []Item{NewRemovedItem("s1", at(4))}, at(4))
	items, full := ahead.changesSince(at(3))
	c.Assert(full, qt.IsFalse)
	behind.recoveredAt = ahead.recoveredAt
	behind.applyChanges(now, items, at(4))
	c.Assert(behind.view().Usable("s1"), qt.IsTrue)
	c.Assert(behind.expireKept(now.Add(removalGrace)), qt.IsTrue)
	c.Assert(behind.view().Usable("s1"), qt.IsFalse)
}

func TestFewEntriesWatchTheStore(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	count := func(stale int) int {
		n := 0
		for i := range 20 {
			m := newTestMembers(memberReady)
			m.self = testMember("e"+strconv.Itoa(i), 1, memberReady)
			for j := range 20 {
				id := "e" + strconv.Itoa(j)
				m.observe(now, testMember(id, 1, memberReady))
				if known := m.byID[id]; known != nil {
					known.storeAnsweredAt = now
				}
			}
			// The store does not respond to the entries that come first in the order.
			ranked := m.live(now, m.timeouts.scheduler())
			slices.SortFunc(ranked, func(a, b *member) int {
				return cmp.Compare(mesh.RendezvousWeight(watcherHashKey, a.ID), mesh.RendezvousWeight(watcherHashKey, b.ID))
			})
			for _, known := range ranked[:stale] {
				known.storeAnsweredAt = time.Time{}
			}
			if m.watchesStore(now) {
				n++
			}
		}
		return n
	}
	c.Assert(count(0), qt.Equals, storeWatcherCount)
	c.Assert(count(7) >= storeWatcherCount+7, qt.IsTrue)
	alone := newTestMembers(memberReady)
	c.Assert(alone.watchesStore(now), qt.IsTrue)
}

// The compressed value of an item is kept no longer than the item.
func TestRemovedItemKeepsNoCompressedValue(t *testing.T) {
	c := qt.New(t)
	cache := newStoreCache(func(Item) (Published, error) { return NewPublishedTable(&routing.Table{}), nil }, hclog.NewNullLogger())
	item := NewItem("other/long", at(2), make([]byte, minCompressBytes))
	cache.applyChanges(time.Unix(1, 0), []Item{item}, at(2))
	c.Assert(cache.compress(item), qt.IsNotNil)
	cache.applyChanges(time.Unix(2, 0), []Item{NewRemovedItem("other/long", at(3))}, at(3))
	c.Assert(cache.compressed, qt.HasLen, 0)
}
