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
	homeSeed     = "20261203"
	homeSteps    = 20_000
	mutationRuns = 400
	mutationLen  = 400
)

// Non-repeatable calls run at most once and "not run" stays true, through
// crashes, delayed and repeated calls and callers that try any entry.
func TestHomeRunsAtMostOnce(t *testing.T) {
	c := qt.New(t)
	flagtest.SetDefault(t, "rapid.seed", homeSeed)
	flagtest.SetDefault(t, "rapid.checks", "1000")
	flagtest.SetDefault(t, "rapid.steps", "200")
	steps, runs, full := 0, 0, 0
	heard := make(map[Outcome]int)
	rapid.Check(t, func(t *rapid.T) {
		m := newHomeMachine(productRules())
		choice := func(n int) int { return spread(rapid.Uint64Range(0, 1<<16).Draw(t, "choice"), n) }
		t.Repeat(map[string]func(*rapid.T){"step": func(t *rapid.T) {
			if err := m.step(choice); err != nil {
				t.Fatal(err)
			}
		}})
		steps += m.steps
		runs += len(m.runs)
		full += m.full
		for outcome, n := range m.heard {
			heard[outcome] += n
		}
	})
	t.Logf("%d steps, %d runs, %d full homes, callers heard %v", steps, runs, full, heard)
	c.Assert(steps >= homeSteps, qt.IsTrue, qt.Commentf("%d steps", steps))
	c.Assert(runs > 100 && full > 100, qt.IsTrue, qt.Commentf("%d runs, %d full homes", runs, full))
	for _, outcome := range []Outcome{OutcomeNotRun, OutcomeUnknown} {
		c.Assert(heard[outcome] > 100, qt.IsTrue, qt.Commentf("%v", heard))
	}
}

// spread makes an even choice among n of a number that is mostly small.
func spread(number uint64, n int) int {
	const oddFactor = 0x9E3779B97F4A7C15
	return int((number * oddFactor >> 32) % uint64(n))
}

// Each rule is needed: the oracle objects when one is broken.
func TestHomeOracleCatchesBrokenRules(t *testing.T) {
	tests := []struct {
		name string
		want string
		rule func(*homeRules)
	}{
		{"any entry runs what it is sent", "ran 2 times", func(r *homeRules) {
			r.route = func(callID, backend.Owner, bool, bool) callRoute { return routeHome }
			r.begin = func(h *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) decision {
				id.home = self
				return (*DedupTable).begin(h, now, self, account, id, limit)
			}
		}},
		{"a restarted home keeps its incarnation", "ran 2 times", func(r *homeRules) {
			r.restart = func(old backend.Owner, _ *DedupTable) (backend.Owner, *DedupTable) { return old, new(DedupTable) }
		}},
		{"a home does not check the incarnation", "ran 2 times", func(r *homeRules) {
			r.route = func(id callID, self backend.Owner, listed, forwarded bool) callRoute {
				if id.home.Entry() == self.Entry() {
					return routeHome
				}
				return routeCall(id, self, listed, forwarded)
			}
			r.begin = func(h *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) decision {
				return (*DedupTable).begin(h, now, id.home, account, id, limit)
			}
		}},
		{"a home sends a call again", "ran 2 times", func(r *homeRules) { r.resend = true }},
		{"no answer from the home is not run", "told", func(r *homeRules) {
			r.unanswered = homeUnreached.with(OutcomeNotRun)
		}},
		{"a refused call leaves no tombstone", "ran although", func(r *homeRules) {
			r.finish = func(h *DedupTable, now time.Time, account accountKey, id callID, end ending) {
				if end.failure != nil && end.failure.outcome == OutcomeNotRun {
					h.advance(now)
					delete(h.records, recordKey{account: account, id: id})
					return
				}
				(*DedupTable).finish(h, now, account, id, end)
			}
		}},
		{"a refusal for want of room is forgotten", "ran although", func(r *homeRules) {
			r.begin = func(h *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) decision {
				d := (*DedupTable).begin(h, now, self, account, id, limit)
				clear(h.closed)
				return d
			}
		}},
		{"an ended call is forgotten", "ran 2 times", func(r *homeRules) {
			r.finish = func(h *DedupTable, now time.Time, account accountKey, id callID, end ending) {
				(*DedupTable).finish(h, now, account, id, end)
				delete(h.records, recordKey{account: account, id: id})
			}
		}},
		{"an expired id is not run", "told", func(r *homeRules) {
			r.begin = func(h *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) decision {
				d := (*DedupTable).begin(h, now, self, account, id, limit)
				if l, ok := d.(lost); ok {
					return lost{failure: l.failure.with(OutcomeNotRun)}
				}
				return d
			}
		}},
		{"records go before their ids expire", "ran 2 times", func(r *homeRules) {
			r.begin = func(h *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) decision {
				h.advance(now)
				for key, kept := range h.records {
					if key.id.epoch < h.epoch {
						h.forget(key, kept)
					}
				}
				return (*DedupTable).begin(h, now, self, account, id, limit)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rules := productRules()
			test.rule(&rules)
			found := ""
			for seed := range uint64(mutationRuns) {
				if err := runMachine(rules, seed); err != nil && strings.Contains(err.Error(), test.want) {
					found = err.Error()
					break
				}
			}
			qt.New(t).Assert(found, qt.Not(qt.Equals), "")
		})
	}
	for seed := range uint64(mutationRuns) {
		qt.New(t).Assert(runMachine(productRules(), seed), qt.IsNil)
	}
}

func runMachine(rules homeRules, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 0))
	m := newHomeMachine(rules)
	for range mutationLen {
		if err := m.step(random.IntN); err != nil {
			return err
		}
	}
	return nil
}

