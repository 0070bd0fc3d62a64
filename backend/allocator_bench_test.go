package backend

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAllocator measures a slot request from Request to Release, with
// the given numbers of servers and of queued requests.
func BenchmarkAllocator(b *testing.B) {
	for _, servers := range []int{3, 20, 40} {
		for _, queued := range []int{0, 100} {
			b.Run(fmt.Sprintf("servers=%d/queued=%d", servers, queued), func(b *testing.B) {
				benchmarkAllocator(b, servers, queued)
			})
		}
	}
}

func benchmarkAllocator(b *testing.B, servers, queued int) {
	a := NewAllocator("entry-1")
	for i := range servers {
		id := fmt.Sprintf("s%02d", i)
		capacity := NewCapacity(NewLoad(32, 400_000), NewLoad(32, 400_000), 1)
		a.AddServer(testStart, testServer(id, capacity))
		a.SetKeeperLease(id, KeeperLeaseFull)
		a.Report(testStart, testReport(id, "a"))
	}
	for i := range queued {
		request := NewSlotRequest(fmt.Sprint("q", i), testOwner, "account-1", testWorkload, NewCost(390_000, 100), testStart.Add(time.Hour))
		a.Request(testStart, request)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := testStart.Add(time.Duration(i%1000) * time.Millisecond)
		id := fmt.Sprint("w", i)
		for _, d := range a.Request(now, testRequest(id, 1_000, now)) {
			if g, ok := d.(Granted); ok {
				a.Release(now, testOwner, g.slot.server, id, OutcomeFinished)
			}
		}
	}
}
