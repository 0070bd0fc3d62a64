package gateway

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagedock.example/routing"
)

// storeWrite is a change of a key in the order of all changes; an empty value removes it.
type storeWrite struct {
	sequence int
	key      string
	value    string
}

// restorableStore is a store that is restored from copies. Each era has its own line of
// changes, which begins with those of the copy; the number of a revision is the length
// of the line up to it.
type restorableStore struct {
	eras      [][]storeWrite
	compacted int
	sequence  int
}

func (s *restorableStore) line() []storeWrite { return s.eras[len(s.eras)-1] }

func (s *restorableStore) revision() routing.Revision {
	return inEra(int64(len(s.eras)), int64(len(s.line())))
}

func (s *restorableStore) write(key, value string) {
	s.sequence++
	last := len(s.eras) - 1
	s.eras[last] = append(s.eras[last], storeWrite{s.sequence, key, value})
}

// restore restores the store from a copy that lacks the last changes.
func (s *restorableStore) restore(lacks int) {
	line := s.line()
	kept := max(1, len(line)-lacks)
	s.eras = append(s.eras, slices.Clone(line[:kept]))
	s.compacted = min(s.compacted, kept)
}

// at returns the last change of each key that is there at a revision, and its number.
func (s *restorableStore) at(revision routing.Revision) (map[string]storeWrite, map[string]int64) {
	writes, numbers := make(map[string]storeWrite), make(map[string]int64)
	for i, write := range s.eras[revision.Era()-1][:revision.Number()] {
		writes[write.key], numbers[write.key] = write, int64(i+1)
	}
	return writes, numbers
}

// values returns the content at a revision.
func (s *restorableStore) values(revision routing.Revision) map[string]string {
	out := make(map[string]string)
	writes, _ := s.at(revision)
	for key, write := range writes {
		if write.value != "" {
			out[key] = write.value
		}
	}
	return out
}

// read lists all items if after is zero, else returns the changes after it.
func (s *restorableStore) read(after routing.Revision) ([]Item, routing.Revision, error) {
	now := s.revision()
	var items []Item
	if after.IsZero() {
		writes, numbers := s.at(now)
		for key, write := range writes {
			if write.value != "" {
				items = append(items, eraItem(now.Era(), numbers[key], key, write.value))
			}
		}
		return items, now, nil
	}
	if after.Number() > now.Number() || after.Number() < int64(s.compacted) {
		return nil, routing.Revision{}, ErrCompacted
	}
	for i, write := range s.line()[after.Number():] {
		revision := inEra(now.Era(), after.Number()+int64(i)+1)
		item := NewItem(write.key, revision, []byte(write.value))
		if write.value == "" {
			item = NewRemovedItem(write.key, revision)
		}
		items = append(items, item)
	}
	return items, now, nil
}

// restoreEntry is an entry of the world, with what it must not take back.
type restoreEntry struct {
	*control
	watch routing.Revision
	// version is the highest configuration that it served.
	version int64
	// left holds, by server, the last change by which the server left as seen by the
	// entry, evacuated the same for evacuations.
	left      map[string]departedServer
	evacuated map[string]storeWrite
	// listed holds the start of the incarnation last listed, by server.
	listed map[string]int64
	// era is that of its content since eraAt.
	era   int64
	eraAt time.Time
}

// departedServer is an incarnation of a server that an entry has seen leave.
type departedServer struct {
	storeWrite
	start    int64
	draining bool
}

// restoreWorld plays a store, its writers and entries in virtual time. Messages are
// captured when they are sent and delivered later, in any order, or never.
type restoreWorld struct {
	t       *rapid.T
	now     time.Time
	store   restorableStore
	entries []*restoreEntry
	started int
	// pending holds the deliveries of messages under way.
	pending []func()
	// truth is what the writers want the store to hold.
	truth    map[string]string
	restored time.Time
}

var (
	worldServers = []string{"s1", "s2", "s3"}
	worldDomains = []string{"evacuate/a", "evacuate/b"}
)

