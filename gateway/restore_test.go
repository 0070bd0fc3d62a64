package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/routing"
	"greengagedock.example/timer"
)

// inEra returns a revision of a store that was restored.
func inEra(era, number int64) routing.Revision { return routing.NewRevision(era, number) }

// eraItem returns the item of a key written in an era.
func eraItem(era, number int64, key, value string) Item {
	return NewItem(key, inEra(era, number), []byte(value))
}

// restoreDecode decodes "config" as a configuration version, "evacuate/…" as an
// evacuation and all other keys as servers, whose value is a state and a start time.
func restoreDecode(item Item) (Published, error) {
	value := string(item.Value())
	if domain, ok := strings.CutPrefix(item.Key(), "evacuate/"); ok {
		return NewPublishedEvacuation(domain), nil
	}
	if item.Key() == "config" {
		version, err := strconv.ParseInt(value, 10, 64)
		return NewPublishedTable(routing.NewTable(version, nil, nil, nil, routing.Limits{})), err
	}
	var state string
	var start int64
	if _, err := fmt.Sscan(value, &state, &start); err != nil {
		return nil, err
	}
	server := routing.NewServer(item.Key(), "desk", fmt.Sprint(item.Key(), ":", start), "a", 6)
	return NewPublishedServer(server.WithDraining(state == "draining").WithIncarnation(start, item.Revision())), nil
}

// newStoreEntry returns an entry that decodes items with restoreDecode and whose control loop does
// not run.
func newStoreEntry(id string) *control {
	c := newControl(NewSettings(id, "a", "r"), 1, restoreDecode, hclog.NewNullLogger(), &timer.Service{})
	c.members.self.PeerAddress = id
	return c
}

func newRestoreCache() *storeCache { return newStoreCache(restoreDecode, hclog.NewNullLogger()) }

// A restored store assigns numbers again: its content counts though its revision's
// number is lower, and what the earlier era wrote under the same numbers does not.
func TestRestoredContentReplacesLaterNumbers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newRestoreCache()
	cache.replace(now, []Item{eraItem(1, 4, "s1", "ready 1"), eraItem(1, 9, "s2", "ready 1")}, inEra(1, 9))
	c.Assert(cache.replace(now, []Item{eraItem(2, 4, "s1", "ready 1"), eraItem(2, 6, "s3", "ready 1")}, inEra(2, 6)), qt.IsTrue)
	c.Assert(cache.view().Revision(), qt.Equals, inEra(2, 6))
	c.Assert(cache.view().Usable("s3"), qt.IsTrue)
	// A list of the earlier era that arrives late changes nothing.
	c.Assert(cache.replace(now, []Item{eraItem(1, 30, "s4", "ready 1")}, inEra(1, 30)), qt.IsFalse)
	c.Assert(cache.view().Usable("s4"), qt.IsFalse)
}

// The changes that a restored store returns for a revision of the era before it leave
// out those between the copy and that revision.
func TestChangesOfAnotherEraAreNotApplied(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	entry := newStoreEntry("e1")
	c.Assert(entry.applyRead(now, routing.Revision{}, []Item{eraItem(1, 4, "s1", "ready 1")}, inEra(1, 9), time.Time{}), qt.IsNil)
	changes := []Item{eraItem(2, 11, "s2", "ready 1")}
	c.Assert(entry.applyRead(now, inEra(1, 9), changes, inEra(2, 11), time.Time{}), qt.ErrorIs, errEraChanged)
	c.Assert(entry.View().Revision(), qt.Equals, inEra(1, 9))
	c.Assert(entry.View().Usable("s2"), qt.IsFalse)

	// Also if a peer sent the content of that era meanwhile.
	c.Assert(entry.applyRead(now, routing.Revision{}, []Item{eraItem(2, 4, "s1", "ready 1")}, inEra(2, 5), time.Time{}), qt.IsNil)
	c.Assert(entry.applyRead(now, inEra(1, 9), changes, inEra(2, 11), time.Time{}), qt.ErrorIs, errEraChanged)
	c.Assert(entry.View().Revision(), qt.Equals, inEra(2, 5))

	// A late response of the earlier era changes nothing.
	c.Assert(entry.applyRead(now, inEra(1, 9), []Item{eraItem(1, 12, "s2", "ready 1")}, inEra(1, 12), time.Time{}), qt.ErrorIs, errEarlierEra)
	c.Assert(entry.applyRead(now, routing.Revision{}, []Item{eraItem(1, 12, "s2", "ready 1")}, inEra(1, 12), time.Time{}), qt.ErrorIs, errEarlierEra)
	c.Assert(entry.View().Usable("s2"), qt.IsFalse)
}

