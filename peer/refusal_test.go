package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
)

// Guards against a keeper that goes on granting slots of a server which refused a request of
// another entry for a time: only that entry's caller heard of it.
func TestKeeperLearnsOfRefusalWithRelease(t *testing.T) {
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
	sim.requestSlot(requester)
	for len(requester.running) == 0 {
		sim.advance(simStep)
	}
	for _, a := range requester.running {
		delete(sim.servers["engine-0"].streams, a.slot.ID())
		sim.drive(requester, ServerRefused{slot: a.slot, wait: 4 * time.Second})
		sim.release(requester, a, backend.OutcomeRefused)
	}
	sim.advance(time.Second)
	sim.requestSlot(requester)
	sim.advance(2 * time.Second)
	c.Assert(requester.running, qt.HasLen, 0)
	sim.advance(2 * time.Second)
	c.Assert(requester.running, qt.HasLen, 1)
	c.Assert(sim.faults, qt.HasLen, 0)
}