func newRestoreWorld(t *rapid.T, entries int) *restoreWorld {
	w := &restoreWorld{t: t, now: time.Unix(1000, 0), truth: make(map[string]string)}
	w.store.eras = [][]storeWrite{nil}
	w.set("config", "1")
	for _, id := range worldServers {
		w.set(id, "ready 1")
	}
	for range entries {
		w.entries = append(w.entries, nil)
	}
	for i := range w.entries {
		w.start(i)
	}
	return w
}

// set has a writer write a key, or remove it.
func (w *restoreWorld) set(key, value string) {
	if value == "" {
		delete(w.truth, key)
	} else {
		w.truth[key] = value
	}
	w.store.write(key, value)
}

// start replaces an entry by a fresh one.
func (w *restoreWorld) start(i int) {
	w.started++
	w.entries[i] = &restoreEntry{control: newStoreEntry(fmt.Sprint("e", w.started)), left: make(map[string]departedServer), evacuated: make(map[string]storeWrite), listed: make(map[string]int64)}
}

// read has an entry read the store; the response arrives later.
func (w *restoreWorld) read(e *restoreEntry) {
	if !e.watch.IsZero() && e.cache.revision.Era() > e.watch.Era() {
		e.watch = e.cache.revision
	}
	after := e.watch
	items, next, err := w.store.read(after)
	w.send(func() {
		if err == nil {
			err = e.applyRead(w.now, after, items, next, time.Time{})
		}
		switch {
		case err == nil:
			e.watch = next
		case errors.Is(err, ErrCompacted):
			e.watch = routing.Revision{}
		case errors.Is(err, errEraChanged):
			e.watch = e.resume(next)
		}
		w.check(e)
	})
}

// gossip sends a heartbeat from one entry to another, its response, and items if that
// one is behind; each arrives later.
func (w *restoreWorld) gossip(from, to *restoreEntry) {
	heartbeat := from.withKeptDigest(from.newHeartbeat(w.now, heartbeatTarget{}))
	w.send(func() {
		to.applyKept(w.now, heartbeat)
		reply := to.answerKept(w.now, heartbeat, to.answerHeartbeat(w.now, heartbeat))
		w.fetch(from, to)
		w.check(to)
		w.send(func() {
			from.applyHeartbeat(w.now, reply)
			from.applyKept(w.now, reply)
			w.fetch(to, from)
			w.check(from)
		})
	})
}

func (w *restoreWorld) fetch(from, to *restoreEntry) {
	select {
	case <-to.newerPeers:
	default:
		return
	}
	since := to.View().Revision()
	w.send(func() {
		reply, _ := from.itemsSince(w.now, itemsMessage{Revision: since.Packed()})
		w.send(func() {
			var items []Item
			for _, message := range reply.Items {
				item, err := message.decode()
				if err != nil {
					w.t.Fatal(err)
				}
				items = append(items, item)
			}
			to.applyItems(w.now, from.settings.ID(), since, reply, items)
			w.fetch(from, to)
			w.check(to)
		})
	})
}

func (w *restoreWorld) send(deliver func()) { w.pending = append(w.pending, deliver) }

// deliver delivers one message under way, or loses it.
func (w *restoreWorld) deliver(i int, lose bool) {
	deliver := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	if !lose {
		deliver()
	}
}

// settle has all entries read the store and gossip, without loss, until nothing is
// under way.
func (w *restoreWorld) settle() {
	for range 4 + len(w.entries) {
		for _, e := range w.entries {
			w.read(e)
		}
		for i, e := range w.entries {
			w.gossip(e, w.entries[(i+1)%len(w.entries)])
		}
		for len(w.pending) > 0 {
			w.deliver(0, false)
		}
	}
}

// rewrite has the writer of a key that the restored store has wrong write it again.
func (w *restoreWorld) rewrite() bool {
	values := w.store.values(w.store.revision())
	var wrong []string
	for _, key := range slices.Concat(worldServers, worldDomains, []string{"config"}) {
		if values[key] != w.truth[key] {
			wrong = append(wrong, key)
		}
	}
	if len(wrong) == 0 {
		return false
	}
	key := wrong[w.pick("key", len(wrong))]
	w.store.write(key, w.truth[key])
	return true
}