func TestHomeBounds(t *testing.T) {
	c := qt.New(t)
	var h DedupTable
	now := time.Unix(1000, 0)
	self := backend.NewOwner("e.1", 0xab)
	id := func(suffix string) callID {
		id, ok := parseCallID(h.prefix(now, self) + suffix)
		c.Assert(ok, qt.IsTrue)
		return id
	}
	agency, paper := accountKey{"repairs", "agency"}, accountKey{"repairs", "paper"}
	const limit = 4 * accountPart / 2
	for _, suffix := range []string{"a", "b"} {
		c.Assert(h.begin(now, self, agency, id(suffix), limit), qt.Equals, runNow{})
	}
	// One account can't take the room of others.
	over := h.begin(now, self, agency, id("c"), limit).(refused)
	c.Assert(over.failure.outcome, qt.Equals, OutcomeNotRun)
	c.Assert(over.failure.comeBack, qt.Equals, epochLength)
	c.Assert(h.begin(now, self, paper, id("a"), limit), qt.Equals, runNow{})
	// An answer that is too long is told without its body.
	long := ending{answer: &plainAnswer{body: make([]byte, maxKeptAnswer+1)}}
	h.finish(now, agency, id("a"), long)
	c.Assert(h.begin(now, self, agency, id("a"), limit).(stored).ending.failure, qt.Equals, answerNotKept)
	short := ending{answer: &plainAnswer{body: make([]byte, maxKeptAnswer)}}
	h.finish(now, agency, id("b"), short)
	c.Assert(h.begin(now, self, agency, id("b"), limit).(stored).ending, qt.Equals, short)
	c.Assert(h.kept, qt.Equals, maxKeptAnswer)
	// Everything is forgotten once its ids have expired.
	first := id("b")
	now = now.Add(2 * epochLength)
	c.Assert(h.begin(now, self, agency, first, limit).(lost).failure, qt.Equals, idExpired)
	c.Assert(len(h.records)+len(h.owned)+len(h.closed)+h.kept, qt.Equals, 0)
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
		{"entry-1.ab.0." + strings.Repeat("x", maxSuffix+1), false},
	}
	for _, test := range tests {
		id, ok := parseCallID(test.text)
		qt.New(t).Check(ok, qt.Equals, test.good, qt.Commentf("%s", test.text))
		if ok {
			qt.New(t).Check(id.String(), qt.Equals, test.text)
		}
	}
}
