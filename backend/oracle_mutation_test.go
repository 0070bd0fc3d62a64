package backend

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Each mutation breaks one rule of the allocator, which the oracle must
// detect.

type dropsRelease struct {
	slotAllocator
	outcome Outcome
}

func (m *dropsRelease) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	if outcome == m.outcome {
		return nil
	}
	return m.slotAllocator.Release(now, owner, server, id, outcome)
}

type freesFailed struct{ slotAllocator }

func (m *freesFailed) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	if outcome == OutcomeFailed {
		outcome = OutcomeCancelled
	}
	return m.slotAllocator.Release(now, owner, server, id, outcome)
}

type ignoresRefusals struct{ slotAllocator }

func (m *ignoresRefusals) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	if outcome == OutcomeRefused {
		outcome = OutcomeNotStarted
	}
	return m.slotAllocator.Release(now, owner, server, id, outcome)
}

// warmsOnAnyEnd lets every outcome of an attempt count towards a server's
// warmth.
type warmsOnAnyEnd struct{ slotAllocator }

func (m *warmsOnAnyEnd) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	if outcome == OutcomeNotStarted || outcome == OutcomeCancelled {
		outcome = OutcomeFinished
	}
	return m.slotAllocator.Release(now, owner, server, id, outcome)
}

type ignoresLag struct{ slotAllocator }

func (m *ignoresLag) Report(now time.Time, report Report) []Decision {
	return m.slotAllocator.Report(now, report.WithHeld(0, report.held...))
}

// ignoresHeld ignores the streams in reports.
type ignoresHeld struct{ slotAllocator }

func (m *ignoresHeld) Report(now time.Time, report Report) []Decision {
	report.used = 0
	return m.slotAllocator.Report(now, report.WithHeld(report.lag))
}

// hidesRestart hides the restart of a server from the allocator.
type hidesRestart struct {
	slotAllocator
	incarnations map[string]string
}

func (m *hidesRestart) Report(now time.Time, report Report) []Decision {
	m.incarnations[report.server] = report.incarnation
	report.incarnation = "one"
	return m.replaceIncarnations(m.slotAllocator.Report(now, report))
}

func (m *hidesRestart) Request(now time.Time, request SlotRequest) []Decision {
	return m.replaceIncarnations(m.slotAllocator.Request(now, request))
}

func (m *hidesRestart) Tick(now time.Time) []Decision {
	return m.replaceIncarnations(m.slotAllocator.Tick(now))
}

func (m *hidesRestart) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	return m.replaceIncarnations(m.slotAllocator.Release(now, owner, server, id, outcome))
}

func (m *hidesRestart) replaceIncarnations(decisions []Decision) []Decision {
	for i, d := range decisions {
		if g, ok := d.(Granted); ok {
			g.slot.incarnation = m.incarnations[g.slot.server]
			decisions[i] = g
		}
	}
	return decisions
}

// assumesWarm treats every server as warm from the start.
type assumesWarm struct{ slotAllocator }

func (m *assumesWarm) AddServer(now time.Time, server Server) {
	server.capacity.cold = server.capacity.warm
	m.slotAllocator.AddServer(now, server)
}

type alwaysHoldsLease struct{ slotAllocator }

func (m *alwaysHoldsLease) SetKeeperLease(server string, _ KeeperLease) {
	m.slotAllocator.SetKeeperLease(server, KeeperLeaseFull)
}

func (m *alwaysHoldsLease) AddServer(now time.Time, server Server) {
	m.slotAllocator.AddServer(now, server)
	m.slotAllocator.SetKeeperLease(server.id, KeeperLeaseFull)
}

type ignoresClosed struct{ slotAllocator }

func (m *ignoresClosed) SetClosed(string, bool) {}

type adoptsNothing struct{ slotAllocator }

func (m *adoptsNothing) Adopt(time.Time, Slot) {}

type dropsNothing struct{ slotAllocator }

func (m *dropsNothing) RemoveServer(time.Time, string) []Decision { return nil }

// dropsDecisions drops the decisions for which drop returns true.
type dropsDecisions struct {
	slotAllocator
	drop func(d Decision) bool
}

func (m *dropsDecisions) Tick(now time.Time) []Decision {
	return slices.DeleteFunc(m.slotAllocator.Tick(now), m.drop)
}

func (m *dropsDecisions) RemoveOwner(now time.Time, owner Owner) []Decision {
	return slices.DeleteFunc(m.slotAllocator.RemoveOwner(now, owner), m.drop)
}

func (m *dropsDecisions) Report(now time.Time, report Report) []Decision {
	return slices.DeleteFunc(m.slotAllocator.Report(now, report), m.drop)
}

func (m *dropsDecisions) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	return slices.DeleteFunc(m.slotAllocator.Release(now, owner, server, id, outcome), m.drop)
}

// cancelsLive occasionally cancels a stream that its owner still holds.
type cancelsLive struct {
	slotAllocator
	grants int
}

func (m *cancelsLive) Request(now time.Time, request SlotRequest) []Decision {
	out := m.slotAllocator.Request(now, request)
	for _, d := range out {
		if g, ok := d.(Granted); ok {
			m.grants++
			if m.grants%10 == 0 {
				m.slotAllocator.RemoveOwner(now, request.owner)
				return append(out, Orphan{server: g.slot.server, stream: g.slot.id})
			}
		}
	}
	return out
}

