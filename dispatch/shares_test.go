package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// submitMany submits short prompts of an account and returns the decisions.
func (f *fleet) submitMany(account string, n int) []Decision {
	var out []Decision
	for i := range n {
		id := fmt.Sprintf("%s-%d-%d", account, f.now.UnixMilli(), i)
		out = append(out, f.scheduler.Submit(f.now, f.owner, f.short(id, 4000).WithAccount(account)))
	}
	return out
}

// grantsByAccount counts the granted requests by account.
func grantsByAccount(f *fleet, decisions []Decision) map[string]int {
	out := make(map[string]int)
	for _, d := range decisions {
		if granted, ok := d.(Granted); ok {
			out[f.scheduler.running[granted.Grant().ID()].account]++
		}
	}
	return out
}

func TestMaxMinLevel(t *testing.T) {
	c := qt.New(t)
	c.Assert(maxMinLevel([]time.Duration{60, 1, 4}, 15), qt.Equals, time.Duration(10))
	c.Assert(maxMinLevel([]time.Duration{8, 8, 8}, 12), qt.Equals, time.Duration(4))
	c.Assert(maxMinLevel([]time.Duration{8, 8}, 16) > time.Hour, qt.IsTrue)
}

// Guards against a large account that fills all slots and the queue: as slots become free,
// the requests of a small one that came later go first, and the explanation tells why.
func TestSmallAccountGoesBeforeLargeOne(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 2)
	request := func(account string, i int) Request {
		return f.plainRequest(fmt.Sprintf("%s-%d", account, i)).WithAccount(account)
	}
	for i := range 30 {
		f.scheduler.Submit(f.now, f.owner, request("large", i))
	}
	f.now = f.now.Add(20 * time.Millisecond)
	for i := range 3 {
		c.Assert(f.scheduler.Submit(f.now, f.owner, request("small", i)), qt.Equals, Queued{})
	}
	for i := range 4 {
		f.scheduler.Ended(f.now, fmt.Sprintf("large-%d", i), OutcomeComplete)
	}
	decisions := f.scheduler.Tick(f.now)
	c.Assert(grantsByAccount(f, decisions), qt.DeepEquals, map[string]int{"small": 3, "large": 1})
	c.Assert(decisions[3].(Granted).Grant().Explanation(), qt.Matches, ".*usage .*ms, waiting .*ms, share .*ms, yields to small")
}

// Guards against changes for those who don't compete: with one account, and with as many
// accounts as requests, the order is the same as without accounts.
func TestEqualAccountsKeepTheOrder(t *testing.T) {
	c := qt.New(t)
	grants := func(account func(i int) string) []string {
		f := newFleet(2, 0)
		var out []string
		for i := range 60 {
			request := f.short(fmt.Sprint("r", i), 500+i*97%7000).WithAccount(account(i))
			f.scheduler.Submit(f.now, f.owner, request)
			f.now = f.now.Add(5 * time.Millisecond)
			f.scheduler.Ended(f.now, fmt.Sprint("r", i-20), OutcomeComplete)
			for _, d := range f.scheduler.Tick(f.now) {
				if granted, ok := d.(Granted); ok {
					out = append(out, granted.Grant().ID()+granted.Grant().Server())
				}
			}
		}
		return out
	}
	want := grants(func(int) string { return "" })
	c.Assert(len(want) > 0, qt.IsTrue)
	c.Assert(grants(func(int) string { return "one" }), qt.DeepEquals, want)
	c.Assert(grants(func(i int) string { return fmt.Sprint("account-", i) }), qt.DeepEquals, want)
}

// Guards against a full queue that refuses small accounts: the account that is the most over
// its share is refused in place of them.
func TestFullQueueRefusesTheAccountMostOverItsShare(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	f.submitMany("large", 16)
	f.submitMany("large", maxQueue+20)
	p := f.scheduler.pools["llm"]
	c.Assert(p.queue, qt.HasLen, maxQueue)
	f.scheduler.Undelivered()
	c.Assert(f.submitMany("small", 1)[0], qt.Equals, Queued{})
	refused := f.scheduler.Undelivered()
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].(Refused).Reason(), qt.Equals, ReasonBusy)
	c.Assert(refused[0].(Refused).Explanation(), qt.Matches, "room in .*, usage .*, yields to small")
	c.Assert(p.queue, qt.HasLen, maxQueue)
	f.now = f.now.Add(time.Millisecond) // for other ids
	_, isRefused := f.submitMany("large", 1)[0].(Refused)
	c.Assert(isRefused, qt.IsTrue)
}

