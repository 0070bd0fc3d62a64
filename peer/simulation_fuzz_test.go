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

// TestMain fixes the seed and the number of checks of the stateful fuzzing
// unless they are given as flags, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefaultFlag("rapid.seed", "20261203")
	setDefaultFlag("rapid.checks", "60")
	os.Exit(m.Run())
}

// setDefaultFlag sets a flag that was not given on the command line.
func setDefaultFlag(name, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}

// stateMachine drives a simulation by randomly drawn actions.
type stateMachine struct {
	simulation *simulation
	nextEntry  int
}

func newStateMachine(t *rapid.T, mutant mutation) *stateMachine {
	seed := rapid.Uint64Range(1, 1<<32).Draw(t, "seed")
	m := &stateMachine{simulation: newSimulation(seed, 5, 4), nextEntry: 5}
	m.simulation.mutation = mutant
	m.simulation.underLoad = true
	m.simulation.advance(10 * time.Second)
	return m
}

// node draws a running entry, nil if there is none.
func (m *stateMachine) node(t *rapid.T) *simNode {
	ids := sortedKeys(m.simulation.nodes)
	if len(ids) == 0 {
		return nil
	}
	return m.simulation.nodes[rapid.SampledFrom(ids).Draw(t, "entry")]
}

func (m *stateMachine) server(t *rapid.T) *simServer {
	return m.simulation.servers[rapid.SampledFrom(sortedKeys(m.simulation.servers)).Draw(t, "server")]
}

// actions returns the actions by name; the one without a name is the invariant
// that is checked after each.
func (m *stateMachine) actions() map[string]func(*rapid.T) {
	sim := m.simulation
	actions := map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			sim.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps")) * simStep)
		},
		"work": m.advanceUnderLoad, "work on": m.advanceUnderLoad, "work more": m.advanceUnderLoad,
		"cut": func(t *rapid.T) {
			if a, b := m.node(t), m.node(t); a != nil && a != b {
				sim.cut(a.id, b.id)
			}
		},
		"isolate": func(t *rapid.T) {
			n := m.node(t)
			for _, other := range sortedKeys(sim.nodes) {
				if n != nil && other != n.id {
					sim.cut(n.id, other)
				}
			}
		},
		"split": func(t *rapid.T) { m.split(t) },
		"heal":  func(*rapid.T) { sim.healAll() },
		"platform cut": func(t *rapid.T) {
			m.withRandomNode(t, func(n *simNode) { n.platformUnreachable = !n.platformUnreachable })
		},
		"platform stale": func(*rapid.T) { sim.makePlatformStale() },
		"platform fresh": func(*rapid.T) { sim.platform.stale = false },
		"pause":          func(t *rapid.T) { m.withRandomNode(t, func(n *simNode) { n.paused = true }) },
		"wake":           func(*rapid.T) { sim.resumeAll() },
		"kill":           func(t *rapid.T) { m.withRandomNode(t, func(n *simNode) { sim.killNode(n.id) }) },
		"restart": func(t *rapid.T) {
			m.withRandomNode(t, func(n *simNode) {
				place := int(n.id[len(n.id)-1] - '0')
				incarnation := n
				sim.killNode(n.id)
				sim.nodes[n.id] = incarnation
				sim.startNode(n.id, place)
			})
		},
		"replace": func(t *rapid.T) { m.replace(rapid.IntRange(1, 3).Draw(t, "count")) },
		"list":    func(*rapid.T) { m.publishLiveEntries() },
		"server restart": func(t *rapid.T) {
			sim.restartServer(m.server(t))
		},
		"document": func(*rapid.T) { sim.publishDocument() },
		"domain out": func(t *rapid.T) {
			sim.takeDomainOut(rapid.SampledFrom(simDomains).Draw(t, "domain"))
		},
		"domain in": func(t *rapid.T) {
			sim.bringDomainBack(rapid.SampledFrom(simDomains).Draw(t, "domain"))
		},
		"": func(t *rapid.T) {
			if len(sim.faults) > 0 {
				sim.dump(t)
				t.Fatalf("faults: %v", sim.faults)
			}
		},
	}
	return actions
}

// advanceUnderLoad lets a few seconds pass while entries request slots.
func (m *stateMachine) advanceUnderLoad(t *rapid.T) {
	m.simulation.advance(time.Duration(rapid.IntRange(1, 10).Draw(t, "seconds")) * time.Second)
}

func (m *stateMachine) withRandomNode(t *rapid.T, change func(*simNode)) {
	if n := m.node(t); n != nil {
		change(n)
	}
}

