package backend

import "time"

const (
	// warmthSteps is the number of steps from the cold to the warm bearing.
	warmthSteps = 4
	// coldAfterSlow is the number of slow answers in a row that turn a server cold.
	coldAfterSlow = 2
	// coldAfterFailures is the number of failures since the last report that stop grants until the next.
	coldAfterFailures = 2
)

// warmth is what one incarnation of a server has earned; its zero value is cold.
type warmth struct {
	answers int
	step    int
	since   time.Time
	slow    int
}

// cool makes the server cold from now on.
func (w *warmth) cool(now time.Time) { *w = warmth{since: now} }

// finished counts a whole answer of an attempt granted at granted. A step
// above the first needs an answer that was granted at the step below.
func (w *warmth) finished(now, granted time.Time, bearing Capacity) {
	w.slow = 0
	if granted.Before(w.since) {
		return
	}
	w.answers++
	if w.answers < bearing.warmAfter || w.step == warmthSteps {
		return
	}
	w.step++
	w.since = now
}

// slowed counts an answer far slower than expected; several in a row turn the server cold.
func (w *warmth) slowed(now time.Time) {
	w.slow++
	if w.slow == coldAfterSlow {
		w.cool(now)
	}
}

// cold reports whether nothing above the cold bearing is earned.
func (w *warmth) cold() bool { return w.step == 0 }

// limit returns the load that the server may get.
func (w *warmth) limit(bearing Capacity) Load {
	cold := Load{
		requests: min(bearing.cold.requests, bearing.warm.requests),
		tokens:   min(bearing.cold.tokens, bearing.warm.tokens),
	}
	return cold.Add(bearing.warm.Sub(cold).part(w.step, warmthSteps))
}
