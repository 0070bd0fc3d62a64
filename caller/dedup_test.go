package caller

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagedock.example/backend"
	"greengagedock.example/flagtest"
)

const (
	rapidSeed          = "20261203"
	minSimulationSteps = 20_000
	mutationRuns       = 400
	mutationSteps      = 400
)

// Non-idempotent calls run at most once, and calls reported as "not_run" never
// run, through crashes, delayed and repeated messages and callers that try any
// entry.
func TestCallsRunAtMostOnce(t *testing.T) {
	c := qt.New(t)
	flagtest.SetDefault(t, "rapid.seed", rapidSeed)
	flagtest.SetDefault(t, "rapid.checks", "1000")
	flagtest.SetDefault(t, "rapid.steps", "200")
	steps, runs, full := 0, 0, 0
	outcomes := make(map[Outcome]int)
	rapid.Check(t, func(t *rapid.T) {
		m := newCallSimulation(productionRules())
		choice := func(n int) int { return spreadChoice(rapid.Uint64Range(0, 1<<16).Draw(t, "choice"), n) }
		t.Repeat(map[string]func(*rapid.T){"step": func(t *rapid.T) {
			if err := m.step(choice); err != nil {
				t.Fatal(err)
			}
		}})
		steps += m.steps
		runs += len(m.runs)
		full += m.fullTables
		for outcome, n := range m.outcomes {
			outcomes[outcome] += n
		}
	})
	t.Logf("%d steps, %d runs, %d refusals by a full table, outcomes %v", steps, runs, full, outcomes)
	c.Assert(steps >= minSimulationSteps, qt.IsTrue, qt.Commentf("%d steps", steps))
	c.Assert(runs > 100 && full > 100, qt.IsTrue, qt.Commentf("%d runs, %d refusals by a full table", runs, full))
	for _, outcome := range []Outcome{OutcomeNotRun, OutcomeUnknown} {
		c.Assert(outcomes[outcome] > 100, qt.IsTrue, qt.Commentf("%v", outcomes))
	}
}

// spreadChoice maps a number that is mostly small to an even choice among n.
func spreadChoice(number uint64, n int) int {
	const oddFactor = 0x9E3779B97F4A7C15
	return int((number * oddFactor >> 32) % uint64(n))
}

// Each rule is needed: the simulation fails when one is broken.
func TestSimulationDetectsBrokenRules(t *testing.T) {
	tests := []struct {
		name string
		want string
		rule func(*dedupRules)
	}{
		{"any entry runs what it is sent", "ran 2 times", func(r *dedupRules) {
			r.route = func(callID, backend.Owner, bool, bool) callRoute { return routeLocal }
			r.begin = func(table *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) callDecision {
				id.owner = self
				return (*DedupTable).begin(table, now, self, account, id, limit)
			}
		}},
		{"a restarted owner keeps its incarnation", "ran 2 times", func(r *dedupRules) {
			r.restart = func(old backend.Owner, _ *DedupTable) (backend.Owner, *DedupTable) { return old, new(DedupTable) }
		}},
		{"an owner does not check the incarnation", "ran 2 times", func(r *dedupRules) {
			r.route = func(id callID, self backend.Owner, listed, forwarded bool) callRoute {
				if id.owner.Entry() == self.Entry() {
					return routeLocal
				}
				return routeCall(id, self, listed, forwarded)
			}
			r.begin = func(table *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) callDecision {
				return (*DedupTable).begin(table, now, id.owner, account, id, limit)
			}
		}},
		{"an owner sends a call again", "ran 2 times", func(r *dedupRules) { r.resend = true }},
		{"no response from the owner is reported as not run", "told", func(r *dedupRules) {
			r.unreachable = ownerUnreachable.withOutcome(OutcomeNotRun)
		}},
		{"a refused call leaves no tombstone", "ran although", func(r *dedupRules) {
			r.finish = func(table *DedupTable, now time.Time, account accountKey, id callID, result callResult) {
				if result.failure != nil && result.failure.outcome == OutcomeNotRun {
					table.advance(now)
					delete(table.records, callKey{account: account, id: id})
					return
				}
				(*DedupTable).finish(table, now, account, id, result)
			}
		}},
		{"a refusal by a full table is forgotten", "ran although", func(r *dedupRules) {
			r.begin = func(table *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) callDecision {
				d := (*DedupTable).begin(table, now, self, account, id, limit)
				clear(table.closedEpochs)
				return d
			}
		}},
		{"an ended call is forgotten", "ran 2 times", func(r *dedupRules) {
			r.finish = func(table *DedupTable, now time.Time, account accountKey, id callID, result callResult) {
				(*DedupTable).finish(table, now, account, id, result)
				delete(table.records, callKey{account: account, id: id})
			}
		}},
		{"an expired id is reported as not run", "told", func(r *dedupRules) {
			r.begin = func(table *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) callDecision {
				d := (*DedupTable).begin(table, now, self, account, id, limit)
				if l, ok := d.(indeterminate); ok {
					return indeterminate{failure: l.failure.withOutcome(OutcomeNotRun)}
				}
				return d
			}
		}},
		{"records are removed before their ids expire", "ran 2 times", func(r *dedupRules) {
			r.begin = func(table *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) callDecision {
				table.advance(now)
				for key, kept := range table.records {
					if key.id.epoch < table.epoch {
						table.remove(key, kept)
					}
				}
				return (*DedupTable).begin(table, now, self, account, id, limit)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rules := productionRules()
			test.rule(&rules)
			found := ""
			for seed := range uint64(mutationRuns) {
				if err := runSimulation(rules, seed); err != nil && strings.Contains(err.Error(), test.want) {
					found = err.Error()
					break
				}
			}
			qt.New(t).Assert(found, qt.Not(qt.Equals), "")
		})
	}
	for seed := range uint64(mutationRuns) {
		qt.New(t).Assert(runSimulation(productionRules(), seed), qt.IsNil)
	}
}

func runSimulation(rules dedupRules, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 0))
	m := newCallSimulation(rules)
	for range mutationSteps {
		if err := m.step(random.IntN); err != nil {
			return err
		}
	}
	return nil
}