// split partitions the entries into two sides.
func (m *stateMachine) split(t *rapid.T) {
	ids := sortedKeys(m.simulation.nodes)
	side := rapid.IntRange(0, 1<<len(ids)-1).Draw(t, "side")
	for i, a := range ids {
		for j, b := range ids {
			if side>>i&1 != side>>j&1 {
				m.simulation.cut(a, b)
			}
		}
	}
}

// replace starts new entries and removes as many old ones from the list, as the
// platform does when it replaces instances. The old ones continue to run.
func (m *stateMachine) replace(count int) {
	sim := m.simulation
	for range count {
		for _, id := range sortedKeys(sim.platform.entries) {
			delete(sim.platform.entries, id)
			break
		}
		sim.startNode(fmt.Sprintf("entry-%d", m.nextEntry), m.nextEntry)
		m.nextEntry++
	}
	sim.publishEntries()
}

// publishLiveEntries publishes the entries that are running, as the platform
// eventually does.
func (m *stateMachine) publishLiveEntries() {
	for id := range m.simulation.platform.entries {
		if m.simulation.nodes[id] == nil {
			delete(m.simulation.platform.entries, id)
		}
	}
	m.simulation.publishEntries()
}

func (sim *simulation) healAll() {
	for _, a := range sortedKeys(sim.nodes) {
		for _, b := range sortedKeys(sim.nodes) {
			sim.heal(a, b)
		}
	}
}

func (sim *simulation) resumeAll() {
	for _, n := range sim.nodes {
		n.paused = false
	}
}

// settle ends all disturbances and all entries that are no longer listed, and
// checks that the simulation comes to rest: the latest document is active
// everywhere, no server runs a stream, and no keeper counts any load.
func (m *stateMachine) settle() {
	sim := m.simulation
	sim.underLoad = false
	sim.platform.stale = false
	sim.resumeAll()
	sim.healAll()
	sim.cutLinks = make(map[[2]string]bool)
	for _, n := range sim.nodes {
		n.platformUnreachable = false
	}
	for _, id := range sortedKeys(sim.nodes) {
		if _, listed := sim.platform.entries[id]; !listed {
			sim.killNode(id)
		}
	}
	for len(sim.nodes) < 3 {
		sim.startNode(fmt.Sprintf("entry-%d", m.nextEntry), m.nextEntry)
		m.nextEntry++
	}
	m.publishLiveEntries()
	sim.advance(retireOlderAfter + 20*time.Second)
	for _, id := range sortedKeys(sim.nodes) {
		sim.checkSettled(sim.nodes[id])
	}
	for _, id := range sortedKeys(sim.servers) {
		if held := len(sim.servers[id].streams); held > 0 {
			sim.reportFault("%s still holds %d streams", id, held)
		}
	}
}

// checkSettled checks the state of a node at rest.
func (sim *simulation) checkSettled(n *simNode) {
	if _, listed := sim.platform.entries[n.id]; !listed {
		return
	}
	item := n.node.items.active[registry.ServicePrefix+simService]
	if item.item.Version() != sim.platform.document {
		sim.reportFault("%s has version %d in force, published is %d", n.id, item.item.Version(), sim.platform.document)
	}
	for _, s := range n.node.keeper.allocator.Servers(sim.now) {
		if s.Load() != (backend.Load{}) {
			sim.reportFault("%s counts %+v on %s, which is idle", n.id, s.Load(), s.Server())
		}
		if s.KeeperLease() != backend.KeeperLeaseFull {
			sim.reportFault("%s does not hold the full lease of %s", n.id, s.Server())
		}
	}
}

func TestSimulationFuzz(t *testing.T) {
	started, requested := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t, mutationNone)
		t.Repeat(m.actions())
		m.settle()
		started += m.simulation.started
		requested += m.simulation.requested
		if len(m.simulation.faults) > 0 {
			m.simulation.dump(t)
			t.Fatalf("faults: %v", m.simulation.faults)
		}
	})
	qt.Assert(t, started > 1000, qt.IsTrue, qt.Commentf("only %d attempts started", started))
	t.Logf("slots requested %d, attempts started %d", requested, started)
}

// dump writes the log of the simulation to the file named by WORLD_LOG, if it
// is set.
func (sim *simulation) dump(t *rapid.T) {
	name := os.Getenv("WORLD_LOG")
	if name == "" {
		return
	}
	for _, id := range sortedKeys(sim.nodes) {
		n := sim.nodes[id].node
		sim.note(id, "at rest", []any{"listed", n.membership.list.Len(), "version", n.membership.list.Version(), "servers", n.keeper.allocator.Servers(sim.now)})
	}
	if err := os.WriteFile(name, []byte(strings.Join(sim.log, "\n")+"\n"), 0o644); err != nil {
		t.Logf("simulation log not written: %v", err)
	}
}
