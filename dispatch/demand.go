package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// demandDecayTime is the time constant with which the slot time of arrived
	// requests decays: about the time for which a short request takes a slot.
	demandDecayTime = time.Second
	// maxSlotLoad is the fraction of the slots of the remaining servers that requests
	// may be expected to take while a late request occupies some servers.
	maxSlotLoad = 0.75
)

// slotTime returns the time for which a request is expected to take a slot of a
// server whose slots are all taken.
func (p *pool) slotTime(request Request) time.Duration {
	engine := p.service.Engine()
	context := min(engine.Memory(), engine.Slots()*(request.prompt+request.answer))
	passes := float64(request.answer) / float64(engine.StepsPerPass())
	return engine.PrefillTime(request.prompt, typicalPrefillShare) + time.Duration(passes*float64(engine.DecodePassTime(engine.Slots(), context)))
}

// countDemand counts the slot time of an arrived request.
func (p *pool) countDemand(now time.Time, request Request) {
	p.recentSlotTime = time.Duration(p.slotDemand(now)*float64(demandDecayTime)) + p.slotTime(request)
	p.recentSlotTimeAt = now
}

// slotDemand returns the number of slots that requests take if they go on arriving
// as they did recently.
func (p *pool) slotDemand(now time.Time) float64 {
	left := math.Exp(-float64(now.Sub(p.recentSlotTimeAt)) / float64(demandDecayTime))
	return left * float64(p.recentSlotTime) / float64(demandDecayTime)
}

// leavesRoom reports whether a request that must leave room may take a placement:
// whether the servers that its prefill does not occupy have enough slots for the
// requests that are expected meanwhile. Those take precedence over it even before
// they arrive, since a long prefill can't be interrupted.
func (p *pool) leavesRoom(now time.Time, request Request, choice placement) bool {
	if p.service.Engine() == nil || !p.mustLeaveRoom(now, request) {
		return true
	}
	slots, others := 0, 0
	for _, s := range p.order {
		if !s.usable || s == choice.server || slices.Contains(choice.workers, s) {
			continue
		}
		others++
		if s.backlog(now) <= maxSplitBacklog {
			slots += s.slots()
		}
	}
	return others == 0 || p.slotDemand(now) <= maxSlotLoad*float64(slots)
}
