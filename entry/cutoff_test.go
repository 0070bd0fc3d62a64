package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/cuttest"
	"greengagedock.example/registry"
	"greengagedock.example/standin"
)

// press has callers of each entry call the plain service until stop is called.
func (f *fleet) press(method string) (stop func() []float64) {
	var calls atomic.Int64
	return cuttest.Press(len(f.entries), func(entry int) bool {
		status, _ := f.grant(f.entries[entry], method, fmt.Sprintf(`{"strip": "%d"}`, calls.Add(1)))
		return status == http.StatusOK
	})
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
				warm := f.press(http.MethodGet)
				time.Sleep(time.Second)
				for _, network := range f.networks[:cut] {
					network.SetMode(mode)
				}
				time.Sleep(cuttest.SettleTime)
				warm()
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					stop := f.press(method)
					time.Sleep(cuttest.TestTime)
					shares := stop()
					f.c.Check(cuttest.Served(shares, cut), qt.IsTrue, qt.Commentf("shares of %s served %.2f, the first %d cut off", method, shares, cut))
				}
			})
		}
	}
}

// Guards against a handshake that is taken for a way: what is on the way to the servers accepts
// connections, and passes nothing on or resets them.
func TestEntriesBehindAcceptingPathServeCalls(t *testing.T) {
	for _, mode := range []cuttest.Mode{cuttest.Accepting, cuttest.Resetting} {
		for _, cut := range []int{1, 2} {
			t.Run(fmt.Sprint(mode, cut), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 0)
				for i := range 3 {
					id := fmt.Sprintf("service-%d", i)
					f.publishServer(id, registry.KindService, i, f.serve(standin.NewService(id)), "licensing")
				}
				f.start(3)
				warm := f.press(http.MethodGet)
				time.Sleep(time.Second)
				warm()
				var calls atomic.Int64
				early, late := cuttest.PressAcross(len(f.entries), func(entry int) bool {
					call := calls.Add(1)
					method := []string{http.MethodGet, http.MethodPost}[call%2]
					status, _ := f.grant(f.entries[entry], method, fmt.Sprintf(`{"strip": "across-%d"}`, call))
					return status == http.StatusOK
				}, func() {
					for _, network := range f.networks[:cut] {
						network.SetMode(mode)
					}
				})
				f.c.Check(cuttest.ServedAcross(early, late, cut), qt.IsTrue, qt.Commentf("shares served %.2f, then %.2f, the first %d cut off", early, late, cut))
				t.Logf("shares served %.2f, then %.2f, the first %d cut off", early, late, cut)
			})
		}
	}
}
