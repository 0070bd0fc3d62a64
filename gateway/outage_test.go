package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/routing"
	"greengagedock.example/timer"
)

// errCut is the error for a read whose connection was reset, or that was refused.
var errCut = errors.New("connection reset")

// faultyStore is a store that cuts watches and may be away.
type faultyStore struct {
	mu      sync.Mutex
	items   []Item // changes in their order
	changed chan struct{}
	// longestWatch is how long a watch may wait until it is cut, 0 if none is.
	longestWatch time.Duration
	// away is set while the store does not answer, and silent if it does not refuse either.
	away, silent bool
}

func newFaultyStore(items ...Item) *faultyStore {
	return &faultyStore{items: items, changed: make(chan struct{})}
}

// set changes the store.
func (s *faultyStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultyStore) put(item Item) { s.set(func() { s.items = append(s.items, item) }) }

func (s *faultyStore) List(ctx context.Context, into Collector) (routing.Revision, error) {
	return s.Watch(ctx, routing.Revision{}, time.Millisecond, into)
}

func (s *faultyStore) Watch(ctx context.Context, after routing.Revision, wait time.Duration, into Collector) (routing.Revision, error) {
	end, timeout, cut := time.After(wait), time.After(wait+800*time.Millisecond), make(<-chan time.Time)
	s.mu.Lock()
	if s.longestWatch > 0 {
		cut = time.After(s.longestWatch)
	}
	s.mu.Unlock()
	for ended := false; ; {
		s.mu.Lock()
		items, changed, away, silent := s.items, s.changed, s.away, s.silent
		s.mu.Unlock()
		last := items[len(items)-1].revision
		switch {
		case away && !silent:
			return routing.Revision{}, errCut
		case !away && (ended || last.After(after)):
			for _, item := range items {
				if item.revision.After(after) {
					into.Add(item)
				}
			}
			return last, nil
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-cut:
			return routing.Revision{}, errCut
		case <-timeout:
			return routing.Revision{}, ErrSilent
		case <-ctx.Done():
			return routing.Revision{}, ctx.Err()
		}
	}
}

// reportInterval is that of the servers in these tests, and expiry the time after which a server
// that is silent is removed.
const (
	reportInterval = 1200 * time.Millisecond
	expiry         = 3 * reportInterval
)

// newWatchingEntry returns a running entry that watches a store.
func newWatchingEntry(t *testing.T, id string, store Source) *control {
	settings := NewSettings(id, "a", "r").WithBounds(NewBounds(0, 0, 0).WithReports(reportInterval))
	entry := newControl(settings, 1, testDecode, hclog.NewNullLogger(), &timer.Service{})
	stop := make(chan struct{})
	go entry.run(stop)
	ctx, cancel := context.WithCancel(context.Background())
	if store != nil {
		go entry.watch(ctx, store)
		await(qt.New(t), 2*time.Second, "content", func() bool { return entry.View().Usable("s1") })
	}
	t.Cleanup(func() {
		cancel()
		close(stop)
	})
	return entry
}

// hearFrom has an entry hear the response to a heartbeat from another one which the store has
// answered so long ago.
func hearFrom(entry *control, age time.Duration) {
	entry.do(func(now time.Time) { entry.hearAnswer(now, now, age) })
}

// takeOver has an entry take over what another one has and it lacks.
func takeOver(c *qt.C, from, to *control, earlierVersion bool) {
	since := to.View().Revision()
	reply, err := from.handleItems(itemsMessage{Revision: since.Packed(), Parts: true})
	c.Assert(err, qt.IsNil)
	if earlierVersion {
		reply.Outage = 0
	}
	items := to.newCollector(reply.Full)
	c.Assert(items.addMessages(reply.Items), qt.IsNil)
	to.do(func(now time.Time) { to.applyItems(now, "", since, reply, items.items) })
	c.Assert(to.View().Revision(), qt.Equals, from.View().Revision())
}

