package backend

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serve dequeues requests until the queue is empty or n tokens are served,
// and returns the tokens of each account.
func serve(q *classQueue, n int) map[string]int {
	served := map[string]int{}
	for sum := 0; sum < n && q.length > 0; {
		f := q.activeFlows()[0]
		w := f.requests[0]
		q.dequeue(f, w)
		served[w.request.account] += w.request.cost.Tokens()
		sum += w.request.cost.Tokens()
	}
	return served
}

func push(q *classQueue, account string, share, count, tokens int) {
	for i := range count {
		request := NewSlotRequest(fmt.Sprint(account, i), testOwner, account, testWorkload, NewCost(tokens, 0), testStart.Add(time.Minute))
		q.push(&queuedRequest{request: request.WithShare(share), since: testStart})
	}
}

func TestClassQueueSharesByTokens(t *testing.T) {
	type account struct{ share, count, tokens, want int }
	tests := map[string]struct {
		accounts map[string]account
		serve    int
	}{
		"many small against few large requests": {
			map[string]account{"a": {1, 1000, 100, 10_000}, "b": {1, 100, 1_000, 10_000}}, 20_000,
		},
		"by share": {
			map[string]account{"a": {3, 1000, 100, 15_000}, "b": {1, 1000, 100, 5_000}}, 20_000,
		},
		"unused share is redistributed": {
			map[string]account{"a": {1, 1000, 100, 19_000}, "b": {1, 10, 100, 1_000}}, 20_000,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var q classQueue
			for account, a := range test.accounts {
				push(&q, account, a.share, a.count, a.tokens)
			}
			served := serve(&q, test.serve)
			for account, a := range test.accounts {
				off := max(served[account]-a.want, a.want-served[account])
				c.Assert(off <= 1_000, qt.IsTrue, qt.Commentf("%s got %d", account, served[account]))
			}
		})
	}
}

func TestClassQueueGivesNoCreditForIdleTime(t *testing.T) {
	c := qt.New(t)
	var q classQueue
	push(&q, "a", 1, 1000, 100)
	serve(&q, 50_000)
	push(&q, "b", 1, 1000, 100)
	served := serve(&q, 10_000)
	c.Assert(served["a"] >= 4_900 && served["b"] >= 4_900, qt.IsTrue, qt.Commentf("%v", served))
}

func TestClassQueuePriority(t *testing.T) {
	c := qt.New(t)
	var q classQueue
	push(&q, "a", 1, 3, 100)
	high := NewSlotRequest("high", testOwner, "a", testWorkload, NewCost(100, 0), testStart.Add(time.Minute)).WithPriority(1)
	q.push(&queuedRequest{request: high, since: testStart})
	c.Assert(q.activeFlows()[0].requests[0].request.id, qt.Equals, "high")
}

func TestAllocatorOverflowDeniesHeaviestAccount(t *testing.T) {
	c := qt.New(t)
	a := testAllocator("s1")
	ask := func(id, account string) []Decision {
		request := NewSlotRequest(id, testOwner, account, testWorkload, NewCost(100, 1), testStart.Add(time.Hour))
		return a.Request(testStart, request)
	}
	for i := range maxQueuedRequests + 2 {
		ask(fmt.Sprint("a", i), "account-a")
	}
	out := ask("b0", "account-b")
	c.Assert(out, qt.HasLen, 2)
	c.Assert(out[1].(Denied).attemptID, qt.Matches, "a.*")
	c.Assert(out[1].(Denied).refusal.reason, qt.Equals, ReasonBusy)
}
