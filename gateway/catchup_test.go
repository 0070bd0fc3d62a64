package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/mesh"
	"greengagedock.example/routing"
	"greengagedock.example/timer"
)

// newRunningEntry returns an entry without a limit of memory whose control loop runs.
func newRunningEntry(t *testing.T, id string) *control {
	entry := newControl(NewSettings(id, "a", "r"), 1, testDecode, hclog.NewNullLogger(), &timer.Service{})
	stop := make(chan struct{})
	go entry.run(stop)
	t.Cleanup(func() { close(stop) })
	return entry
}

// connect serves the calls of an entry, and has another one fetch items by a client.
func connect(t *testing.T, from, to *control) (address string, client *mesh.Client) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := mesh.NewServer(from.handle)
	go func() { _ = server.Serve(listener) }() // ends with the listener
	client = mesh.NewClient(NewTimeouts(Bounds{}).Dialer())
	ctx, cancel := context.WithCancel(context.Background())
	go to.catchUp(ctx, client)
	t.Cleanup(func() {
		cancel()
		listener.Close()
		server.Close()
	})
	return listener.Addr().String(), client
}

// await waits until a condition holds.
func await(c *qt.C, limit time.Duration, what string, holds func() bool) {
	c.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf(what))
	}
}

// Guards against an entry that never follows the store again, since what it lacks does not fit
// into one message, and against calls that fail beside: a whole list, and changes of all kinds.
func TestEntryFollowsBeyondOneMessage(t *testing.T) {
	const items = 32_000
	c := qt.New(t)
	ahead, behind := newRunningEntry(t, "e1"), newRunningEntry(t, "e2")
	address, client := connect(t, ahead, behind)
	publish := func(first, number int64, more ...Item) routing.Revision {
		list := more
		for i := range int64(items) {
			list = append(list, item(fmt.Sprint("s", first+i), number+i, fmt.Sprintf("10.0.0.1:%0300d", i)))
		}
		last := at(number + items + 10)
		ahead.do(func(now time.Time) {
			if ahead.cache.revision.IsZero() {
				ahead.cache.replace(now, list, last)
			} else {
				ahead.cache.applyChanges(now, list, last)
			}
			ahead.cacheChanged(now)
		})
		return last
	}
	follow := func(revision routing.Revision) {
		c.Helper()
		await(c, 20*time.Second, "the entry does not follow", func() bool {
			select {
			case behind.newerPeers <- address:
			default:
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			c.Assert(client.Call(ctx, address, callHeartbeat, heartbeatMessage{From: testMember("e3", 1, memberReady)}, new(heartbeatMessage)), qt.IsNil)
			return behind.View().Revision() == revision
		})
		c.Assert(len(behind.View().Servers()), qt.Equals, len(ahead.View().Servers()))
	}
	follow(publish(0, 10, item("config", 1, "1")))
	c.Assert(len(behind.View().Servers()), qt.Equals, items)
	last := publish(items/2, 1_000_000, item("config", 999_999, "2"), NewRemovedItem("s3", at(1_000_005)), NewRemovedItem("s4", at(1_000_005)))
	follow(last)
	c.Assert(len(behind.View().Servers()), qt.Equals, items+items/2-2)
	c.Assert(behind.View().Table().Version(), qt.Equals, int64(2))
}

// Guards against parts that are longer than what an entry may take at a time, and against parts
// for an entry that does not understand them.
func TestPartsOfItems(t *testing.T) {
	c := qt.New(t)
	ahead := newRunningEntry(t, "e1")
	list := []Item{item("config", 1, "1")}
	for i := range int64(20_000) {
		list = append(list, item(fmt.Sprintf("s%05d", i), 2+i, fmt.Sprintf("10.0.0.1:%0300d", i)))
	}
	ahead.do(func(now time.Time) {
		ahead.cache.replace(now, list[:1], at(1))
		ahead.cache.applyChanges(now, list[1:], at(30_000))
	})
	for since, full := range map[int64]bool{0: true, 1: false} {
		keys := make(map[string]bool)
		call := itemsMessage{Revision: at(since).Packed(), Parts: true}
		for more := true; more; {
			reply, err := ahead.handleItems(call)
			c.Assert(err, qt.IsNil)
			c.Assert(reply.Full, qt.Equals, full)
			c.Assert(reply.EncodedBytes() <= maxPartBytes, qt.IsTrue)
			for _, item := range reply.Items {
				c.Assert(keys[item.Key], qt.IsFalse)
				keys[item.Key] = true
			}
			if more = reply.More; full {
				call.After = reply.Items[len(reply.Items)-1].Key
			} else {
				call.Revision = reply.Revision
			}
		}
		c.Assert(keys, qt.HasLen, len(list)-int(since))
	}
	_, err := ahead.handleItems(itemsMessage{})
	c.Assert(err, qt.ErrorIs, errReplyTooLong)
	reply, err := ahead.handleItems(itemsMessage{Revision: at(1).Packed()})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Full, qt.IsFalse)
	c.Assert(reply.EncodedBytes() <= maxWholeBytes, qt.IsTrue)
	c.Assert(reply.Revision, qt.Equals, at(int64(len(reply.Items))+1).Packed())
}

