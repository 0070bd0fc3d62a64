package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReturningKeeperCutsNothing checks that a keeper which was cut off, or
// paused, until others stood in for it cancels no stream that it lent before.
func TestReturningKeeperCutsNothing(t *testing.T) {
	tests := []struct {
		name     string
		away     func(w *world, keeper string)
		comeBack func(w *world, keeper string)
	}{
		{
			"cut off",
			func(w *world, keeper string) {
				for _, other := range sortedKeys(w.nodes) {
					if other != keeper {
						w.cut(keeper, other)
					}
				}
			},
			func(w *world, _ string) { w.healAll() },
		},
		{
			"paused",
			func(w *world, keeper string) { w.nodes[keeper].paused = true },
			func(w *world, keeper string) { w.nodes[keeper].paused = false },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(12) {
				w := newWorld(seed, 5, 4)
				w.busy = true
				w.advance(16 * time.Second)
				keeper := w.keepers()["engine-0"]
				test.away(w, keeper)
				w.advance(8 * time.Second)
				test.comeBack(w, keeper)
				w.advance(20 * time.Second)
				qt.Assert(t, w.faults, qt.HasLen, 0, qt.Commentf("seed %d", seed))
			}
		})
	}
}
