package experiment

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// unserved returns the fraction of the requests of accounts whose name begins so that were
// refused or abandoned.
func unserved(r *Report, prefix string) float64 {
	s := r.summarizeIf(func(q *request) bool { return strings.HasPrefix(q.account, prefix) })
	return float64(s.Refused()+s.disconnected) / float64(max(1, s.requests))
}

// competing returns a load of 23 small accounts, and a kind that only a large one sends.
func competing(c *qt.C, servers int, like string, perSecond float64, windows ...Window) Workload {
	w := loadOf(c, "competing_accounts")
	w = w.WithServers(servers).WithRate(1.3 * float64(servers) / float64(w.servers))
	w.length, w.windows = 8*time.Second, windows
	flood := w.kinds[slices.IndexFunc(w.kinds, func(k Kind) bool { return k.name == like })]
	flood.name, flood.perSecond = "flood", perSecond
	w.kinds = append(slices.Clone(w.kinds), flood)
	return w.WithAccounts(
		NewAccountGroup("large", 1, 1),
		NewAccountGroup("small", 23, 1).WithFactors(map[string]float64{"flood": 0}),
	)
}

// One account asks for ten times its share or more, by its requests, its retries, its
// lengths or by being first. Accounts under their share are refused at most 2 in 100, and
// not much more often than an ideal scheduler would refuse them, which is when they are
// alone. What is served is worth about as much as if accounts were not known.
func TestLargeAccountDoesNotDisplaceSmallOnes(t *testing.T) {
	const seeds, maxSmall, minWorth = 20, 0.02, 0.97
	// A third of the fleet has the same load for each server. With long prompts it would
	// have too few: one of the longest takes all 15 engines for a while.
	retrying := func(c *qt.C) Workload {
		w := competing(c, 15, "short", 90)
		w.accounts[0] = w.accounts[0].WithRetries(5)
		return w
	}
	early := Window{length: 2 * time.Second, factors: map[string]float64{"flood": 4, "short": 0, "medium": 0, "long": 0}}
	for name, load := range map[string]func(c *qt.C) Workload{
		"most requests":     func(c *qt.C) Workload { return competing(c, 15, "short", 90) },
		"most retries":      retrying,
		"longest prompts":   func(c *qt.C) Workload { return competing(c, 45, "long", 9) },
		"earliest arrivals": func(c *qt.C) Workload { return competing(c, 15, "short", 60, early) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := load(c)
			mean := func(w Workload, p Policy, n uint64) (large, small, worth float64) {
				for seed := range n {
					r := Run(w, p, seed+1)
					large += unserved(r, "large") / float64(n)
					small += unserved(r, "small") / float64(n)
					worth += r.Summarize("").Worth() / float64(n)
				}
				return large, small, worth
			}
			large, small, worth := mean(w, Shared{}, seeds)
			_, smallUnshared, worthUnshared := mean(w, Unshared{}, seeds)
			_, smallFIFO, worthFIFO := mean(w, FIFO{}, seeds/4)
			_, smallAlone, _ := mean(w.WithOnly("short", "medium", "long"), Shared{}, seeds/4)
			t.Logf("unserved: large %.3f, small %.3f, unshared %.3f, fifo %.3f, alone %.3f; worth %.3f, unshared %.3f, fifo %.3f",
				large, small, smallUnshared, smallFIFO, smallAlone, worth, worthUnshared, worthFIFO)
			c.Check(large > small, qt.IsTrue)
			c.Check(small <= maxSmall, qt.IsTrue)
			c.Check(small <= smallAlone+maxSmall, qt.IsTrue)
			c.Check(small < smallFIFO, qt.IsTrue)
			c.Check(worth >= minWorth*worthUnshared, qt.IsTrue)
		})
	}
}

// Accounts of similar size are served as if accounts were not known, and the accounts of a
// load that come and go each with few requests cost no worth.
func TestSimilarAccountsAreServedAsBefore(t *testing.T) {
	c := qt.New(t)
	const minWorth = 0.98
	worth := func(w Workload, p Policy) float64 {
		total := 0.0
		for seed := range uint64(patternSeeds) {
			total += Run(w, p, seed+1).Summarize("").Worth() / patternSeeds
		}
		return total
	}
	for name, servers := range map[string]int{"kinross": 18, "vinetas": 11} {
		w := loadOf(c, name).WithServers(servers)
		unshared := worth(w, Unshared{})
		for _, count := range []int{10, 24, maxAccounts} {
			shared := worth(w.WithAccounts(NewAccountGroup("account", count, 1)), Shared{})
			t.Logf("%s, %d accounts: %.3f, unshared %.3f", name, count, shared, unshared)
			c.Check(shared >= minWorth*unshared, qt.IsTrue)
		}
	}
}

func TestAccountsAreReported(t *testing.T) {
	c := qt.New(t)
	r := Run(loadOf(c, "competing_accounts"), Shared{}, 1)
	c.Assert(r.Accounts(), qt.HasLen, 24)
	c.Assert(r.Accounts()[0], qt.Equals, "large")
	part := float64(r.SummarizeAccount("large").Requests()) / float64(r.Summarize("").Requests())
	c.Assert(part > 0.3 && part < 0.37, qt.IsTrue)
	var out bytes.Buffer
	c.Assert(r.Print(&out), qt.IsNil)
	c.Assert(out.String(), qt.Contains, "account large")
}