// advance lets time pass. The store expires the keys of servers that are gone within
// restoreGrace after a restore.
func (w *restoreWorld) advance(d time.Duration) {
	w.now = w.now.Add(d)
	if w.now.Sub(w.restored) >= restoreGrace/3 {
		for _, id := range worldServers {
			if w.truth[id] == "" && w.store.values(w.store.revision())[id] != "" {
				w.store.write(id, "")
			}
		}
	}
	for _, e := range w.entries {
		if e.cache.expireKept(w.now) {
			e.cacheChanged(w.now)
		}
		w.check(e)
	}
}

func (w *restoreWorld) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

// start returns the start time in a server's value.
func serverStart(value string) int64 {
	_, text, _ := strings.Cut(value, " ")
	start, _ := strconv.ParseInt(text, 10, 64)
	return start
}

// writtenSince reports whether a key was written after a change, by a writer and not by
// a restore, with a value that the function accepts.
func (w *restoreWorld) writtenSince(change storeWrite, accept func(value string) bool) bool {
	for _, line := range w.store.eras {
		for _, write := range line {
			if write.key == change.key && write.sequence > change.sequence && accept(write.value) {
				return true
			}
		}
	}
	return false
}

// check checks what holds at any time in one lifetime of an entry.
func (w *restoreWorld) check(e *restoreEntry) {
	view := e.View()
	if view.Revision().IsZero() {
		return
	}
	if e.era != view.Revision().Era() {
		if view.Revision().Era() < e.era {
			w.t.Fatalf("era went back from %d to %v", e.era, view.Revision())
		}
		e.era, e.eraAt = view.Revision().Era(), w.now
	}
	items := make(map[string]string)
	for key, item := range e.cache.items {
		items[key] = string(item.value)
	}
	if want := w.store.values(view.Revision()); !maps.Equal(items, want) {
		w.t.Fatalf("%s at %v has %v, not %v", e.settings.ID(), view.Revision(), items, want)
	}
	if table := view.Table(); table != nil {
		if table.Version() < e.version {
			w.t.Fatalf("configuration went back from %d to %d", e.version, table.Version())
		}
		e.version = table.Version()
	}
	bounded := w.now.Sub(e.eraAt) >= restoreGrace
	writes, _ := w.store.at(view.Revision())
	for _, id := range worldServers {
		server, listed := view.Servers()[id]
		if left, ok := e.left[id]; ok && listed && !server.Draining() && server.StartUnixMilli() <= left.start {
			back := func(value string) bool { return strings.HasPrefix(value, "ready") }
			if left.draining || !bounded && !w.writtenSince(left.storeWrite, back) {
				w.t.Fatalf("%s used again after it left at %d", id, left.sequence)
			}
		}
		if listed {
			e.listed[id] = server.StartUnixMilli()
		}
		write := writes[id]
		// A server that a new era lacks may be kept for a while: it has not left then.
		if listed && !server.Draining() || write.key == "" || strings.HasPrefix(write.value, "ready") || write.sequence <= e.left[id].sequence {
			continue
		}
		left := departedServer{storeWrite: write, start: e.listed[id], draining: strings.HasPrefix(write.value, "draining")}
		left.draining = left.draining || e.left[id].draining && e.left[id].start == left.start
		e.left[id] = left
	}
	for _, key := range worldDomains {
		// The servers of the world are in domain "a".
		if change, ok := e.evacuated[key]; ok && key == "evacuate/a" && !bounded && !w.writtenSince(change, func(string) bool { return true }) {
			for _, id := range worldServers {
				if view.Usable(id) {
					w.t.Fatalf("%s used in an evacuated domain", id)
				}
			}
		}
		if write := writes[key]; write.sequence > e.evacuated[key].sequence {
			if write.value == "" {
				delete(e.evacuated, key)
			} else {
				e.evacuated[key] = write
			}
		}
	}
}

// checkAgreement checks that entries that hear each other have the same configuration in
// force, also where the store has only an older one.
func (w *restoreWorld) checkAgreement() {
	highest := int64(0)
	for _, e := range w.entries {
		highest = max(highest, e.View().Table().Version())
	}
	for _, e := range w.entries {
		if got := e.View().Table().Version(); got != highest {
			w.t.Fatalf("%s has configuration %d in force, another entry %d", e.settings.ID(), got, highest)
		}
	}
}

