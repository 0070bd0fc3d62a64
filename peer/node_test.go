package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// slotResults returns the slot results among effects.
func slotResults(effects []Effect) []SlotResult {
	var out []SlotResult
	for _, effect := range effects {
		if r, ok := effect.(SlotResult); ok {
			out = append(out, r)
		}
	}
	return out
}

// TestNewKeeperGrantsNothingBeforeTick checks that an entry which has just
// become a server's keeper grants nothing on it before its next tick, even if
// an earlier keeper reported the server warm and its load report has arrived.
func TestNewKeeperGrantsNothingBeforeTick(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 0, 1)
	sim.startNode("entry-0", 0)
	n := sim.nodes["entry-0"]
	n.node.keeper.learnWarmth([]serverWarmth{{Server: "engine-0", Incarnation: "engine-0/1", WarmthStep: 4}})
	sim.readPlatform(n)
	sim.now = sim.now.Add(simStep)
	sim.stepServer(sim.servers["engine-0"])
	sim.takeDomainOut("scl-a")
	sim.publishEntries()
	sim.readPlatform(n)
	c.Assert(n.node.keeper.kept, qt.HasLen, 1)

	sim.drive(n, LoadReported{report: sim.servers["engine-0"].report(sim.now)})
	cost := backend.NewCost(1000, 10)
	request := backend.NewSlotRequest("r-1", n.node.owner, "norte", backend.NewWorkload(simService, simModel), cost, sim.now.Add(10*time.Second))
	for _, r := range slotResults(n.node.Step(sim.now, NewSlotRequested(request))) {
		c.Assert(r.Refusal() != nil, qt.IsTrue, qt.Commentf("granted %+v", r.Slot()))
	}
	c.Assert(n.node.domainStates["scl-a"], qt.Equals, registry.StateOut)
}

// TestSilentKeepersAreBusy checks that a slot request is refused as busy, not
// as without a server, while the service's servers are listed but their keepers
// are silent.
func TestSilentKeepersAreBusy(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 2, 2)
	n := sim.nodes["entry-0"]
	sim.cut("entry-0", "entry-1")
	sim.readPlatform(n)
	sim.now = sim.now.Add(time.Minute)
	tests := []struct {
		service string
		reason  backend.Reason
	}{
		{simService, backend.ReasonBusy},
		{"unlisted", backend.ReasonNoServer},
	}
	for _, test := range tests {
		n.node.requester.table.keepersByService[simService] = []string{"entry-1"}
		request := backend.NewSlotRequest(test.service, n.node.owner, "norte", backend.NewWorkload(test.service, simModel),
			backend.NewCost(1000, 10), sim.now.Add(10*time.Second))
		got := slotResults(n.node.Step(sim.now, NewSlotRequested(request)))
		c.Assert(got, qt.HasLen, 1)
		c.Check(got[0].Refusal().Reason(), qt.Equals, test.reason)
	}
}
