package backend

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Each mutation breaks one rule of the ledger; the oracle must notice.

type forgetsRelease struct {
	keeping
	outcome Outcome
}

func (m *forgetsRelease) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	if outcome == m.outcome {
		return nil
	}
	return m.keeping.Release(now, owner, server, id, outcome)
}

type freesFailed struct{ keeping }

func (m *freesFailed) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	if outcome == OutcomeFailed {
		outcome = OutcomeCancelled
	}
	return m.keeping.Release(now, owner, server, id, outcome)
}

type ignoresRefusals struct{ keeping }

func (m *ignoresRefusals) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	if outcome == OutcomeRefused {
		outcome = OutcomeNotStarted
	}
	return m.keeping.Release(now, owner, server, id, outcome)
}

// creditsAll lets every end of an attempt warm a server.
type creditsAll struct{ keeping }

func (m *creditsAll) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	if outcome == OutcomeNotStarted || outcome == OutcomeCancelled {
		outcome = OutcomeFinished
	}
	return m.keeping.Release(now, owner, server, id, outcome)
}

type trustsStaleReports struct{ keeping }

func (m *trustsStaleReports) Report(now time.Time, report Report) []Decision {
	return m.keeping.Report(now, report.WithHeld(0, report.held...))
}

// ignoresHeld doesn't look at the streams that reports show.
type ignoresHeld struct{ keeping }

func (m *ignoresHeld) Report(now time.Time, report Report) []Decision {
	report.used = 0
	return m.keeping.Report(now, report.WithHeld(report.lag))
}

// keepsWarmth hides from the ledger that a server has restarted.
type keepsWarmth struct {
	keeping
	incarnations map[string]string
}

func (m *keepsWarmth) Report(now time.Time, report Report) []Decision {
	m.incarnations[report.server] = report.incarnation
	report.incarnation = "one"
	return m.rename(m.keeping.Report(now, report))
}

func (m *keepsWarmth) Request(now time.Time, want SlotRequest) []Decision {
	return m.rename(m.keeping.Request(now, want))
}

func (m *keepsWarmth) Tick(now time.Time) []Decision { return m.rename(m.keeping.Tick(now)) }

func (m *keepsWarmth) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	return m.rename(m.keeping.Release(now, owner, server, id, outcome))
}

func (m *keepsWarmth) rename(decisions []Decision) []Decision {
	for i, d := range decisions {
		if g, ok := d.(Granted); ok {
			g.slot.incarnation = m.incarnations[g.slot.server]
			decisions[i] = g
		}
	}
	return decisions
}

// startsWarm takes every server for warm from the beginning.
type startsWarm struct{ keeping }

func (m *startsWarm) AddServer(now time.Time, server Server) {
	server.bearing.cold = server.bearing.warm
	m.keeping.AddServer(now, server)
}

type alwaysTrusts struct{ keeping }

func (m *alwaysTrusts) SetKeeperLease(server string, _ KeeperLease) {
	m.keeping.SetKeeperLease(server, KeeperLeaseFull)
}

func (m *alwaysTrusts) AddServer(now time.Time, server Server) {
	m.keeping.AddServer(now, server)
	m.keeping.SetKeeperLease(server.id, KeeperLeaseFull)
}

type ignoresClosed struct{ keeping }

func (m *ignoresClosed) SetClosed(string, bool) {}

type adoptsNothing struct{ keeping }

func (m *adoptsNothing) Adopt(time.Time, Slot) {}

type dropsNothing struct{ keeping }

func (m *dropsNothing) RemoveServer(time.Time, string) []Decision { return nil }

// filters takes out the decisions for which drop returns true.
type filters struct {
	keeping
	drop func(d Decision) bool
}

func (m *filters) Tick(now time.Time) []Decision {
	return slices.DeleteFunc(m.keeping.Tick(now), m.drop)
}

func (m *filters) RemoveOwner(now time.Time, owner Owner) []Decision {
	return slices.DeleteFunc(m.keeping.RemoveOwner(now, owner), m.drop)
}

func (m *filters) Report(now time.Time, report Report) []Decision {
	return slices.DeleteFunc(m.keeping.Report(now, report), m.drop)
}

func (m *filters) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	return slices.DeleteFunc(m.keeping.Release(now, owner, server, id, outcome), m.drop)
}

// cancelsLive cancels a stream whose owner holds it once in a while.
type cancelsLive struct {
	keeping
	grants int
}

func (m *cancelsLive) Request(now time.Time, want SlotRequest) []Decision {
	out := m.keeping.Request(now, want)
	for _, d := range out {
		if g, ok := d.(Granted); ok {
			m.grants++
			if m.grants%10 == 0 {
				m.keeping.RemoveOwner(now, want.owner)
				return append(out, Orphan{server: g.slot.server, stream: g.slot.id})
			}
		}
	}
	return out
}

