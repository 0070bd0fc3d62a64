package experiment

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Pattern: a third of the servers is four times slower than their profile. Guards against
// placing short prompts there by the profile: without learned speeds 0.75 of their worth was
// earned over these seeds.
func TestSlowServersGetFewShortPrompts(t *testing.T) {
	c := qt.New(t)
	workload := loadOf(c, "kinross").WithRate(0.6).WithSlowdowns(4, 4, 4, 4, 4, 4, 4)
	sum := 0.0
	const seeds = 3
	for seed := range uint64(seeds) {
		sum += Run(workload, Shared{}, seed).Summarize("short").Worth()
	}
	c.Assert(sum/seeds > 0.85, qt.IsTrue, qt.Commentf("worth %.3f", sum/seeds))
}
