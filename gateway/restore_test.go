package gateway

import (
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

// newStoreEntry returns an entry that decodes test items and whose control loop does
// not run.
func newStoreEntry(id string) *control {
	c := newControl(NewSettings(id, "a", "r"), 1, testDecode, hclog.NewNullLogger(), &timer.Service{})
	c.members.self.PeerAddress = id
	return c
}

// A restored store assigns numbers again: its content counts though its revision's
// number is lower, and what the earlier era wrote under the same numbers does not.
func TestRestoredContentReplacesLaterNumbers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	cache := newTestCache()
	cache.replace(now, []Item{eraItem(1, 4, "s1", "10.0.0.1:1"), eraItem(1, 9, "s2", "10.0.0.2:1")}, inEra(1, 9))
	c.Assert(cache.replace(now, []Item{eraItem(2, 4, "s1", "10.0.0.1:1"), eraItem(2, 6, "s3", "10.0.0.3:1")}, inEra(2, 6)), qt.IsTrue)
	c.Assert(cache.view().Revision(), qt.Equals, inEra(2, 6))
	c.Assert(cache.view().Usable("s3"), qt.IsTrue)
	// A list of the earlier era that arrives late changes nothing.
	c.Assert(cache.replace(now, []Item{eraItem(1, 30, "s4", "10.0.0.4:1")}, inEra(1, 30)), qt.IsFalse)
	c.Assert(cache.view().Usable("s4"), qt.IsFalse)
}

// The changes that a restored store returns for a revision of the era before it leave
// out those between the copy and that revision.
func TestChangesOfAnotherEraAreNotApplied(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	entry := newStoreEntry("e1")
	c.Assert(entry.applyRead(now, routing.Revision{}, []Item{eraItem(1, 4, "s1", "10.0.0.1:1")}, inEra(1, 9), false), qt.IsNil)
	changes := []Item{eraItem(2, 11, "s2", "10.0.0.2:1")}
	c.Assert(entry.applyRead(now, inEra(1, 9), changes, inEra(2, 11), false), qt.ErrorIs, errEraChanged)
	c.Assert(entry.View().Revision(), qt.Equals, inEra(1, 9))
	c.Assert(entry.View().Usable("s2"), qt.IsFalse)

	// Also if a peer sent the content of that era meanwhile.
	c.Assert(entry.applyRead(now, routing.Revision{}, []Item{eraItem(2, 4, "s1", "10.0.0.1:1")}, inEra(2, 5), false), qt.IsNil)
	c.Assert(entry.applyRead(now, inEra(1, 9), changes, inEra(2, 11), false), qt.ErrorIs, errEraChanged)
	c.Assert(entry.View().Revision(), qt.Equals, inEra(2, 5))

	// A late response of the earlier era changes nothing.
	c.Assert(entry.applyRead(now, inEra(1, 9), []Item{eraItem(1, 12, "s2", "10.0.0.2:1")}, inEra(1, 12), false), qt.ErrorIs, errEarlierEra)
	c.Assert(entry.applyRead(now, routing.Revision{}, []Item{eraItem(1, 12, "s2", "10.0.0.2:1")}, inEra(1, 12), false), qt.ErrorIs, errEarlierEra)
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
	reply := from.itemsSince(now, since)
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
	list := []Item{eraItem(1, 4, "s1", "10.0.0.1:1"), eraItem(1, 20, "s2", "10.0.0.2:1")}
	for _, entry := range []*control{ahead, behind} {
		c.Assert(entry.applyRead(now, routing.Revision{}, list, inEra(1, 20), false), qt.IsNil)
	}
	c.Assert(ahead.applyRead(now, routing.Revision{}, []Item{eraItem(2, 4, "s1", "10.0.0.1:1"), eraItem(2, 9, "s3", "10.0.0.3:1")}, inEra(2, 9), false), qt.IsNil)
	pull(c, now, behind, ahead)
	c.Assert(ahead.View().Revision(), qt.Equals, inEra(2, 9))
	pull(c, now, ahead, behind)
	c.Assert(behind.View().Revision(), qt.Equals, inEra(2, 9))
	c.Assert(behind.View().Usable("s3"), qt.IsTrue)

	// Changes fetched before the cache moved on to another era do not continue it.
	reply := itemsReply{Revision: inEra(2, 30).Packed()}
	behind.applyItems(now, "e1", inEra(1, 20), reply, []Item{eraItem(2, 30, "s9", "10.0.0.9:1")})
	c.Assert(behind.View().Revision(), qt.Equals, inEra(2, 9))
	c.Assert(behind.newerPeers, qt.HasLen, 1) // fetched again
}