// What never ran is refunded, and what ran counts as what it used.
func TestChargesAreCorrected(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 1)
	used := func(service string) time.Duration {
		a := f.scheduler.pools[service].shares.account(f.now, "a")
		return a.used
	}
	f.granted(c, f.short("r1", 4000).WithAccount("a"))
	c.Assert(used("llm") > time.Second, qt.IsTrue)
	f.scheduler.Ended(f.now, "r1", OutcomeUnreachable)
	c.Assert(used("llm"), qt.Equals, time.Duration(0))
	f.granted(c, f.plainRequest("r2").WithAccount("a"))
	f.now = f.now.Add(100 * time.Millisecond)
	f.scheduler.Ended(f.now, "r2", OutcomeComplete)
	c.Assert(used("desk").Round(time.Millisecond), qt.Equals, time.Duration(shareLeft(100*time.Millisecond)*float64(100*time.Millisecond)).Round(time.Millisecond))
}

// A successor that starts with the running requests charges them to their accounts, so that
// the one that runs the most yields.
func TestSuccessorKnowsWhatAccountsRun(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	for i := range 16 {
		request := f.short(fmt.Sprint("r", i), 4000).WithAccount([]string{"large", "large", "large", "small"}[i%4])
		f.scheduler.Adopt(f.now, f.owner, NewRunningRequest(request, "e00", nil))
	}
	f.submitMany("large", 4)
	f.submitMany("small", 4)
	p := f.scheduler.pools["llm"]
	p.sortQueue(f.now)
	c.Assert(p.queue[0].request.account, qt.Equals, "small")
	c.Assert(p.queue[0].standing.over, qt.IsFalse)
	c.Assert(p.queue[7].request.account, qt.Equals, "large")
	c.Assert(p.queue[7].standing.over, qt.IsTrue)
}

// An account that was silent for long has no more than its share of the last second: most
// of a burst yields to an account that has used its share.
func TestSilentAccountSavesNoCredit(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	f.submitMany("silent", 1)
	f.now = f.now.Add(time.Hour)
	f.submitMany("steady", 16)
	f.submitMany("silent", 60)
	f.submitMany("steady", 4)
	p := f.scheduler.pools["llm"]
	p.sortQueue(f.now)
	within := 0
	for _, q := range p.queue {
		if q.request.account == "silent" && !q.standing.over {
			within++
		}
	}
	c.Assert(within <= 16, qt.IsTrue, qt.Commentf("%d", within))
}

// A million accounts that come once neither grow the state nor push out those that compete.
func TestMillionAccounts(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	f.submitMany("large", 40)
	f.submitMany("small", 2)
	s := &f.scheduler.pools["llm"].shares
	for i := range 1_000_000 {
		a := s.account(f.now, fmt.Sprint("account-", i))
		a.refused += time.Millisecond
		if i%1000 == 0 {
			c.Assert(len(s.accounts) <= maxAccounts && len(s.byName) == len(s.accounts), qt.IsTrue)
		}
	}
	c.Assert(s.byName["large"].used > time.Second, qt.IsTrue)
	c.Assert(s.byName["small"], qt.Not(qt.IsNil))
	c.Assert(len(f.scheduler.AccountUsages(f.now)["llm"]), qt.Equals, maxReportedAccounts)
}

// FuzzShares checks what must hold whatever accounts ask for: no server is idle while a
// queued request fits, waits are bounded, the state is bounded, and the same inputs give the
// same decisions.
func FuzzShares(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		c := qt.New(t)
		c.Assert(runRandomly(c, seed), qt.DeepEquals, runRandomly(c, seed))
	})
}

