package backend

import (
	"time"
)

// inheritedWarmth is the warmth that an earlier keeper measured for one
// incarnation of a server.
type inheritedWarmth struct {
	incarnation string
	step        int
}

// InheritWarmth sets the warmth step that an earlier keeper of a server
// measured. It takes effect only if the server's first report names the same
// incarnation.
func (a *Allocator) InheritWarmth(server, incarnation string, step int) {
	if b := a.backend(server); b != nil && !b.reported && incarnation != "" {
		b.inherited = inheritedWarmth{incarnation: incarnation, step: min(max(step, 0), warmthSteps)}
	}
}

// applyInherited gives a server that has just sent its first report the
// warmth that an earlier keeper measured for the incarnation.
func (b *backendState) applyInherited(now time.Time) {
	if b.inherited.incarnation != b.incarnation || b.inherited.step == 0 {
		return
	}
	b.warmth = warmth{answers: b.server.capacity.warmAfter, step: b.inherited.step, since: now}
}

// Slots returns the slots that an owner holds and that are neither released
// nor lost, ordered by server and id.
func (a *Allocator) Slots(owner Owner) []Slot {
	var out []Slot
	for _, b := range a.backends {
		for _, g := range b.sortedGrants() {
			if g.slot.owner == owner && !g.lost {
				out = append(out, g.slot)
			}
		}
	}
	return out
}

// SlotFromPeer returns the slot that a peer's message describes: one that the
// keeper granted to this entry, or one that another owner reports as held.
func SlotFromPeer(request SlotRequest, keeper, server, address, incarnation string, startBy time.Time) Slot {
	return Slot{
		id:          request.id,
		owner:       request.owner,
		keeper:      keeper,
		server:      server,
		address:     address,
		incarnation: incarnation,
		cost:        request.cost,
		startBy:     startBy,
		deadline:    request.deadline,
	}
}

// CancelUnclaimed cancels the streams that servers report, that no owner has
// claimed for minAge, and whose owner no longer exists according to gone.
func (a *Allocator) CancelUnclaimed(now time.Time, minAge time.Duration, gone func(server string, owner Owner) bool) []Decision {
	var out []Decision
	for _, b := range a.backends {
		for id, u := range b.unclaimed {
			owner, ok := AttemptOwner(id)
			if ok && now.Sub(u.since) >= minAge && gone(b.server.id, owner) {
				u.ended = true
			}
		}
		out = append(out, b.dueCancels(now)...)
	}
	return out
}

// LastReportTime returns when the newest report of a server was taken, zero
// if there was none.
func (a *Allocator) LastReportTime(server string) time.Time {
	if b := a.backend(server); b != nil {
		return b.reportTaken
	}
	return time.Time{}
}