// pull has an entry fetch items from another one if a heartbeat shows that it is ahead.
func pull(c *qt.C, now time.Time, from, to *control) {
	to.applyHeartbeat(now, from.newHeartbeat(now, heartbeatTarget{}))
	select {
	case <-to.newerPeers:
	default:
		return
	}
	since := to.View().Revision()
	reply, err := from.itemsSince(now, itemsMessage{Revision: since.Packed()})
	c.Assert(err, qt.IsNil)
	var items []Item
	for _, message := range reply.Items {
		item, err := message.decode()
		c.Assert(err, qt.IsNil)
		items = append(items, item)
	}
	to.applyItems(now, from.settings.ID(), since, reply, items)
}

// An entry learns of an era from a peer; a peer that is behind changes nothing.
func TestEraSpreadsBetweenEntries(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	ahead, behind := newStoreEntry("e1"), newStoreEntry("e2")
	list := []Item{eraItem(1, 4, "s1", "ready 1"), eraItem(1, 20, "s2", "ready 1")}
	for _, entry := range []*control{ahead, behind} {
		c.Assert(entry.applyRead(now, routing.Revision{}, list, inEra(1, 20), time.Time{}), qt.IsNil)
	}
	c.Assert(ahead.applyRead(now, routing.Revision{}, []Item{eraItem(2, 4, "s1", "ready 1"), eraItem(2, 9, "s3", "ready 1")}, inEra(2, 9), time.Time{}), qt.IsNil)
	pull(c, now, behind, ahead)
	c.Assert(ahead.View().Revision(), qt.Equals, inEra(2, 9))
	pull(c, now, ahead, behind)
	c.Assert(behind.View().Revision(), qt.Equals, inEra(2, 9))
	c.Assert(behind.View().Usable("s3"), qt.IsTrue)

	// Changes fetched before the cache moved on to another era do not continue it.
	reply := itemsReply{Revision: inEra(2, 30).Packed()}
	behind.applyItems(now, "e1", inEra(1, 20), reply, []Item{eraItem(2, 30, "s9", "ready 1")})
	c.Assert(behind.View().Revision(), qt.Equals, inEra(2, 9))
	c.Assert(behind.newerPeers, qt.HasLen, 1) // fetched again
}

// restoreAt has the cache read the whole content of a store that was restored just now.
func restoreAt(now time.Time, cache *storeCache, era, number int64, items ...Item) {
	cache.recoveredAt = now
	cache.replace(now, items, inEra(era, number))
}

// A configuration in force is not replaced by an older one of the copy, whose keys and
// routes were taken away since; a peer that starts learns of it.
func TestRestoreKeepsConfigurationInForce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newRestoreCache()
	cache.replace(now, []Item{eraItem(1, 4, "config", "5")}, inEra(1, 4))
	cache.applyChanges(now, []Item{eraItem(1, 9, "config", "7")}, inEra(1, 9))
	restoreAt(now, cache, 2, 4, eraItem(2, 4, "config", "5"))
	c.Assert(cache.view().Table().Version(), qt.Equals, int64(7))
	c.Assert(cache.kept["config"].reason, qt.Equals, keptTable)
	// Versions written again on the way to the one in force change nothing.
	cache.applyChanges(now, []Item{eraItem(2, 5, "config", "6")}, inEra(2, 5))
	c.Assert(cache.view().Table().Version(), qt.Equals, int64(7))
	c.Assert(cache.kept, qt.HasLen, 1)
	c.Assert(cache.expireKept(now.Add(time.Hour)), qt.IsFalse)
	cache.applyChanges(now, []Item{eraItem(2, 6, "config", "7")}, inEra(2, 6))
	c.Assert(cache.kept, qt.HasLen, 0)
	cache.applyChanges(now, []Item{eraItem(2, 7, "config", "8")}, inEra(2, 7))
	c.Assert(cache.view().Table().Version(), qt.Equals, int64(8))
}