// runRandomly runs random requests and returns what was decided.
func runRandomly(c *qt.C, seed uint64) []string {
	random := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(2+random.IntN(4), 0)
	p := f.scheduler.pools["llm"]
	var log, running []string
	record := func(decisions ...Decision) {
		for _, d := range decisions {
			log = append(log, fmt.Sprintf("%T %+v", d, d))
			if granted, ok := d.(Granted); ok {
				running = append(running, granted.Grant().ID())
			}
		}
	}
	for i := range 400 {
		account := fmt.Sprint("account-", min(random.IntN(4), random.IntN(20)))
		request := f.short(fmt.Sprint("r", i), 100+random.IntN(20_000))
		if random.IntN(20) == 0 {
			request = f.long(request.ID(), 100_000+random.IntN(200_000))
		}
		record(f.scheduler.Submit(f.now, f.owner, request.WithAccount(account).WithPriority(random.IntN(3))))
		record(f.scheduler.Undelivered()...)
		f.now = f.now.Add(time.Duration(random.IntN(12)) * time.Millisecond)
		for len(running) > 0 && random.IntN(3) == 0 {
			n := random.IntN(len(running))
			f.scheduler.Started(f.now, running[n])
			f.scheduler.Ended(f.now, running[n], []Outcome{OutcomeComplete, OutcomeCancelled, OutcomeUnreachable}[random.IntN(12)/5])
			running = slices.Delete(running, n, n+1)
		}
		if i%3 != 0 {
			continue
		}
		record(f.scheduler.Tick(f.now)...)
		c.Assert(len(p.shares.accounts) <= maxAccounts, qt.IsTrue)
		for n, q := range p.queue {
			c.Assert(f.now.Before(p.queueDeadline(q.request)), qt.IsTrue)
			choice := p.choose(f.now, p.candidates(f.now, q.request), q.request, false)
			c.Assert(n < maxFailedPlacements && choice.server != nil && p.leavesRoom(f.now, q.request, choice), qt.IsFalse, qt.Commentf("%s fits", q.request.id))
		}
	}
	return log
}

// Guards against a double charge of a request that runs on another server than the one on
// which this scheduler placed it.
func TestReplacedPlacementIsRefunded(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3, 0)
	request := f.short("r", 4000).WithAccount("a")
	placed := f.granted(c, request).Server()
	once := f.scheduler.pools["llm"].shares.account(f.now, "a").used
	other := "e00"
	if placed == other {
		other = "e01"
	}
	f.scheduler.Adopt(f.now, f.owner, NewRunningRequest(request, other, nil))
	c.Assert(f.scheduler.pools["llm"].shares.account(f.now, "a").used, qt.Equals, once)
}

// Guards against a crash when many accounts that use more push out one whose request is queued.
func TestQueuedAccountsMayBeDropped(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	f.submitMany("busy", 16)
	p := f.scheduler.pools["llm"]
	waiting := len(p.queue)
	for i := range maxAccounts - len(p.shares.accounts) - 1 {
		p.shares.account(f.now, fmt.Sprint("large-", i)).used = time.Hour
	}
	for i := range 3 {
		p.queue = append(p.queue, &queuedRequest{owner: f.owner, request: f.short(fmt.Sprint("q", i), 2000).WithAccount(fmt.Sprint("small-", i))})
	}
	decisions := f.scheduler.Tick(f.now)
	c.Assert(len(decisions)+len(p.queue), qt.Equals, waiting+3)
}

// Guards against forecast refusals that don't count as demand: the account's share would
// then be divided as if it did not ask.
func TestForecastRefusalCountsForTheAccount(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	f.submitMany("a", 16)
	f.now = f.now.Add(minObservation)
	refused := int64(0)
	for _, d := range f.submitMany("b", 100) {
		if r, ok := d.(Refused); ok {
			c.Assert(r.Reason(), qt.Equals, ReasonNoRoom)
			refused++
		}
	}
	a := f.scheduler.pools["llm"].shares.account(f.now, "b")
	c.Assert(refused > 0, qt.IsTrue)
	c.Assert(a.refusals, qt.Equals, refused)
}
