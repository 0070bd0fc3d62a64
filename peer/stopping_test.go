package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStoppingEntryIsReplacedAtOnce checks that the servers of an entry which
// announces that it stops get another keeper at once, not only after the entry
// has been silent for the duration of a lease.
func TestStoppingEntryIsReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 5, 6)
	sim.advance(15 * time.Second)
	stopping := sim.nodes["entry-0"]
	kept := sortedKeys(stopping.node.keeper.kept)
	c.Assert(len(kept) > 0, qt.IsTrue)
	sim.drive(stopping, Stopping{})
	sim.advance(2 * simStep)
	sim.killNode("entry-0")
	sim.advance(4 * simStep)
	for _, server := range kept {
		keeper := sim.nodes["entry-1"].node.requester.table.keepers[server]
		c.Assert(keeper, qt.Not(qt.Equals), "entry-0")
		c.Assert(sim.nodes[keeper].node.keeper.kept[server], qt.IsNotNil)
	}
	c.Assert(sim.faults, qt.HasLen, 0)
}
