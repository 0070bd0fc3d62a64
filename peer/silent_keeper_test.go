package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a slot request that is refused although its keeper, the only one of the
// service, is silent for a short time and then goes on.
func TestSlotRequestOutlivesShortSilenceOfKeeper(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 3, 1)
	sim.advance(16 * time.Second)
	keeper := sim.keepers()["engine-0"]
	var requester *simNode
	for _, id := range sortedKeys(sim.nodes) {
		if id != keeper {
			requester = sim.nodes[id]
		}
	}
	sim.nodes[keeper].paused = true
	sim.requestSlot(requester)
	sim.advance(1200 * time.Millisecond)
	c.Assert(requester.waiting, qt.HasLen, 1)
	sim.nodes[keeper].paused = false
	for range time.Second / simStep {
		if len(requester.waiting) > 0 {
			sim.advance(simStep)
		}
	}
	c.Assert(requester.running, qt.HasLen, 1)
	c.Assert(sim.faults, qt.HasLen, 0)
}
