package cuttest

import (
	"sync"
	"time"
)

const (
	// SettleTime is the time from the start of a cut on which callers must be served again,
	// and TestTime is for how long this is to be watched.
	SettleTime = 3 * time.Second
	TestTime   = 3 * time.Second
	// MinCutShare is the least share of the calls at entries that are cut off that must be
	// served, relative to the share at the others, and MinOtherShare the least share at these.
	MinCutShare   = 2.0 / 3
	MinOtherShare = 0.98

	// callersPerEntry is the number of callers of each entry, callInterval the time between
	// two calls of one.
	callersPerEntry = 2
	callInterval    = 20 * time.Millisecond
)

// Press has callers of each of some entries call, one call after the other, until stop is
// called, which returns the share of the calls at each entry that was served. call reports
// whether a call at an entry was.
func Press(entries int, call func(entry int) bool) (stop func() []float64) {
	served, sent := make([]int, entries), make([]int, entries)
	var mu sync.Mutex
	var running sync.WaitGroup
	ended := make(chan struct{})
	for i := range entries * callersPerEntry {
		entry := i % entries
		running.Go(func() {
			for {
				select {
				case <-time.After(callInterval):
				case <-ended:
					return
				}
				ok := call(entry)
				mu.Lock()
				sent[entry]++
				if ok {
					served[entry]++
				}
				mu.Unlock()
			}
		})
	}
	return func() []float64 {
		close(ended)
		running.Wait()
		shares := make([]float64, entries)
		for i := range shares {
			shares[i] = float64(served[i]) / float64(max(1, sent[i]))
		}
		return shares
	}
}

// Served reports whether callers are served as they must be while the first entries, so many,
// are cut off, given the shares that Press returns.
func Served(shares []float64, cut int) bool {
	other := shares[len(shares)-1]
	for i, share := range shares {
		if i < cut && share < MinCutShare*other || i >= cut && share < MinOtherShare {
			return false
		}
	}
	return true
}
