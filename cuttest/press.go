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

	// AdaptTime is the time from the start of a cut within which MinEarlyShare of what others
	// get must be served, and from which on MinLateShare must; CutTime is how long it lasts.
	AdaptTime     = 2 * time.Second
	CutTime       = 9 * time.Second
	MinEarlyShare = 2.0 / 3
	MinLateShare  = 0.95

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

// PressAcross has callers press from the start of a cut on, in two windows: from its start to
// AdaptTime, and from then to its end after CutTime. It returns the shares of both.
func PressAcross(entries int, call func(entry int) bool, cut func()) (early, late []float64) {
	cut()
	first := Press(entries, call)
	time.Sleep(AdaptTime)
	second := Press(entries, call)
	early = first()
	time.Sleep(CutTime - AdaptTime)
	return early, second()
}

// ServedAcross reports whether callers are served as they must be from the start of a cut of
// the first entries, so many, on, given the shares that PressAcross returns.
func ServedAcross(early, late []float64, cut int) bool {
	for i := range late {
		others := [2]float64{early[len(early)-1], late[len(late)-1]}
		if i < cut && (early[i] < MinEarlyShare*others[0] || late[i] < MinLateShare*others[1]) || i >= cut && min(early[i], late[i]) < MinOtherShare {
			return false
		}
	}
	return true
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
