package backend

import "time"

const (
	// warmthSteps is the number of steps from the cold to the warm capacity.
	warmthSteps = 4
	// coldAfterSlowAnswers is the number of consecutive slow answers after
	// which a server counts as cold again.
	coldAfterSlowAnswers = 2
	// suspectAfterFailures is the number of failures since the last report
	// that suspend grants until the next.
	suspectAfterFailures = 2
)

// warmth is how far one incarnation of a server has warmed up, from its
// answers; the zero value is cold.
type warmth struct {
	answers     int
	step        int
	since       time.Time
	slowAnswers int
}

// reset makes the server cold from now on.
func (w *warmth) reset(now time.Time) { *w = warmth{since: now} }

// recordFinished counts a complete answer of an attempt granted at granted. A
// step above the first needs an answer that was granted at the step below.
func (w *warmth) recordFinished(now, granted time.Time, capacity Capacity) {
	w.slowAnswers = 0
	if granted.Before(w.since) {
		return
	}
	w.answers++
	if w.answers < capacity.warmAfter || w.step == warmthSteps {
		return
	}
	w.step++
	w.since = now
}

// recordSlow counts an answer that took far longer than expected;
// coldAfterSlowAnswers of them in a row make the server cold.
func (w *warmth) recordSlow(now time.Time) {
	w.slowAnswers++
	if w.slowAnswers == coldAfterSlowAnswers {
		w.reset(now)
	}
}

// cold reports whether the limit is still at the cold capacity.
func (w *warmth) cold() bool { return w.step == 0 }

// limit returns the load allowed on the server at its warmth.
func (w *warmth) limit(capacity Capacity) Load {
	cold := Load{
		requests: min(capacity.cold.requests, capacity.warm.requests),
		tokens:   min(capacity.cold.tokens, capacity.warm.tokens),
	}
	return cold.Add(capacity.warm.Sub(cold).part(w.step, warmthSteps))
}
