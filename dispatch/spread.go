package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// maxSpreadMemoryFraction is the fraction of a server's free memory that a spread prompt may
	// take: engines allocate memory in blocks and need some for answers, which adds up
	// to more than the prompt's tokens.
	maxSpreadMemoryFraction = 0.75
	// A spread prompt needs more prefill time than several others that could meet
	// their objectives. It therefore waits while its prefill and the recent prefill,
	// decaying over loadDecayTime, exceed maxSpreadLoad of the servers' time, unless
	// the recent prefill alone is below idleLoad.
	maxSpreadLoad = 0.6
	idleLoad      = 0.1
	loadDecayTime = 3 * time.Second
	// minObservedTime is the shortest time from which the load of a scheduler that has just
	// started is estimated.
	minObservedTime = 50 * time.Millisecond
)

// load returns the fraction of the servers' time that recent prefill and the added
// prefill take.
func (p *pool) load(now time.Time, added time.Duration) float64 {
	usable, _ := p.usable(now)
	if usable == 0 {
		return 1
	}
	return (float64(p.recentPrefillTime(now))/p.observedFraction(now, loadDecayTime) + float64(added)) / (float64(loadDecayTime) * float64(usable))
}

// observedFraction returns the fraction of an exponentially decaying sum that this scheduler
// can have collected since it began to place all requests; the rest of it, placed by others
// before, is unknown. Dividing by it corrects the bias of a short history.
func (p *pool) observedFraction(now time.Time, decay time.Duration) float64 {
	return -math.Expm1(-float64(max(now.Sub(p.observedFrom), minObservedTime)) / float64(decay))
}

// recentPrefillTime returns the recently placed prefill time, with exponential decay.
func (p *pool) recentPrefillTime(now time.Time) time.Duration {
	return time.Duration(float64(p.recentPrefill) * math.Exp(-float64(now.Sub(p.recentPrefillAt))/float64(loadDecayTime)))
}

// chooseSpread returns a placement of a prompt that exceeds one engine's memory: on
// an idle server, with prefill workers that hold the part that does not fit there.
func (p *pool) chooseSpread(now time.Time, available []*server, request Request) placement {
	if p.load(now, 0) > idleLoad && p.load(now, p.prefillTime(request)) > maxSpreadLoad && !p.underserved(request) {
		return placement{}
	}
	for _, limited := range []bool{false, true} {
		if choice := p.spreadOver(now, p.prefillCandidates(now, available, limited), request); choice.server != nil {
			return choice
		}
	}
	return placement{}
}

// spreadOver returns a placement of such a prompt on some of the servers, those with a rate
// limit only if the others can't hold it.
func (p *pool) spreadOver(now time.Time, workers []*server, request Request) placement {
	workers = slices.DeleteFunc(workers, func(s *server) bool { return len(s.running) > 0 })
	if len(workers) < 2 {
		return placement{}
	}
	primary := workers[0]
	room := int(maxSpreadMemoryFraction*float64(primary.engine.Memory()-primary.memory)) - request.answer
	choice, ok := withWorkers(now, primary, workers, request.prompt, min(maxPrefillWorkers, len(workers)-1))
	_, acceptable := request.targets(now)
	if !ok || choice.timeToFirstToken > max(acceptable, time.Duration(acceptableFraction*float64(request.objective.Sub(now)))) {
		return placement{}
	}
	remaining := request.prompt - room
	choice.reservedTokens = make([]int, len(choice.workers))
	for i, worker := range choice.workers {
		if remaining <= 0 {
			break
		}
		tokens := min(remaining, int(maxSpreadMemoryFraction*float64(worker.engine.Memory()-worker.memory)))
		if tokens < minPrefillTokens {
			continue
		}
		choice.reservedTokens[i] = tokens
		remaining -= tokens
	}
	if remaining > 0 {
		return placement{}
	}
	choice.explanation = "spread"
	return choice
}
