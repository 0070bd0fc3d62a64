package backend

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serveLane serves a lane until it is empty or n tokens are served, and returns the tokens of each account.
func serveLane(l *lane, n int) map[string]int {
	served := map[string]int{}
	for sum := 0; sum < n && l.length > 0; {
		f := l.order()[0]
		w := f.wants[0]
		l.serve(f, w)
		served[w.want.account] += w.want.cost.Tokens()
		sum += w.want.cost.Tokens()
	}
	return served
}

func push(l *lane, account string, share, count, tokens int) {
	for i := range count {
		want := NewSlotRequest(fmt.Sprint(account, i), testOwner, account, testWork, NewCost(tokens, 0), testStart.Add(time.Minute))
		l.push(&waiting{want: want.WithShare(share), since: testStart})
	}
}

func TestLaneIsFairByTokens(t *testing.T) {
	type account struct{ share, count, tokens, want int }
	tests := map[string]struct {
		accounts map[string]account
		serve    int
	}{
		"many small against few large wants": {
			map[string]account{"a": {1, 1000, 100, 10_000}, "b": {1, 100, 1_000, 10_000}}, 20_000,
		},
		"by share": {
			map[string]account{"a": {3, 1000, 100, 15_000}, "b": {1, 1000, 100, 5_000}}, 20_000,
		},
		"unused share is lent": {
			map[string]account{"a": {1, 1000, 100, 19_000}, "b": {1, 10, 100, 1_000}}, 20_000,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var l lane
			for account, a := range test.accounts {
				push(&l, account, a.share, a.count, a.tokens)
			}
			served := serveLane(&l, test.serve)
			for account, a := range test.accounts {
				off := max(served[account]-a.want, a.want-served[account])
				c.Assert(off <= 1_000, qt.IsTrue, qt.Commentf("%s got %d", account, served[account]))
			}
		})
	}
}

func TestLaneLendsNoCredit(t *testing.T) {
	c := qt.New(t)
	var l lane
	push(&l, "a", 1, 1000, 100)
	serveLane(&l, 50_000)
	push(&l, "b", 1, 1000, 100)
	served := serveLane(&l, 10_000)
	c.Assert(served["a"] >= 4_900 && served["b"] >= 4_900, qt.IsTrue, qt.Commentf("%v", served))
}

func TestLanePutsPriorityFirst(t *testing.T) {
	c := qt.New(t)
	var l lane
	push(&l, "a", 1, 3, 100)
	high := NewSlotRequest("high", testOwner, "a", testWork, NewCost(100, 0), testStart.Add(time.Minute)).WithPriority(1)
	l.push(&waiting{want: high, since: testStart})
	c.Assert(l.order()[0].wants[0].want.id, qt.Equals, "high")
}

func TestLedgerOverflowDeniesTheLargestAccount(t *testing.T) {
	c := qt.New(t)
	l := testLedger("s1")
	ask := func(id, account string) []Decision {
		want := NewSlotRequest(id, testOwner, account, testWork, NewCost(100, 1), testStart.Add(time.Hour))
		return l.Request(testStart, want)
	}
	for i := range maxQueuedWants + 2 {
		ask(fmt.Sprint("a", i), "account-a")
	}
	out := ask("b0", "account-b")
	c.Assert(out, qt.HasLen, 2)
	c.Assert(out[1].(Denied).want, qt.Matches, "a.*")
	c.Assert(out[1].(Denied).refusal.reason, qt.Equals, ReasonBusy)
}
