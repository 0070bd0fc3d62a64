package dispatch

import "time"

const (
	// roomSlackFraction is the fraction of a longer objective during which a request leaves
	// room for requests with the shortest objective. It then has precedence until its
	// objective is missed. Leaving room for the whole objective cost long prompts more
	// worth in the experiments than the short ones gained.
	roomSlackFraction = 0.5
	// objectiveMemory is how long an objective counts as in use after its last request.
	objectiveMemory = 3 * time.Second
)

// mustLeaveRoom reports whether a request may only be placed where enough slots remain for
// the requests that are expected meanwhile: a late one, and one with a longer objective
// than others that has time left to wait. A late request of the kind that the room is for
// takes one slot like those; it may while enough slots are free in fact.
func (p *pool) mustLeaveRoom(now time.Time, request Request) bool {
	objective := request.objective.Sub(request.arrived)
	longer := p.shortestObjective(now) < objective
	if !now.Before(request.objective) {
		return longer || !p.hasFreeSlots()
	}
	return longer && now.Sub(request.arrived) < time.Duration(roomSlackFraction*float64(objective))
}

// hasFreeSlots reports whether the requests that are running leave enough slots free for those expected.
func (p *pool) hasFreeSlots() bool {
	slots, running := 0, 0
	for _, s := range p.order {
		if s.usable {
			slots += s.slots()
			running += len(s.running)
		}
	}
	return float64(running) <= maxSlotLoad*float64(slots)
}

// shortestObjective returns the shortest objective of the recent requests, and the longest
// duration if there were none.
func (p *pool) shortestObjective(now time.Time) time.Duration {
	shortest := time.Duration(1<<63 - 1)
	for key, stats := range p.stats {
		if now.Sub(stats.at) <= objectiveMemory {
			shortest = min(shortest, key.objective)
		}
	}
	return shortest
}