// Guards against changes that an entry never gets: an item of a list may be newer than the list, and
// a part that ends with it must not count as all changes up to there.
func TestPartEndsWithinKnownRevision(t *testing.T) {
	c := qt.New(t)
	ahead := newRunningEntry(t, "e1")
	long := strings.Repeat("x", maxPartBytes)
	ahead.do(func(now time.Time) {
		ahead.cache.replace(now, []Item{item("config", 1, "1")}, at(1))
		ahead.cache.replace(now, []Item{item("config", 1, "1"), item("s1", 9, long), item("s2", 8, long)}, at(5))
		ahead.cache.removalsSince, ahead.cache.listedAt = at(1), at(1)
	})
	reply, err := ahead.handleItems(itemsMessage{Revision: at(2).Packed(), Parts: true})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.More, qt.IsTrue)
	c.Assert(reply.Revision, qt.Equals, at(5).Packed())
}

// Guards against an entry that knows of a later revision for ever, whatever keeps other entries
// from sending it what it lacks: it reads the store.
func TestEntryThatStaysBehindReadsStore(t *testing.T) {
	compressed := mesh.Compress(strings.Repeat(" ", maxValueBytes), 1)
	var packed []itemMessage
	for i := range int64(100) {
		packed = append(packed, itemMessage{Key: fmt.Sprint("s", i), Revision: at(10 + i).Packed(), Compressed: compressed})
	}
	for name, reply := range map[string]func() (any, error){
		"refused": func() (any, error) { return nil, errors.New("no") },
		"malformed item": func() (any, error) {
			return itemsReply{Revision: at(200).Packed(), Items: []itemMessage{{Key: "s1", Revision: at(11).Packed(), Compressed: []byte{1}}}}, nil
		},
		"much more once unpacked": func() (any, error) { return itemsReply{Revision: at(200).Packed(), Items: packed}, nil },
		"too long": func() (any, error) {
			return itemsReply{Revision: at(200).Packed(), Items: []itemMessage{{Key: "s1", Revision: at(11).Packed(), Value: bytes.Repeat([]byte("x"), 9<<20)}}}, nil
		},
		"no progress": func() (any, error) { return itemsReply{}, nil },
		"silence":     func() (any, error) { time.Sleep(10 * time.Second); return itemsReply{}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			server := mesh.NewServer(func(string, []byte) (any, error) { return reply() })
			go func() { _ = server.Serve(listener) }() // ends with the listener
			c.Cleanup(func() {
				listener.Close()
				server.Close()
			})
			entry := newRunningEntry(t, "e1")
			store := &listedStore{items: []Item{item("config", 1, "1")}, revision: at(1)}
			_, err = entry.readStore(t.Context(), store, routing.Revision{}, time.Time{})
			c.Assert(err, qt.IsNil)
			store.items, store.revision = append(store.items, item("s1", 200, "10.0.0.1:1")), at(200)

			ctx, cancel := context.WithCancel(context.Background())
			c.Cleanup(cancel)
			go entry.catchUp(ctx, mesh.NewClient(NewTimeouts(Bounds{}).Dialer()))
			hear := func() {
				entry.do(func(now time.Time) {
					for i := range 2 * storeWatcherCount {
						from := testMember(fmt.Sprint("watcher-", i), 1, memberReady)
						from.PeerAddress = listener.Addr().String()
						entry.applyHeartbeat(now, heartbeatMessage{From: from, Revision: at(200).Packed()})
					}
					// This entry is the last in the order of those that watch the store.
					for entry.members.watchesStore(now) {
						entry.members.self.ID += "x"
					}
				})
			}
			hear()
			go entry.watch(ctx, store)
			start := time.Now()
			await(c, 10*time.Second, "the entry does not follow", func() bool {
				hear()
				return entry.View().Revision() == at(200)
			})
			c.Assert(time.Since(start) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			c.Assert(entry.View().Usable("s1"), qt.IsTrue)
			entry.do(func(now time.Time) {
				c.Check(entry.lag.reads, qt.Equals, int64(1))
				c.Check(entry.lag.behindFor(now), qt.Equals, time.Duration(0))
			})
		})
	}
}

// Guards against an entry that reads the store all the time for a revision that the store does not
// have, or while it gets nearer to what others have.
func TestLagIsReadOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	none := func() time.Duration { return 0 }
	l := lag{newest: at(9)}
	l.update(now, at(1), none)
	c.Assert(l.late(now.Add(behindTimeout-1)), qt.IsFalse)
	c.Assert(l.late(now.Add(behindTimeout)), qt.IsTrue)
	l.update(now.Add(behindTimeout), at(2), none)
	c.Assert(l.late(now.Add(behindTimeout)), qt.IsFalse)
	l.update(now.Add(2*behindTimeout), at(2), none)
	c.Assert(l.late(now.Add(2*behindTimeout)), qt.IsTrue)
	l.noteRead()
	l.update(now.Add(2*behindTimeout), at(2), none)
	c.Assert(l.late(now.Add(3*behindTimeout)), qt.IsFalse)
	c.Assert(l.reads, qt.Equals, int64(1))
}