// step plays one random step.
func (w *restoreWorld) step() {
	entry := func(label string) *restoreEntry { return w.entries[w.pick(label, len(w.entries))] }
	switch w.pick("step", 16) {
	case 0:
		version, _ := strconv.Atoi(w.truth["config"])
		w.set("config", strconv.Itoa(version+1))
	case 1, 2:
		id := worldServers[w.pick("server", len(worldServers))]
		start := serverStart(w.truth[id])
		switch value := w.truth[id]; {
		case value == "":
			w.set(id, fmt.Sprint("ready ", 2+w.store.sequence))
		case strings.HasPrefix(value, "draining"):
			w.set(id, "")
		default:
			w.set(id, []string{"", fmt.Sprint("draining ", start), fmt.Sprint("ready ", 2+w.store.sequence)}[w.pick("change", 3)])
		}
	case 3:
		// The key expires although the server lives, which writes it again.
		id := worldServers[w.pick("server", len(worldServers))]
		if value := w.truth[id]; value != "" {
			w.set(id, "")
			w.set(id, value)
		}
	case 4:
		key := worldDomains[w.pick("domain", len(worldDomains))]
		if w.truth[key] == "" {
			w.set(key, "{}")
		} else {
			w.set(key, "")
		}
	case 5:
		w.store.restore(w.pick("lacks", 8))
		w.restored = w.now
	case 6:
		w.rewrite()
	case 7:
		w.start(w.pick("entry", len(w.entries)))
	case 8:
		if w.pick("all", 4) == 0 {
			for i := range w.entries {
				w.start(i)
			}
		}
	case 9:
		w.store.compacted = len(w.store.line())
	case 10:
		w.advance(time.Duration(w.pick("ms", 4000)) * time.Millisecond)
	case 11:
		w.read(entry("reader"))
	case 12:
		w.gossip(entry("from"), entry("to"))
	case 13:
		for range 6 {
			if len(w.pending) > 0 {
				w.deliver(w.pick("message", len(w.pending)), w.pick("lost", 8) == 0)
			}
		}
	case 14, 15:
		// Most responses arrive at once.
		w.read(entry("prompt_reader"))
		w.deliver(len(w.pending)-1, false)
	}
}

// Restores, cuts, kills, late messages, compactions and rewrites in any order: nothing
// that an entry served goes back in its lifetime, content is never that of another
// revision, and once everything is written again all entries hold it.
func TestRestoreWorld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRestoreWorld(t, rapid.IntRange(1, 4).Draw(t, "entries"))
		if rapid.Bool().Draw(t, "settled") {
			w.settle()
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			w.step()
		}
		w.settle()
		w.checkAgreement()
		for w.rewrite() {
			if rapid.Bool().Draw(t, "read") {
				w.read(w.entries[w.pick("reader", len(w.entries))])
			}
		}
		w.settle()
		version, _ := strconv.ParseInt(w.truth["config"], 10, 64)
		for _, e := range w.entries {
			if got := e.View().Table().Version(); got != version {
				t.Fatalf("configuration %d, not %d, after the last rewrite", got, version)
			}
		}
		w.advance(restoreGrace)
		w.settle()
		w.advance(restoreGrace)
		for _, e := range w.entries {
			if len(e.cache.kept) > 0 {
				t.Fatalf("still kept: %v", e.cache.kept)
			}
			for _, id := range worldServers {
				server := e.View().Servers()[id]
				got := ""
				if server.ID() != "" {
					got = fmt.Sprint("ready ", server.StartUnixMilli())
					if server.Draining() {
						got = fmt.Sprint("draining ", server.StartUnixMilli())
					}
				}
				if got != w.truth[id] {
					t.Fatalf("%s is %q, not %q", id, got, w.truth[id])
				}
			}
			usable := w.truth["evacuate/a"] == ""
			for _, id := range worldServers {
				if want := usable && strings.HasPrefix(w.truth[id], "ready"); e.View().Usable(id) != want {
					t.Fatalf("%s usable %t, not %t", id, !want, want)
				}
			}
		}
	})
}