type decidesTwice struct{ slotAllocator }

func (m *decidesTwice) Request(now time.Time, request SlotRequest) []Decision {
	out := m.slotAllocator.Request(now, request)
	return append(out, slices.Clone(out)...)
}

// starvesAccount delays the requests of one account until shortly before
// their deadlines.
type starvesAccount struct {
	slotAllocator
	delayed map[string]SlotRequest
}

func (m *starvesAccount) Request(now time.Time, request SlotRequest) []Decision {
	if request.account != "account-0" {
		return m.slotAllocator.Request(now, request)
	}
	m.delayed[request.id] = request
	return []Decision{Queued{attemptID: request.id, owner: request.owner}}
}

func (m *starvesAccount) Tick(now time.Time) []Decision {
	out := m.slotAllocator.Tick(now)
	for _, id := range slices.Sorted(maps.Keys(m.delayed)) {
		if request := m.delayed[id]; request.deadline.Sub(now) < time.Second {
			delete(m.delayed, id)
			out = append(out, m.slotAllocator.Request(now, request)...)
		}
	}
	return out
}

func (m *starvesAccount) Withdraw(now time.Time, owner Owner, id string) []Decision {
	delete(m.delayed, id)
	return m.slotAllocator.Withdraw(now, owner, id)
}

func (m *starvesAccount) RemoveOwner(now time.Time, owner Owner) []Decision {
	maps.DeleteFunc(m.delayed, func(_ string, r SlotRequest) bool { return r.owner == owner })
	return m.slotAllocator.RemoveOwner(now, owner)
}

type ignoresWithdrawal struct{ slotAllocator }

func (m *ignoresWithdrawal) Withdraw(time.Time, Owner, string) []Decision { return nil }

const mutationRuns = 60

func TestOracleDetectsMutations(t *testing.T) {
	isOrphan := func(d Decision) bool { _, ok := d.(Orphan); return ok }
	isDenied := func(d Decision) bool { _, ok := d.(Denied); return ok }
	mutations := map[string]func(a slotAllocator) slotAllocator{
		"forgets to release on cancel":      func(a slotAllocator) slotAllocator { return &dropsRelease{a, OutcomeCancelled} },
		"forgets to release when finished":  func(a slotAllocator) slotAllocator { return &dropsRelease{a, OutcomeFinished} },
		"forgets to release unstarted":      func(a slotAllocator) slotAllocator { return &dropsRelease{a, OutcomeNotStarted} },
		"frees what failed":                 func(a slotAllocator) slotAllocator { return &freesFailed{a} },
		"ignores refusals":                  func(a slotAllocator) slotAllocator { return &ignoresRefusals{a} },
		"warms on any outcome":              func(a slotAllocator) slotAllocator { return &warmsOnAnyEnd{a} },
		"ignores the lag of reports":        func(a slotAllocator) slotAllocator { return &ignoresLag{a} },
		"ignores what reports show":         func(a slotAllocator) slotAllocator { return &ignoresHeld{a} },
		"keeps warmth after a restart":      func(a slotAllocator) slotAllocator { return &hidesRestart{a, map[string]string{}} },
		"treats a fresh server as warm":     func(a slotAllocator) slotAllocator { return &assumesWarm{a} },
		"always holds the lease":            func(a slotAllocator) slotAllocator { return &alwaysHoldsLease{a} },
		"grants on a closed server":         func(a slotAllocator) slotAllocator { return &ignoresClosed{a} },
		"adopts nothing":                    func(a slotAllocator) slotAllocator { return &adoptsNothing{a} },
		"keeps allocating a removed server": func(a slotAllocator) slotAllocator { return &dropsNothing{a} },
		"never cancels":                     func(a slotAllocator) slotAllocator { return &dropsDecisions{a, isOrphan} },
		"loses denials":                     func(a slotAllocator) slotAllocator { return &dropsDecisions{a, isDenied} },
		"cancels what an owner holds":       func(a slotAllocator) slotAllocator { return &cancelsLive{slotAllocator: a} },
		"decides twice":                     func(a slotAllocator) slotAllocator { return &decidesTwice{a} },
		"starves an account":                func(a slotAllocator) slotAllocator { return &starvesAccount{a, map[string]SlotRequest{}} },
		"ignores withdrawals":               func(a slotAllocator) slotAllocator { return &ignoresWithdrawal{a} },
	}
	for _, name := range slices.Sorted(maps.Keys(mutations)) {
		t.Run(name, func(t *testing.T) {
			seed, err := firstCaught(mutations[name])
			qt.Assert(t, err, qt.IsNotNil)
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

// firstCaught returns the first seed with which the oracle detects the
// mutation, and what it detected.
func firstCaught(mutate func(a slotAllocator) slotAllocator) (uint64, error) {
	for seed := range uint64(mutationRuns) {
		sim, err := run(func() slotAllocator { return mutate(newSlotAllocator()) }, seeded(seed), fuzzSteps)
		if err != nil {
			return seed, fmt.Errorf("after %d attempts: %w", sim.lastRequest, err)
		}
	}
	return 0, nil
}
