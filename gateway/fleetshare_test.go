package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxColdGrants bounds the sum of the shares of cold servers' capacity that all entries may
// grant at a time: cold servers take ColdOver (1.5) times their rate, and a scheduler with the
// whole share grants half of that rate.
const maxColdGrants = 3.0

// coldGrants returns the sum of the shares that the entries may grant.
func (w *powerWorld) coldGrants() float64 {
	sum := 0.0
	for _, c := range w.entries {
		sum += c.scheduler.ColdShare("llm")
	}
	return sum
}

// watchColdGrants returns a function that returns the highest sum seen until then.
func (w *powerWorld) watchColdGrants() func() float64 {
	most := 0.0
	w.every(20*time.Millisecond, func() { most = max(most, w.coldGrants()) })
	return func() float64 { return most }
}

// Guards against FAILBACK after a loss of all entries: those that are back before their seeds
// don't know each other, and each granted what the only scheduler may. Once they know each
// other, one of them grants the whole share.
func TestEntriesWithoutSeedsDontEachGrantForTheFleet(t *testing.T) {
	for _, test := range []struct {
		name  string
		back  int             // entries that are no seeds and start at once
		seeds []time.Duration // when each of the three seeds starts
	}{
		{"two", 2, nil},
		{"five", 5, nil},
		{"five, seeds together", 5, []time.Duration{2500 * time.Millisecond, 2500 * time.Millisecond, 2500 * time.Millisecond}},
		{"five, seeds one by one", 5, []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second}},
		{"five, one seed", 5, []time.Duration{3 * time.Second}},
		{"all at once", 5, []time.Duration{0, 0, 0}},
		{"thirty", 30, []time.Duration{5 * time.Second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(3) {
				w := newPowerWorld(seed)
				most := w.watchColdGrants()
				for i := range test.back {
					w.start(3 + i)
				}
				for i, at := range test.seeds {
					w.AfterFunc(at, func() { w.start(i) })
				}
				w.RunUntil(12 * time.Second)
				comment := qt.Commentf("seed %d: %.2f", seed, most())
				c.Check(most() <= maxColdGrants, qt.IsTrue, comment)
				c.Check(most() > 0, qt.IsTrue, comment)
				if len(test.seeds) > 0 {
					c.Check(w.coldGrants() >= 1, qt.IsTrue, qt.Commentf("seed %d: %.2f at the end", seed, w.coldGrants()))
				}
			}
		})
	}
}

// A deployment of one entry, whether its settings name it as a seed or none, uses the whole
// capacity of its cold servers.
func TestSingleEntryGrantsForTheFleet(t *testing.T) {
	for _, seeds := range [][]string{nil, {"e0:1"}} {
		c := qt.New(t)
		w := newPowerWorld(1)
		w.start(0)
		w.entries[0].members.seeds = seeds
		w.RunUntil(200 * time.Millisecond)
		c.Check(w.coldGrants(), qt.Equals, 1.0)
	}
}

// Guards against FAILBACK in a partition: each part has a scheduler of its own, however long it
// lasts, and together they stay within the bound. A part with half of the entries is not limited.
func TestPartsOfPartitionShareTheLimits(t *testing.T) {
	for _, parts := range [][]int{{8}, {4, 4}, {6, 1, 1}, {3, 3, 2}, {1, 1, 1, 1, 1, 1, 1, 1}} {
		t.Run(fmt.Sprint(parts), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			started := now.Add(-time.Minute)
			for _, after := range []time.Duration{2 * time.Second, memberTimeout + 2*time.Second, 2 * time.Minute} {
				sum := 0.0
				for part, size := range parts {
					m := newTestMembers(memberReady)
					for i := range 7 {
						m.observe(now, testMember(fmt.Sprint("e", i), 1, memberReady))
					}
					for i := range size - 1 {
						m.byID[fmt.Sprint("e", i)].lastHeard = now.Add(after)
					}
					m.expire(now.Add(after))
					share := m.fleetShare(now.Add(after), started)
					c.Check(size < 4 || share == 1, qt.IsTrue, qt.Commentf("part %d: %.2f", part, share))
					sum += share
				}
				c.Check(sum <= maxColdGrants, qt.IsTrue, qt.Commentf("after %v: %.2f", after, sum))
			}
		})
	}
}
