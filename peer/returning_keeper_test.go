package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReturningKeeperCancelsNoRunningRequest checks that a keeper which was
// partitioned or paused until other entries stood in for it cancels none of the
// attempts to which it had granted slots before.
func TestReturningKeeperCancelsNoRunningRequest(t *testing.T) {
	tests := []struct {
		name     string
		away     func(sim *simulation, keeper string)
		comeBack func(sim *simulation, keeper string)
	}{
		{
			"cut off",
			func(sim *simulation, keeper string) {
				for _, other := range sortedKeys(sim.nodes) {
					if other != keeper {
						sim.cut(keeper, other)
					}
				}
			},
			func(sim *simulation, _ string) { sim.healAll() },
		},
		{
			"paused",
			func(sim *simulation, keeper string) { sim.nodes[keeper].paused = true },
			func(sim *simulation, keeper string) { sim.nodes[keeper].paused = false },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(12) {
				for _, away := range []time.Duration{8 * time.Second, 2 * cancelUnclaimedAfter} {
					sim := newSimulation(seed, 5, 4)
					sim.underLoad = true
					sim.advance(16 * time.Second)
					keeper := sim.keepers()["engine-0"]
					test.away(sim, keeper)
					sim.advance(away)
					test.comeBack(sim, keeper)
					sim.advance(20 * time.Second)
					qt.Assert(t, sim.faults, qt.HasLen, 0, qt.Commentf("seed %d, away for %v", seed, away))
				}
			}
		})
	}
}
