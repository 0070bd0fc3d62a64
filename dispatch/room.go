package dispatch

import "time"

const (
	// roomSlackFraction is the fraction of a longer objective during which a request leaves
	// room for requests with the shortest objective. It then has precedence until its
	// objective is missed: one that left room for all of that time would meet it by chance.
	roomSlackFraction = 0.5
	// objectiveMemory is how long an objective counts as in use after its last request.
	objectiveMemory = 3 * time.Second
)

// mustLeaveRoom reports whether a request may only be placed where enough slots remain for
// the requests that are expected meanwhile: a late one, and one with a longer objective
// than others that has time left to wait.
func (p *pool) mustLeaveRoom(now time.Time, request Request) bool {
	if !now.Before(request.objective) {
		return true
	}
	objective := request.objective.Sub(request.arrived)
	slack := time.Duration(roomSlackFraction * float64(objective))
	return now.Sub(request.arrived) < slack && p.shortestObjective(now) < objective
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
