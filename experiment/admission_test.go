package experiment

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// admissionSeeds is the number of seeds with which the following tests run each workload.
const admissionSeeds = 20

// Long prompts at three times their rate for six seconds, at 0.8 of the load: the first
// event of the short prompts that arrive meanwhile comes after at most 1.2 times the median
// of an idle fleet.
func TestShortPromptsInAFloodOfLongOnes(t *testing.T) {
	const maxSlowdown, from, length = 1.2, 3 * time.Second, 6 * time.Second
	for _, name := range []string{"accounts_compete", "uneven"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			workload := loadOf(c, name).WithRate(0.8).WithWindows(NewWindow(from, length, "long", 3))
			workload.length = from + length
			median := func(workload Workload, seed uint64) float64 {
				report := Run(workload, Shared{}, seed)
				return report.summarizeIf(func(q *request) bool { return q.kind.name == "short" && q.arrived >= from }).TimeToFirstToken(0.5).Seconds()
			}
			flooded, idle := 0.0, 0.0
			for seed := range uint64(admissionSeeds) {
				flooded += median(workload, seed+1)
				idle += median(workload.WithOnly("short").WithRate(0.1), seed+1)
			}
			t.Logf("%.2f times", flooded/idle)
			c.Assert(flooded <= maxSlowdown*idle, qt.IsTrue, qt.Commentf("%.2f times", flooded/idle))
		})
	}
}

// At 1.5 times the load of accounts_compete callers are refused: none may wait for a refusal
// longer than until it would have left, and those that were refused must return.
func TestRefusedCallersReturnInOverload(t *testing.T) {
	c := qt.New(t)
	workload := loadOf(c, "accounts_compete").WithRate(1.5)
	returned := 0
	for seed := range uint64(3) {
		report := Run(workload, Shared{}, seed+1)
		for _, k := range workload.Kinds() {
			s := report.Summarize(k.Name())
			c.Assert(s.RefusalWait(1) < k.callerTimeout(), qt.IsTrue, qt.Commentf("%s: %v", k.Name(), s.RefusalWait(1)))
			returned += s.Returned()
		}
	}
	c.Assert(returned > 0, qt.IsTrue)
}
