package peer

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// TestMain fixes the seed of the stateful fuzzing unless one is given, so that
// every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	fix("rapid.seed", "20261203")
	fix("rapid.checks", "60")
	os.Exit(m.Run())
}

// fix sets a flag that was not given.
func fix(name, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}

// worldMachine drives a world by drawn actions.
type worldMachine struct {
	world *world
	next  int
}

func newWorldMachine(t *rapid.T, broken mutation) *worldMachine {
	seed := rapid.Uint64Range(1, 1<<32).Draw(t, "seed")
	m := &worldMachine{world: newWorld(seed, 5, 4), next: 5}
	m.world.mutation = broken
	m.world.busy = true
	m.world.advance(10 * time.Second)
	return m
}

// node draws a running entry, nil if there is none.
func (m *worldMachine) node(t *rapid.T) *worldNode {
	ids := sortedKeys(m.world.nodes)
	if len(ids) == 0 {
		return nil
	}
	return m.world.nodes[rapid.SampledFrom(ids).Draw(t, "entry")]
}

func (m *worldMachine) server(t *rapid.T) *worldServer {
	return m.world.servers[rapid.SampledFrom(sortedKeys(m.world.servers)).Draw(t, "server")]
}

// actions returns what may happen, each by name.
func (m *worldMachine) actions() map[string]func(*rapid.T) {
	w := m.world
	actions := map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps")) * worldStep)
		},
		"work": m.work, "work on": m.work, "work more": m.work,
		"cut": func(t *rapid.T) {
			if a, b := m.node(t), m.node(t); a != nil && a != b {
				w.cut(a.id, b.id)
			}
		},
		"isolate": func(t *rapid.T) {
			n := m.node(t)
			for _, other := range sortedKeys(w.nodes) {
				if n != nil && other != n.id {
					w.cut(n.id, other)
				}
			}
		},
		"split":          func(t *rapid.T) { m.split(t) },
		"heal":           func(*rapid.T) { w.healAll() },
		"platform cut":   func(t *rapid.T) { m.toggle(t, func(n *worldNode) { n.cutOff = !n.cutOff }) },
		"platform stale": func(*rapid.T) { w.goStale() },
		"platform fresh": func(*rapid.T) { w.platform.stale = false },
		"pause":          func(t *rapid.T) { m.toggle(t, func(n *worldNode) { n.paused = true }) },
		"wake":           func(*rapid.T) { w.wakeAll() },
		"kill":           func(t *rapid.T) { m.toggle(t, func(n *worldNode) { w.killNode(n.id) }) },
		"restart": func(t *rapid.T) {
			m.toggle(t, func(n *worldNode) {
				place := int(n.id[len(n.id)-1] - '0')
				incarnation := n
				w.killNode(n.id)
				w.nodes[n.id] = incarnation
				w.startNode(n.id, place)
			})
		},
		"replace": func(t *rapid.T) { m.replace(rapid.IntRange(1, 3).Draw(t, "count")) },
		"list":    func(*rapid.T) { m.list() },
		"server restart": func(t *rapid.T) {
			w.restartServer(m.server(t))
		},
		"document": func(*rapid.T) { w.publishDocument() },
		"domain out": func(t *rapid.T) {
			w.takeOut(rapid.SampledFrom(worldDomains).Draw(t, "domain"))
		},
		"domain in": func(t *rapid.T) {
			w.bringBack(rapid.SampledFrom(worldDomains).Draw(t, "domain"))
		},
		"": func(t *rapid.T) {
			if len(w.faults) > 0 {
				w.dump(t)
				t.Fatalf("faults: %v", w.faults)
			}
		},
	}
	return actions
}

// work lets time pass under load.
func (m *worldMachine) work(t *rapid.T) {
	m.world.advance(time.Duration(rapid.IntRange(1, 10).Draw(t, "seconds")) * time.Second)
}

func (m *worldMachine) toggle(t *rapid.T, change func(*worldNode)) {
	if n := m.node(t); n != nil {
		change(n)
	}
}

// split cuts the entries into two sides.
func (m *worldMachine) split(t *rapid.T) {
	ids := sortedKeys(m.world.nodes)
	side := rapid.IntRange(0, 1<<len(ids)-1).Draw(t, "side")
	for i, a := range ids {
		for j, b := range ids {
			if side>>i&1 != side>>j&1 {
				m.world.cut(a, b)
			}
		}
	}
}