// A server that had left stays so though the copy still has it.
func TestRestoreKeepsDepartures(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	first := []Item{eraItem(1, 1, "drains", "ready 1"), eraItem(1, 2, "removed", "ready 1"), eraItem(1, 3, "restarts", "ready 1"), eraItem(1, 4, "drained", "ready 1")}
	left := func() *storeCache {
		cache := newRestoreCache()
		cache.replace(now, first, inEra(1, 4))
		cache.applyChanges(now, []Item{
			eraItem(1, 5, "drains", "draining 1"), NewRemovedItem("removed", inEra(1, 6)), eraItem(1, 7, "restarts", "ready 2"),
			eraItem(1, 8, "drained", "draining 1"), NewRemovedItem("drained", inEra(1, 9)),
		}, inEra(1, 9))
		return cache
	}
	copied := []Item{eraItem(2, 1, "drains", "ready 1"), eraItem(2, 2, "removed", "ready 1"), eraItem(2, 3, "restarts", "ready 1"), eraItem(2, 4, "drained", "ready 1")}
	usable := func(cache *storeCache) string {
		var out []string
		for _, id := range []string{"drains", "removed", "restarts", "drained"} {
			if cache.view().Usable(id) {
				out = append(out, id)
			}
		}
		return strings.Join(out, " ")
	}
	cache := left()
	restoreAt(now, cache, 2, 4, copied...)
	c.Assert(usable(cache), qt.Equals, "restarts")
	c.Assert(cache.view().Servers()["restarts"].StartUnixMilli(), qt.Equals, int64(2))
	// The later incarnation is used until it should have published itself again; the
	// earlier one never is. One that was only removed may be alive.
	cache.expireKept(now.Add(removalGrace))
	c.Assert(usable(cache), qt.Equals, "")
	cache.expireKept(now.Add(restoreGrace))
	c.Assert(usable(cache), qt.Equals, "removed")
	cache.expireKept(now.Add(time.Hour))
	c.Assert(usable(cache), qt.Equals, "removed")

	// Whoever writes again is believed.
	cache = left()
	restoreAt(now, cache, 2, 4, copied...)
	cache.applyChanges(now, []Item{eraItem(2, 5, "drains", "ready 2"), eraItem(2, 6, "removed", "ready 1"), eraItem(2, 7, "restarts", "draining 2"), NewRemovedItem("drained", inEra(2, 8))}, inEra(2, 8))
	c.Assert(usable(cache), qt.Equals, "drains removed")
	c.Assert(cache.kept, qt.HasLen, 0)

	// Two drills in a row.
	cache = left()
	restoreAt(now, cache, 2, 4, copied...)
	now = now.Add(time.Second)
	var again []Item
	for _, item := range copied {
		again = append(again, NewItem(item.Key(), inEra(3, item.Revision().Number()), item.Value()))
	}
	restoreAt(now, cache, 3, 4, again...)
	c.Assert(usable(cache), qt.Equals, "restarts")
	cache.expireKept(now.Add(removalGrace))
	c.Assert(usable(cache), qt.Equals, "")
}

// The copy of a second drill may be older than that of the first.
func TestRestoreKeepsDepartureOverTwoDrills(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newRestoreCache()
	cache.replace(now, []Item{eraItem(1, 2, "s1", "ready 1")}, inEra(1, 2))
	cache.applyChanges(now, []Item{eraItem(1, 5, "s1", "draining 1")}, inEra(1, 5))
	restoreAt(now, cache, 2, 7)
	restoreAt(now, cache, 3, 4, eraItem(3, 2, "s1", "ready 1"))
	c.Assert(cache.view().Usable("s1"), qt.IsFalse)
}

// A server may have come back and left again unseen by an entry that got both removals
// from a peer.
func TestRestoreKeepsDepartureThatWasRepeated(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newRestoreCache()
	cache.replace(now, []Item{eraItem(1, 2, "s1", "ready 1")}, inEra(1, 2))
	cache.applyChanges(now, []Item{NewRemovedItem("s1", inEra(1, 3)), NewRemovedItem("s1", inEra(1, 5))}, inEra(1, 5))
	restoreAt(now, cache, 2, 4, eraItem(2, 4, "s1", "ready 1"))
	c.Assert(cache.view().Usable("s1"), qt.IsFalse)
}

