package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"greengagedock.example/platform/platformtest"
)

const (
	// competingAccountsFault is the name of the fault that injectCompetition injects. It is
	// not drawn with the others, since it needs callers of several accounts.
	competingAccountsFault = "competing_accounts"
	// floodCallers is the number of callers of the large account. Their prompts are like those
	// of the others, and ask for more slots than a few engines have.
	floodCallers = 120
	// floodInterval is the mean time between two requests of one of them.
	floodInterval = 200 * time.Millisecond
	// floodSettleTime is the time from the start of the flood until the requests count.
	floodSettleTime = time.Second
	// minAccountShare is how often an account must be served in relation to all of them.
	// Fewer requests than minAccountRequests say nothing.
	minAccountShare    = 0.25
	minAccountRequests = 12
)

// largeAccount is the account of the flood; the other callers have the accounts 1 to
// platformtest.Accounts-1.
const largeAccount = 0

// injectCompetition has a large account ask for more than all servers, until ctx ends. It
// returns a line about it.
func (f *fleet) injectCompetition(ctx context.Context) string {
	start := time.Now()
	f.mu.Lock()
	f.floods = append(f.floods, interval{start.Add(floodSettleTime), start.Add(time.Hour)})
	f.mu.Unlock()
	var running sync.WaitGroup
	for i := range floodCallers {
		c := &caller{fleet: f, number: 1000 + i, random: rand.New(rand.NewPCG(f.seed, uint64(1000+i))), account: largeAccount, floods: true}
		running.Go(func() { c.run(ctx) })
	}
	<-ctx.Done()
	f.mu.Lock()
	f.floods[len(f.floods)-1].to = time.Now()
	f.mu.Unlock()
	running.Wait()
	return fmt.Sprintf("%s for %v", competingAccountsFault, time.Since(start))
}

// accountResults counts the requests of an account that are compared.
type accountResults struct{ total, served int }

func (r accountResults) share() float64 { return float64(r.served) / float64(max(1, r.total)) }

// checkAccounts checks what the prompts of each account got while the large one asked for
// more than all servers: none may be served much less often than all, and those that ask for
// less than their share no less often than the large one. Requests through disturbed
// entries don't count. It returns what it found, empty without a flood.
func (f *fleet) checkAccounts(results []result) string {
	f.mu.Lock()
	floods := f.floods
	f.mu.Unlock()
	if len(floods) == 0 {
		return ""
	}
	var all, small accountResults
	var byAccount [platformtest.Accounts]accountResults
	for _, r := range results {
		if !r.undisturbed || r.kind != kindStream || floods.disjointFrom(r.start, r.start) {
			continue
		}
		counts := []*accountResults{&all, &byAccount[r.account]}
		if r.account != largeAccount {
			counts = append(counts, &small)
		}
		for _, count := range counts {
			count.total++
			if r.served {
				count.served++
			}
		}
	}
	for account, r := range byAccount {
		if r.total >= minAccountRequests && r.share() < minAccountShare*all.share() {
			f.checker.report("account served too seldom: account %d %d of %d, all %d of %d", account, r.served, r.total, all.served, all.total)
		}
	}
	large := byAccount[largeAccount]
	if small.total >= minAccountRequests && large.total >= minAccountRequests && small.share() < large.share() {
		f.checker.report("small accounts served less often than the large one: %d of %d, large %d of %d", small.served, small.total, large.served, large.total)
	}
	return fmt.Sprintf(", small accounts %d of %d, large %d of %d", small.served, small.total, large.served, large.total)
}
