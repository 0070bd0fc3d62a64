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

func run(make func() keeping, pick source, steps int) (*machine, error) {
	m := &machine{oracle: newOracle(make), pick: pick}
	for range steps {
		if err := m.step(); err != nil {
			return m, err
		}
	}
	return m, m.quiet()
}

func newKeeping() keeping { return NewAllocator("entry-1") }

func TestLedgerAgainstOracle(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "4")
	flagtest.SetDefault(t, "rapid.checks", "30")
	granted := 0
	rapid.Check(t, func(r *rapid.T) {
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(r, label) }
		m, err := run(newKeeping, pick, fuzzSteps)
		granted += m.granted
		if err != nil {
			r.Fatal(err)
		}
	})
	t.Logf("%d grants", granted)
}

func TestLedgerFromSeeds(t *testing.T) {
	granted := 0
	for seed := range uint64(fuzzChecks) {
		m, err := run(newKeeping, seeded(seed), fuzzSteps)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		granted += m.granted
	}
	t.Logf("%d steps, %d grants", fuzzChecks*fuzzSteps, granted)
}

func seeded(seed uint64) source {
	random := rand.New(rand.NewPCG(seed, 0))
	return func(_ string, n int) int { return random.IntN(n) }
}