type decidesTwice struct{ keeping }

func (m *decidesTwice) Request(now time.Time, want SlotRequest) []Decision {
	out := m.keeping.Request(now, want)
	return append(out, slices.Clone(out)...)
}

// holdsBack lets one account's wants starve.
type holdsBack struct {
	keeping
	held map[string]SlotRequest
}

func (m *holdsBack) Request(now time.Time, want SlotRequest) []Decision {
	if want.account != "account-0" {
		return m.keeping.Request(now, want)
	}
	m.held[want.id] = want
	return []Decision{Queued{want: want.id, owner: want.owner}}
}

func (m *holdsBack) Tick(now time.Time) []Decision {
	out := m.keeping.Tick(now)
	for _, id := range slices.Sorted(maps.Keys(m.held)) {
		if want := m.held[id]; want.deadline.Sub(now) < time.Second {
			delete(m.held, id)
			out = append(out, m.keeping.Request(now, want)...)
		}
	}
	return out
}

func (m *holdsBack) Withdraw(now time.Time, owner Owner, id string) []Decision {
	delete(m.held, id)
	return m.keeping.Withdraw(now, owner, id)
}

func (m *holdsBack) RemoveOwner(now time.Time, owner Owner) []Decision {
	maps.DeleteFunc(m.held, func(_ string, w SlotRequest) bool { return w.owner == owner })
	return m.keeping.RemoveOwner(now, owner)
}

type ignoresWithdrawal struct{ keeping }

func (m *ignoresWithdrawal) Withdraw(time.Time, Owner, string) []Decision { return nil }

const mutationRuns = 60

func TestOracleCatchesMutations(t *testing.T) {
	isOrphan := func(d Decision) bool { _, ok := d.(Orphan); return ok }
	isDenied := func(d Decision) bool { _, ok := d.(Denied); return ok }
	mutations := map[string]func(k keeping) keeping{
		"forgets to release on cancel":  func(k keeping) keeping { return &forgetsRelease{k, OutcomeCancelled} },
		"forgets to release when whole": func(k keeping) keeping { return &forgetsRelease{k, OutcomeFinished} },
		"forgets to release unstarted":  func(k keeping) keeping { return &forgetsRelease{k, OutcomeNotStarted} },
		"frees what failed":             func(k keeping) keeping { return &freesFailed{k} },
		"ignores refusals":              func(k keeping) keeping { return &ignoresRefusals{k} },
		"warms by any end":              func(k keeping) keeping { return &creditsAll{k} },
		"trusts a stale report":         func(k keeping) keeping { return &trustsStaleReports{k} },
		"ignores what reports show":     func(k keeping) keeping { return &ignoresHeld{k} },
		"keeps warmth over a restart":   func(k keeping) keeping { return &keepsWarmth{k, map[string]string{}} },
		"takes a fresh server for warm": func(k keeping) keeping { return &startsWarm{k} },
		"always trusts":                 func(k keeping) keeping { return &alwaysTrusts{k} },
		"grants on a closed server":     func(k keeping) keeping { return &ignoresClosed{k} },
		"adopts nothing":                func(k keeping) keeping { return &adoptsNothing{k} },
		"goes on after it drops":        func(k keeping) keeping { return &dropsNothing{k} },
		"never cancels":                 func(k keeping) keeping { return &filters{k, isOrphan} },
		"loses denials":                 func(k keeping) keeping { return &filters{k, isDenied} },
		"cancels what an owner holds":   func(k keeping) keeping { return &cancelsLive{keeping: k} },
		"decides twice":                 func(k keeping) keeping { return &decidesTwice{k} },
		"starves an account":            func(k keeping) keeping { return &holdsBack{k, map[string]SlotRequest{}} },
		"forgets that a want withdrew":  func(k keeping) keeping { return &ignoresWithdrawal{k} },
	}
	for _, name := range slices.Sorted(maps.Keys(mutations)) {
		t.Run(name, func(t *testing.T) {
			seed, err := firstCaught(mutations[name])
			qt.Assert(t, err, qt.IsNotNil)
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

// firstCaught returns the first seed under which the oracle notices the mutation.
func firstCaught(mutate func(k keeping) keeping) (uint64, error) {
	for seed := range uint64(mutationRuns) {
		m, err := run(func() keeping { return mutate(newKeeping()) }, seeded(seed), fuzzSteps)
		if err != nil {
			return seed, fmt.Errorf("after %d attempts: %w", m.next, err)
		}
	}
	return 0, nil
}
