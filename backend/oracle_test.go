package backend

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagedock.example/flagtest"
)

const (
	fuzzChecks = 120
	fuzzSteps  = 1000
)

func run(newAllocator func() slotAllocator, choose chooser, steps int) (*simulation, error) {
	sim := &simulation{oracle: newOracle(newAllocator), choose: choose}
	for range steps {
		if err := sim.step(); err != nil {
			return sim, err
		}
	}
	return sim, sim.drain()
}

func newSlotAllocator() slotAllocator { return NewAllocator("entry-1") }

func TestAllocatorAgainstOracle(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "4")
	flagtest.SetDefault(t, "rapid.checks", "30")
	granted := 0
	rapid.Check(t, func(r *rapid.T) {
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(r, label) }
		sim, err := run(newSlotAllocator, choose, fuzzSteps)
		granted += sim.granted
		if err != nil {
			r.Fatal(err)
		}
	})
	t.Logf("%d grants", granted)
}

func TestAllocatorFromSeeds(t *testing.T) {
	granted := 0
	for seed := range uint64(fuzzChecks) {
		sim, err := run(newSlotAllocator, seeded(seed), fuzzSteps)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		granted += sim.granted
	}
	t.Logf("%d steps, %d grants", fuzzChecks*fuzzSteps, granted)
}

func seeded(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 0))
	return func(_ string, n int) int { return random.IntN(n) }
}
