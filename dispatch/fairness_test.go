package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Under sustained load in which no long prompt is placed, the size classes of the
// longest prompts become underserved, until their placement rate is about half of
// the average.
func TestLongestPromptsBecomeUnderserved(t *testing.T) {
	c := qt.New(t)
	var stats placementStats
	now := time.Unix(1000, 0)
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		prompt := 1000 * (1 + i%20)
		stats.countRequest(now, prompt)
		if prompt <= 14_000 {
			stats.countPlacement(now, prompt)
		}
	}
	c.Assert(stats.underserved(20_000), qt.IsTrue)
	c.Assert(stats.underserved(16_000), qt.IsTrue)
	c.Assert(stats.underserved(5_000), qt.IsFalse)
	for stats.underserved(20_000) {
		stats.countPlacement(now, 20_000)
	}
	requested, placed := stats.requested[sizeClassLargest], stats.placed[sizeClassLargest]
	c.Assert(placed >= requested*underservedRatio/2 && placed < requested, qt.IsTrue)
	c.Assert(stats.underserved(16_000), qt.IsTrue) // each size class is measured on its own
}

func TestUnderservedRequestIsNotShed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 0)
	p := f.scheduler.pools["llm"]
	short := f.long("short", 50_000)
	for range 60 {
		p.statsOf(short).countRequest(f.now, 50_000)
		p.statsOf(short).countPlacement(f.now, 50_000)
	}
	long := f.long("long", 390_000)
	p.statsOf(long).countRequest(f.now, 390_000)
	f.now = f.now.Add(2900 * time.Millisecond) // too late for its objective
	ahead := time.Hour
	c.Assert(p.shedLate(f.now, &queuedRequest{request: long}, ahead), qt.IsNotNil)
	c.Assert(p.underserved(long), qt.IsTrue)
	c.Assert(p.shedLate(f.now, &queuedRequest{request: long, underserved: true}, ahead), qt.IsNil)
}
