package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// answers returns the answers among effects.
func answers(effects []Effect) []SlotResult {
	var out []SlotResult
	for _, effect := range effects {
		if a, ok := effect.(SlotResult); ok {
			out = append(out, a)
		}
	}
	return out
}

// TestNewKeeperGivesNothingAtOnce checks that an entry which has just become a
// server's keeper grants nothing on it before its next tick, even if the
// server is warm by an earlier keeper's word and its report is at hand.
func TestNewKeeperGivesNothingAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 0, 1)
	w.startNode("entry-0", 0)
	n := w.nodes["entry-0"]
	n.node.keeping.learnWarmth([]warmMark{{Server: "engine-0", Incarnation: "engine-0/1", Step: 4}})
	w.readPlatform(n)
	w.now = w.now.Add(worldStep)
	w.stepServer(w.servers["engine-0"])
	w.takeOut("scl-a")
	w.publishEntries()
	w.readPlatform(n)
	c.Assert(n.node.keeping.kept, qt.HasLen, 1)

	w.drive(n, LoadReported{report: w.servers["engine-0"].report(w.now)})
	cost := backend.NewCost(1000, 10)
	want := backend.NewSlotRequest("r-1", n.node.owner, "norte", backend.NewWorkload(worldService, worldModel), cost, w.now.Add(10*time.Second))
	for _, a := range answers(n.node.Step(w.now, NewSlotRequested(want))) {
		c.Assert(a.Refusal() != nil, qt.IsTrue, qt.Commentf("granted %+v", a.Slot()))
	}
	c.Assert(n.node.domains["scl-a"], qt.Equals, registry.StateOut)
}

// TestUnheardKeepersAreBusy checks that a want is refused as busy, not as one
// that no server carries, while the keepers of the listed servers are not heard.
func TestUnheardKeepersAreBusy(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 2, 2)
	n := w.nodes["entry-0"]
	w.cut("entry-0", "entry-1")
	w.readPlatform(n)
	w.now = w.now.Add(time.Minute)
	tests := []struct {
		service string
		reason  backend.Reason
	}{
		{worldService, backend.ReasonBusy},
		{"unlisted", backend.ReasonNoServer},
	}
	for _, test := range tests {
		n.node.asking.table.services[worldService] = []string{"entry-1"}
		want := backend.NewSlotRequest(test.service, n.node.owner, "norte", backend.NewWorkload(test.service, worldModel),
			backend.NewCost(1000, 10), w.now.Add(10*time.Second))
		got := answers(n.node.Step(w.now, NewSlotRequested(want)))
		c.Assert(got, qt.HasLen, 1)
		c.Check(got[0].Refusal().Reason(), qt.Equals, test.reason)
	}
}