// Guards against a server that is used after it has left since a watch that was cut after a wait
// counts as an outage of the store.
func TestServerLeavesBesideCutWatches(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := newFaultyStore(item("config", 1, "1"), item("s1", 2, "10.0.0.1:1"))
	entry := newWatchingEntry(t, "e1", store)
	store.set(func() { store.longestWatch = 1050 * time.Millisecond })
	for i := range int64(4) {
		time.Sleep(1300 * time.Millisecond)
		key := fmt.Sprint("s", i+1)
		store.put(item(fmt.Sprint("s", i+2), 10+2*i, "10.0.0.1:1"))
		store.put(NewRemovedItem(key, at(11+2*i)))
		await(c, 500*time.Millisecond, key+" is still used", func() bool { return !entry.View().Usable(key) })
	}
}

// Guards against servers that are lost with the store: those that expire in an outage, however it
// begins, are kept until they can be back, also by an entry that has seen it through another one
// alone, of this version or an earlier one.
func TestServersThatExpireInOutageAreKept(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, wait := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
			for _, earlier := range []bool{false, true} {
				t.Run(fmt.Sprintf("silent=%v,wait=%v,earlier=%v", silent, wait, earlier), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					store := newFaultyStore(item("config", 1, "1"), item("s1", 2, "10.0.0.1:1"), item("s2", 2, "10.0.0.2:1"))
					watcher, standby := newWatchingEntry(t, "e1", store), newWatchingEntry(t, "e2", nil)
					takeOver(c, watcher, standby, earlier)
					time.Sleep(wait)
					hearFrom(standby, wait)
					store.set(func() { store.away, store.silent = true, silent })
					time.Sleep(expiry)
					store.set(func() {
						store.items = append(store.items, NewRemovedItem("s1", at(5)), NewRemovedItem("s2", at(6)))
						store.away = false
					})
					back := time.Now()
					await(c, 4*time.Second, "store is back", func() bool { return watcher.View().Revision() == at(6) })
					takeOver(c, watcher, standby, earlier)
					c.Assert(time.Since(back) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(back)))
					for _, entry := range []*control{watcher, standby} {
						c.Check(entry.View().Usable("s1"), qt.IsTrue)
						c.Check(entry.View().Usable("s2"), qt.IsTrue)
					}
					store.put(item("s1", 7, "10.0.0.1:1"))
					await(c, time.Second, "s1 is back", func() bool { return watcher.View().Revision() == at(7) })
					takeOver(c, watcher, standby, earlier)
					for _, entry := range []*control{watcher, standby} {
						await(c, 2*removalGrace, "s2 is still used", func() bool { return !entry.View().Usable("s2") })
						c.Check(entry.View().Usable("s1"), qt.IsTrue)
					}
				})
			}
		}
	}
}

// Guards against servers that are used after they have left, since one entry has lost its own way
// to the store, or stood still: it does not keep them, and tells nobody to.
func TestOwnWayAwayIsNoOutage(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent=%v", silent), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := newFaultyStore(item("config", 1, "1"), item("s1", 2, "10.0.0.1:1"))
			entry, standby := newWatchingEntry(t, "e1", store), newWatchingEntry(t, "e2", nil)
			takeOver(c, entry, standby, false)
			store.set(func() { store.away, store.silent = true, silent })
			for range 12 {
				time.Sleep(heartbeatInterval)
				hearFrom(entry, 100*time.Millisecond)
			}
			store.set(func() {
				store.items, store.away = append(store.items, NewRemovedItem("s1", at(5))), false
			})
			await(c, 4*time.Second, "store is back", func() bool { return entry.View().Revision() == at(5) })
			c.Assert(entry.View().Usable("s1"), qt.IsFalse)
			takeOver(c, entry, standby, false)
			c.Assert(standby.View().Usable("s1"), qt.IsFalse)
			entry.do(func(time.Time) { c.Check(entry.outages, qt.Equals, int64(0)) })
		})
	}
}

