package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/cuttest"
	"greengagedock.example/registry"
	"greengagedock.example/standin"
)

const (
	// From cutSettleTime after the start of a cut, callers of the entries that are cut off
	// must be served at minCutShare of the share at the others, and these at minOtherShare.
	cutSettleTime = 3 * time.Second
	cutTestTime   = 3 * time.Second
	minCutShare   = 2.0 / 3
	minOtherShare = 0.98
)

// callAll has two callers of each entry call, one call after the other, until stop is
// called, which returns the share of the calls at each entry that was served.
func (f *fleet) callAll(method string) (stop func() []float64) {
	served, sent := make([]int, len(f.entries)), make([]int, len(f.entries))
	var mu sync.Mutex
	var running sync.WaitGroup
	ended := make(chan struct{})
	for i, entry := range f.entries {
		for n := range 2 {
			running.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-time.After(20 * time.Millisecond):
					case <-ended:
						return
					}
					status, _ := f.grant(entry, method, fmt.Sprintf(`{"strip": "%d %d %d"}`, i, n, k))
					mu.Lock()
					sent[i]++
					if status == http.StatusOK {
						served[i]++
					}
					mu.Unlock()
				}
			})
		}
	}
	return func() []float64 {
		close(ended)
		running.Wait()
		shares := make([]float64, len(f.entries))
		for i := range shares {
			shares[i] = float64(served[i]) / float64(max(1, sent[i]))
		}
		return shares
	}
}

// Guards against RECOVER: callers of entries that have lost the way to all servers are
// refused, or fail after their time limit, and those of other entries with them.
func TestEntriesCutOffFromServersServeCalls(t *testing.T) {
	for _, mode := range []cuttest.Mode{cuttest.Silent, cuttest.Reset, cuttest.New} {
		for _, cut := range []int{1, 2} {
			t.Run(fmt.Sprint(mode, cut), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 0)
				for i := range 5 {
					id := fmt.Sprintf("service-%d", i)
					f.publishServer(id, registry.KindService, i, f.serve(standin.NewService(id)), "licensing")
				}
				f.start(3)
				warm := f.callAll(http.MethodGet)
				time.Sleep(time.Second)
				for _, network := range f.networks[:cut] {
					network.SetMode(mode)
				}
				time.Sleep(cutSettleTime)
				warm()
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					stop := f.callAll(method)
					time.Sleep(cutTestTime)
					shares := stop()
					comment := qt.Commentf("shares of %s served %.2f, the first %d cut off", method, shares, cut)
					for i, share := range shares {
						if i < cut {
							f.c.Check(share >= minCutShare*shares[len(shares)-1], qt.IsTrue, comment)
						} else {
							f.c.Check(share >= minOtherShare, qt.IsTrue, comment)
						}
					}
				}
			})
		}
	}
}