// An item with a higher number than the departure is a later write, whatever the era.
func TestRestoreUsesServerThatCameBack(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newRestoreCache()
	cache.replace(now, []Item{eraItem(1, 2, "s1", "ready 1")}, inEra(1, 2))
	cache.applyChanges(now, []Item{NewRemovedItem("s1", inEra(1, 6))}, inEra(1, 6)) // then cut off
	restoreAt(now, cache, 2, 9, eraItem(2, 8, "s1", "ready 1"))
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)
	// A server that came back in the same era has not left.
	cache.applyChanges(now, []Item{NewRemovedItem("s1", inEra(2, 10))}, inEra(2, 10))
	cache.expireKept(now.Add(removalGrace))
	cache.applyChanges(now, []Item{eraItem(2, 11, "s1", "ready 1")}, inEra(2, 11))
	restoreAt(now, cache, 3, 9, eraItem(3, 8, "s1", "ready 1"))
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)
}

// A server that the copy lacks goes on being used until it should have published itself.
func TestRestoreKeepsServersThatTheCopyLacks(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newRestoreCache()
	cache.replace(now, []Item{eraItem(1, 2, "s1", "ready 1"), eraItem(1, 3, "s2", "ready 1"), eraItem(1, 4, "s3", "draining 1")}, inEra(1, 4))
	restoreAt(now, cache, 2, 1)
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)
	c.Assert(cache.view().Usable("s2"), qt.IsTrue)
	c.Assert(cache.view().Usable("s3"), qt.IsFalse)
	cache.applyChanges(now, []Item{eraItem(2, 2, "s1", "ready 1")}, inEra(2, 2))
	c.Assert(cache.expireKept(now.Add(removalGrace-time.Millisecond)), qt.IsFalse)
	c.Assert(cache.expireKept(now.Add(removalGrace)), qt.IsTrue)
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)
	c.Assert(cache.view().Usable("s2"), qt.IsFalse)

	// A second drill does not prolong the time of a server that still has not.
	cache = newRestoreCache()
	cache.replace(now, []Item{eraItem(1, 2, "s1", "ready 1")}, inEra(1, 2))
	restoreAt(now, cache, 2, 1)
	restoreAt(now.Add(time.Second), cache, 3, 1)
	c.Assert(cache.expireKept(now.Add(removalGrace)), qt.IsTrue)
	c.Assert(cache.view().Usable("s1"), qt.IsFalse)
}

// An evacuation that was acknowledged holds until it is written again or its time is over.
func TestRestoreKeepsEvacuations(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	evacuated := func() *storeCache {
		cache := newRestoreCache()
		cache.replace(now, []Item{eraItem(1, 2, "s1", "ready 1"), eraItem(1, 5, "evacuate/a", "{}")}, inEra(1, 5))
		restoreAt(now, cache, 2, 3, eraItem(2, 2, "s1", "ready 1"))
		c.Assert(cache.view().Usable("s1"), qt.IsFalse)
		return cache
	}
	cache := evacuated()
	c.Assert(cache.expireKept(now.Add(restoreGrace-time.Millisecond)), qt.IsFalse)
	c.Assert(cache.expireKept(now.Add(restoreGrace)), qt.IsTrue)
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)

	cache = evacuated()
	cache.applyChanges(now, []Item{eraItem(2, 4, "evacuate/a", "{}")}, inEra(2, 4))
	c.Assert(cache.kept, qt.HasLen, 0)
	c.Assert(cache.view().Usable("s1"), qt.IsFalse)
	cache.applyChanges(now, []Item{NewRemovedItem("evacuate/a", inEra(2, 5))}, inEra(2, 5))
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)

	// Written and taken back between two fetches from a peer.
	cache = evacuated()
	cache.applyChanges(now, []Item{NewRemovedItem("evacuate/a", inEra(2, 5))}, inEra(2, 5))
	c.Assert(cache.view().Usable("s1"), qt.IsTrue)
}

// The cold time of a server counts from its publication, not from a restore.
func TestRestoreKeepsPublicationOfUnchangedItem(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newRestoreCache()
	cache.replace(now, []Item{eraItem(1, 2, "s1", "ready 1")}, inEra(1, 2))
	restoreAt(now, cache, 2, 2, eraItem(2, 2, "s1", "ready 1"))
	c.Assert(cache.view().Servers()["s1"].Revision(), qt.Equals, inEra(1, 2))
}