func TestDedupTableLimits(t *testing.T) {
	c := qt.New(t)
	var table DedupTable
	now := time.Unix(1000, 0)
	self := backend.NewOwner("e.1", 0xab)
	id := func(suffix string) callID {
		id, ok := parseCallID(table.prefix(now, self) + suffix)
		c.Assert(ok, qt.IsTrue)
		return id
	}
	agency, paper := accountKey{"repairs", "agency"}, accountKey{"repairs", "paper"}
	const limit = 4 * accountRecordDivisor / 2
	for _, suffix := range []string{"a", "b"} {
		c.Assert(table.begin(now, self, agency, id(suffix), limit), qt.Equals, runNow{})
	}
	// One account cannot use up the records of others.
	overLimit := table.begin(now, self, agency, id("c"), limit).(rejected)
	c.Assert(overLimit.failure.outcome, qt.Equals, OutcomeNotRun)
	c.Assert(overLimit.failure.retryAfter, qt.Equals, epochLength)
	c.Assert(table.begin(now, self, paper, id("a"), limit), qt.Equals, runNow{})
	// A response that is too long to store is reported without its body.
	long := callResult{response: &plainResponse{body: make([]byte, maxStoredResponseBytes+1)}}
	table.finish(now, agency, id("a"), long)
	c.Assert(table.begin(now, self, agency, id("a"), limit).(completed).result.failure, qt.Equals, responseNotStored)
	short := callResult{response: &plainResponse{body: make([]byte, maxStoredResponseBytes)}}
	table.finish(now, agency, id("b"), short)
	c.Assert(table.begin(now, self, agency, id("b"), limit).(completed).result, qt.Equals, short)
	c.Assert(table.storedBytes, qt.Equals, maxStoredResponseBytes)
	// All records are removed after their IDs have expired.
	first := id("b")
	now = now.Add(2 * epochLength)
	c.Assert(table.begin(now, self, agency, first, limit).(indeterminate).failure, qt.Equals, idExpired)
	c.Assert(len(table.records)+len(table.accountRecords)+len(table.closedEpochs)+table.storedBytes, qt.Equals, 0)
}

func TestCallIDs(t *testing.T) {
	tests := []struct {
		text string
		good bool
	}{
		{"entry-1.ab.0.x", true},
		{"10.0.0.1.ab.12.x-y_z", true},
		{"", false},
		{"x", false},
		{"entry-1.ab.0.", false},
		{"entry-1.ab.-1.x", false},
		{"entry-1.ab.00.x", false},
		{"entry-1.AB.0.x", false},
		{"entry-1.zz.0.x", false},
		{".ab.0.x", false},
		{"entry-1.ab.0." + strings.Repeat("x", maxSuffixLength+1), false},
	}
	for _, test := range tests {
		id, ok := parseCallID(test.text)
		qt.New(t).Check(ok, qt.Equals, test.good, qt.Commentf("%s", test.text))
		if ok {
			qt.New(t).Check(id.String(), qt.Equals, test.text)
		}
	}
}
