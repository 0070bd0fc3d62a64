package backend

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLedger measures a want from its ask to its release, beside the
// given number of kept servers and of wants that wait.
func BenchmarkLedger(b *testing.B) {
	for _, servers := range []int{3, 20, 40} {
		for _, queued := range []int{0, 100} {
			b.Run(fmt.Sprintf("servers=%d/queued=%d", servers, queued), func(b *testing.B) {
				benchmarkLedger(b, servers, queued)
			})
		}
	}
}

func benchmarkLedger(b *testing.B, servers, queued int) {
	l := NewAllocator("entry-1")
	for i := range servers {
		id := fmt.Sprintf("s%02d", i)
		bearing := NewCapacity(NewLoad(32, 400_000), NewLoad(32, 400_000), 1)
		l.AddServer(testStart, testServer(id, bearing))
		l.SetKeeperLease(id, KeeperLeaseFull)
		l.Report(testStart, testReport(id, "a"))
	}
	for i := range queued {
		want := NewSlotRequest(fmt.Sprint("q", i), testOwner, "account-1", testWork, NewCost(390_000, 100), testStart.Add(time.Hour))
		l.Request(testStart, want)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := testStart.Add(time.Duration(i%1000) * time.Millisecond)
		id := fmt.Sprint("w", i)
		for _, d := range l.Request(now, testWant(id, 1_000, now)) {
			if g, ok := d.(Granted); ok {
				l.Release(now, testOwner, g.slot.server, id, OutcomeFinished)
			}
		}
	}
}
