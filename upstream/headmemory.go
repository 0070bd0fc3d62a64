package upstream

import "sync/atomic"

// freeHeadBytes is the memory of the head of a response up to which none is reserved.
const freeHeadBytes = 32 << 10

// headMemory bounds the memory of the long heads of all responses. Its zero value has no bound.
type headMemory struct {
	limit int64
	used  atomic.Int64
}

// headReservation is the memory reserved for the head of one response, until that is closed. Its
// zero value reserves nothing.
type headReservation struct {
	memory   *headMemory
	reserved int64
}

// grow has the reservation cover a head that takes so many bytes, doubling it at least, and
// reports false if there is not enough memory left.
func (r *headReservation) grow(bytes int64) bool {
	if r.memory == nil || r.memory.limit <= 0 || bytes <= max(freeHeadBytes, r.reserved) {
		return true
	}
	more := max(bytes, 2*r.reserved) - r.reserved
	if r.memory.used.Add(more) > r.memory.limit {
		r.memory.used.Add(-more)
		return false
	}
	r.reserved += more
	return true
}

// release gives the memory back.
func (r *headReservation) release() {
	if r.reserved > 0 {
		r.memory.used.Add(-r.reserved)
		r.reserved = 0
	}
}
