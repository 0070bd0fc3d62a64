package backend

import (
	"time"
)

// legacy is the warmth that an earlier keeper saw one incarnation of a server earn.
type legacy struct {
	incarnation string
	step        int
}

// InheritWarmth takes over what an earlier keeper of a server knew of its warmth;
// it counts only if the server's first report names that incarnation.
func (l *Allocator) InheritWarmth(server, incarnation string, step int) {
	if b := l.book(server); b != nil && !b.known && incarnation != "" {
		b.legacy = legacy{incarnation: incarnation, step: min(max(step, 0), warmthSteps)}
	}
}

// inherit gives a server that was not known before the warmth that an earlier
// keeper saw its incarnation earn.
func (b *book) inherit(now time.Time) {
	if b.legacy.incarnation != b.incarnation || b.legacy.step == 0 {
		return
	}
	b.warmth = warmth{answers: b.server.bearing.warmAfter, step: b.legacy.step, since: now}
}

// Slots returns the slots of an owner that are neither released nor lost, in
// the order of servers and ids.
func (l *Allocator) Slots(owner Owner) []Slot {
	var out []Slot
	for _, b := range l.books {
		for _, e := range b.sorted() {
			if e.slot.owner == owner && !e.lost {
				out = append(out, e.slot)
			}
		}
	}
	return out
}

// SlotFromPeer returns the slot that an owner holds by the word of the keeper that
// granted it, as it travels between entries.
func SlotFromPeer(want SlotRequest, keeper, server, address, incarnation string, startBy time.Time) Slot {
	return Slot{
		id:          want.id,
		owner:       want.owner,
		keeper:      keeper,
		server:      server,
		address:     address,
		incarnation: incarnation,
		cost:        want.cost,
		startBy:     startBy,
		deadline:    want.deadline,
	}
}

// CancelUnclaimed ends the streams that a server's report shows, that no owner has
// claimed for the given time, and whose owner is gone by the caller's word.
func (l *Allocator) CancelUnclaimed(now time.Time, after time.Duration, gone func(server string, owner Owner) bool) []Decision {
	var out []Decision
	for _, b := range l.books {
		for id, u := range b.unclaimed {
			owner, named := AttemptOwner(id)
			if named && now.Sub(u.since) >= after && gone(b.server.id, owner) {
				u.ended = true
			}
		}
		out = append(out, b.orphans(now)...)
	}
	return out
}

// LastReportTime returns when the newest report of a server was taken, zero if
// there was none.
func (l *Allocator) LastReportTime(server string) time.Time {
	if b := l.book(server); b != nil {
		return b.taken
	}
	return time.Time{}
}