// exchangeKept sends a heartbeat with its response from one entry to another.
func exchangeKept(now time.Time, from, to *control) {
	heartbeat := from.withKeptDigest(from.newHeartbeat(now, heartbeatTarget{address: to.members.self.PeerAddress}))
	to.applyKept(now, heartbeat)
	reply := to.answerKept(now, heartbeat, to.answerHeartbeat(now, heartbeat))
	from.applyHeartbeat(now, reply)
	from.applyKept(now, reply)
}

// An entry that starts after a drill, or was cut off before, reads only the copy from
// the store; its peers tell it what they keep.
func TestKeptItemsSpread(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	knows, fresh := newStoreEntry("e1"), newStoreEntry("e2")
	c.Assert(knows.applyRead(now, routing.Revision{}, []Item{
		eraItem(1, 1, "s1", "ready 1"), eraItem(1, 2, "s2", "draining 1"), eraItem(1, 3, "evacuate/b", "{}"), eraItem(1, 4, "config", "7"),
	}, inEra(1, 4), time.Time{}), qt.IsNil)
	copied := []Item{eraItem(2, 1, "s1", "ready 1"), eraItem(2, 2, "s2", "ready 1"), eraItem(2, 1, "config", "6")}
	for _, entry := range []*control{knows, fresh} {
		c.Assert(entry.applyRead(now, routing.Revision{}, copied, inEra(2, 3), time.Time{}), qt.IsNil)
	}
	c.Assert(fresh.View().Usable("s2"), qt.IsTrue)
	exchangeKept(now, fresh, knows)
	c.Assert(fresh.View().Usable("s1"), qt.IsTrue)
	c.Assert(fresh.View().Usable("s2"), qt.IsFalse)
	c.Assert(fresh.View().Table().Version(), qt.Equals, int64(7))
	c.Assert(fresh.cache.kept["evacuate/b"].reason, qt.Equals, keptEvacuation)
	c.Assert(fresh.cache.keptDigest(), qt.Equals, knows.cache.keptDigest())
	reply := knows.answerKept(now, fresh.withKeptDigest(fresh.newHeartbeat(now, heartbeatTarget{})), heartbeatMessage{})
	c.Assert(reply.Kept, qt.HasLen, 0)

	// Entries do not prolong for each other what is about to end.
	late := now.Add(restoreGrace - heartbeatTimeout/2)
	fresh.cache.expireKept(now.Add(restoreGrace))
	c.Assert(fresh.cache.kept["evacuate/b"].reason, qt.Equals, keptReason(""))
	exchangeKept(late, fresh, knows)
	c.Assert(fresh.cache.kept["evacuate/b"].reason, qt.Equals, keptReason(""))

	// An entry of another era is not told: it first needs the content.
	behind := newStoreEntry("e3")
	c.Assert(behind.applyRead(now, routing.Revision{}, []Item{eraItem(1, 2, "s2", "ready 1")}, inEra(1, 2), time.Time{}), qt.IsNil)
	exchangeKept(now, behind, knows)
	c.Assert(behind.cache.kept, qt.HasLen, 0)
}

// The entry that listed the content first knows best what was written since.
func TestBaselineSpreads(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	early, late := newStoreEntry("e1"), newStoreEntry("e2")
	for _, entry := range []*control{early, late} {
		c.Assert(entry.applyRead(now, routing.Revision{}, []Item{eraItem(1, 1, "s1", "ready 1")}, inEra(1, 1), time.Time{}), qt.IsNil)
		c.Assert(entry.applyRead(now, inEra(1, 1), []Item{NewRemovedItem("s1", inEra(1, 9))}, inEra(1, 9), time.Time{}), qt.IsNil)
	}
	c.Assert(early.applyRead(now, routing.Revision{}, []Item{eraItem(2, 1, "s1", "ready 1")}, inEra(2, 1), time.Time{}), qt.IsNil)
	c.Assert(early.applyRead(now, inEra(2, 1), []Item{eraItem(2, 3, "s1", "ready 1")}, inEra(2, 3), time.Time{}), qt.IsNil)
	c.Assert(early.View().Usable("s1"), qt.IsTrue)
	c.Assert(late.applyRead(now, routing.Revision{}, []Item{eraItem(2, 3, "s1", "ready 1")}, inEra(2, 3), time.Time{}), qt.IsNil)
	c.Assert(late.View().Usable("s1"), qt.IsFalse)
	exchangeKept(now, late, early)
	c.Assert(late.View().Usable("s1"), qt.IsTrue)
}