// Guards against an entry that was cut off from all others too: it learns only later that the store
// has answered them, and then keeps no server for an outage that there was not.
func TestContradictedOutageEnds(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	entry := newControl(NewSettings("e1", "a", "r"), 1, testDecode, hclog.NewNullLogger(), &timer.Service{})
	read := func(now time.Time, revision routing.Revision, awaySince time.Time, items ...Item) {
		c.Assert(entry.applyRead(now, revision, items, items[len(items)-1].revision, awaySince), qt.IsNil)
	}
	read(now, routing.Revision{}, time.Time{}, item("s1", 1, "10.0.0.1:1"), item("s2", 2, "10.0.0.1:1"))
	later := now.Add(6 * time.Second)
	read(later, at(2), now, NewRemovedItem("s1", at(3)))
	c.Assert(entry.View().Usable("s1"), qt.IsTrue)
	// The store was away for the first part of that time.
	entry.hearAnswer(later.Add(10*time.Millisecond), later, time.Second)
	c.Assert(entry.View().Usable("s1"), qt.IsTrue)
	c.Assert(entry.cache.recoveredAt, qt.Equals, later.Add(-time.Second))
	entry.hearAnswer(later.Add(20*time.Millisecond), later, 3500*time.Millisecond)
	c.Assert(entry.View().Usable("s1"), qt.IsFalse)
	c.Assert(entry.cache.recoveredAt.IsZero(), qt.IsTrue)
	read(later.Add(30*time.Millisecond), at(3), time.Time{}, NewRemovedItem("s2", at(4)))
	c.Assert(entry.View().Usable("s2"), qt.IsFalse)
}

// Guards against entries that were in touch with the store all the while, and keep servers since
// another one, of any version, says that it was away.
func TestEntryInTouchIgnoresOutageOfAnother(t *testing.T) {
	for name, length := range map[string]time.Duration{"this version": 5 * time.Second, "earlier version": 0} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(100, 0)
			entry := newControl(NewSettings("e1", "a", "r"), 1, testDecode, hclog.NewNullLogger(), &timer.Service{})
			c.Assert(entry.applyRead(now, routing.Revision{}, []Item{item("s1", 1, "10.0.0.1:1")}, at(1), time.Time{}), qt.IsNil)
			for range 4 {
				now = now.Add(2 * time.Second)
				c.Assert(entry.applyRead(now, at(1), nil, at(1), time.Time{}), qt.IsNil)
			}
			now = now.Add(time.Second)
			reply := itemsReply{Revision: at(2).Packed(), SinceRecovery: 100 * time.Millisecond, Outage: length}
			entry.applyItems(now, "", at(1), reply, []Item{NewRemovedItem("s1", at(2))})
			c.Assert(entry.View().Usable("s1"), qt.IsFalse)
		})
	}
}

// An outage is a time without an answer to anybody. A standby entry that begins to watch counts
// from the last answer to another one.
func TestLastOutage(t *testing.T) {
	const least = 2 * time.Second
	start := time.Unix(100, 0)
	for _, test := range []struct {
		answers string // a dot for each half second, an x where there is an answer
		want    string // the first and the last half second, empty for none
	}{
		{"x...x", "0 4"},
		{"x..x", ""},
		{"x...x...x", ""},
		{"x....x....x", ""},
		{"x......x....x", "0 7"},
		{"x......x......x", "7 14"},
		{"x........x", "0 9"},
	} {
		c := qt.New(t)
		var answers storeAnswers
		for i, answer := range test.answers {
			if answer == 'x' {
				answers.add(start.Add(time.Duration(i) * time.Second / 2))
			}
		}
		within := outage{start, start.Add(time.Duration(len(test.answers)-1) * time.Second / 2)}
		found, ok := answers.lastOutage(within, least)
		got := ""
		if ok {
			got = strings.TrimSpace(fmt.Sprint(int(found.from.Sub(start)*2/time.Second), int(found.to.Sub(start)*2/time.Second)))
		}
		c.Check(got, qt.Equals, test.want, qt.Commentf(test.answers))
	}
	c := qt.New(t)
	var answers storeAnswers
	c.Assert(answers.last().IsZero(), qt.IsTrue)
	for i := range 3 * maxAnswers {
		answers.add(start.Add(time.Duration(i) * time.Second))
		answers.add(start.Add(time.Duration(i)*time.Second + answerResolution/2))
	}
	c.Assert(answers.times, qt.HasLen, maxAnswers)
	c.Assert(answers.last(), qt.Equals, start.Add((3*maxAnswers-1)*time.Second))
	entry := newWatchingEntry(t, "e1", nil)
	hearFrom(entry, time.Minute)
	c.Assert(time.Since(entry.lastStoreAnswer()) > 50*time.Second, qt.IsTrue)
}
