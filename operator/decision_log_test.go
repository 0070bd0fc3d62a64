package operator

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

func kinds(decisions []Decision) []Kind {
	var out []Kind
	for _, d := range decisions {
		out = append(out, d.Kind())
	}
	return out
}

func TestExplainJoinsAttempts(t *testing.T) {
	var log DecisionLog
	// The keeper logs its decisions before the entry does, and under the attempt id only.
	log.Add(NewDecision(noon, KindQueued, "", "entry-1-7.1"))
	log.Add(NewDecision(noon, KindDenied, "", "entry-1-7.1"))
	log.Add(NewDecision(noon, KindGranted, "", "entry-1-7.2"))
	log.Add(NewDecision(noon, KindRouted, "balloon-3", "entry-1-7.2"))
	log.Add(NewDecision(noon, KindRouted, "balloon-4", "entry-1-8.1"))
	log.Add(NewDecision(noon, KindEnded, "balloon-3", ""))
	tests := []struct {
		id   string
		want []Kind
	}{
		{"balloon-3", []Kind{KindQueued, KindDenied, KindGranted, KindRouted, KindEnded}},
		{"entry-1-7", []Kind{KindQueued, KindDenied, KindGranted, KindRouted}},
		{"entry-1-7.2", []Kind{KindGranted, KindRouted}},
		{"balloon-4", []Kind{KindRouted}},
		{"entry-1", nil},
		{"", nil},
	}
	for _, test := range tests {
		t.Run(test.id, func(t *testing.T) {
			qt.Assert(t, kinds(log.Explain(test.id)), qt.DeepEquals, test.want)
		})
	}
}

func TestDecisionLogIsBounded(t *testing.T) {
	c := qt.New(t)
	var log DecisionLog
	log.Add(NewDecision(noon, KindFailed, "failed", ""))
	for i := range 2 * maxRecent {
		log.Add(NewDecision(noon, KindEnded, "q-"+strconv.Itoa(i), ""))
	}
	c.Check(log.recent.decisions, qt.HasLen, maxRecent)
	c.Check(log.Explain("q-0"), qt.HasLen, 0)
	c.Check(log.Explain("q-"+strconv.Itoa(maxRecent)), qt.HasLen, 1)
	c.Check(log.Explain("failed"), qt.HasLen, 1)
	for i := range maxFailed {
		log.Add(NewDecision(noon, KindDenied, "d-"+strconv.Itoa(i), ""))
	}
	c.Check(log.Explain("failed"), qt.HasLen, 0)
}