// replace starts new entries and takes as many old ones off the list, as the
// platform does when it replaces instances; the old ones go on running.
func (m *worldMachine) replace(count int) {
	w := m.world
	for range count {
		for _, id := range sortedKeys(w.platform.entries) {
			delete(w.platform.entries, id)
			break
		}
		w.startNode(fmt.Sprintf("entry-%d", m.next), m.next)
		m.next++
	}
	w.publishEntries()
}

// list publishes the entries that are alive, as the platform's lagging list
// does in time.
func (m *worldMachine) list() {
	for id := range m.world.platform.entries {
		if m.world.nodes[id] == nil {
			delete(m.world.platform.entries, id)
		}
	}
	m.world.publishEntries()
}

func (w *world) healAll() {
	for _, a := range sortedKeys(w.nodes) {
		for _, b := range sortedKeys(w.nodes) {
			w.heal(a, b)
		}
	}
}

func (w *world) wakeAll() {
	for _, n := range w.nodes {
		n.paused = false
	}
}

// settle ends all faults, and the entries that the platform has replaced, and
// checks that everything comes to rest: the newest document everywhere, no
// memory held, no load counted.
func (m *worldMachine) settle() {
	w := m.world
	w.busy = false
	w.platform.stale = false
	w.wakeAll()
	w.healAll()
	w.cuts = make(map[[2]string]bool)
	for _, n := range w.nodes {
		n.cutOff = false
	}
	for _, id := range sortedKeys(w.nodes) {
		if _, listed := w.platform.entries[id]; !listed {
			w.killNode(id)
		}
	}
	for len(w.nodes) < 3 {
		w.startNode(fmt.Sprintf("entry-%d", m.next), m.next)
		m.next++
	}
	m.list()
	w.advance(abandonOlder + 20*time.Second)
	for _, id := range sortedKeys(w.nodes) {
		w.checkSettled(w.nodes[id])
	}
	for _, id := range sortedKeys(w.servers) {
		if held := len(w.servers[id].streams); held > 0 {
			w.fault("%s still holds %d streams", id, held)
		}
	}
}

// checkSettled holds a node at rest against the truth.
func (w *world) checkSettled(n *worldNode) {
	if _, listed := w.platform.entries[n.id]; !listed {
		return
	}
	held := n.node.relay.items[registry.ServicePrefix+worldService]
	if held.item.Version() != w.platform.document {
		w.fault("%s has version %d in force, published is %d", n.id, held.item.Version(), w.platform.document)
	}
	for _, s := range n.node.keeping.ledger.Servers(w.now) {
		if s.Load() != (backend.Load{}) {
			w.fault("%s counts %+v on %s, which is idle", n.id, s.Load(), s.Server())
		}
		if s.KeeperLease() != backend.KeeperLeaseFull {
			w.fault("%s does not trust its keeping of %s", n.id, s.Server())
		}
	}
}

func TestWorldFuzz(t *testing.T) {
	started, wants := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newWorldMachine(t, mutationNone)
		t.Repeat(m.actions())
		m.settle()
		started += m.world.started
		wants += m.world.wants
		if len(m.world.faults) > 0 {
			m.world.dump(t)
			t.Fatalf("faults: %v", m.world.faults)
		}
	})
	qt.Assert(t, started > 1000, qt.IsTrue, qt.Commentf("only %d attempts started", started))
	t.Logf("wants %d, attempts started %d", wants, started)
}

// dump writes what the world noted, if a file is named for it.
func (w *world) dump(t *rapid.T) {
	name := os.Getenv("WORLD_LOG")
	if name == "" {
		return
	}
	for _, id := range sortedKeys(w.nodes) {
		n := w.nodes[id].node
		w.note(id, "at rest", []any{"listed", n.members.list.Len(), "version", n.members.list.Version(), "servers", n.keeping.ledger.Servers(w.now)})
	}
	if err := os.WriteFile(name, []byte(strings.Join(w.log, "\n")+"\n"), 0o644); err != nil {
		t.Logf("world not written: %v", err)
	}
}
