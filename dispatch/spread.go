package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// spreadPart is the part of a server's free memory that a spread prompt may
	// take: what an engine counts in blocks, and for its answer, is more than its tokens.
	spreadPart = 0.75
	// A prompt that is spread reads for longer than several others that would be
	// on time: it waits while the reading of loadTime and its own take more than
	// spreadLoad of the servers' time, unless less than idleLoad was placed.
	spreadLoad = 0.6
	idleLoad   = 0.1
	loadTime   = 3 * time.Second
)

// load returns the part of the servers' time that lately placed reading and
// the given one take.
func (p *pool) load(now time.Time, more time.Duration) float64 {
	usable, _ := p.usable(now)
	if usable == 0 {
		return 1
	}
	return float64(p.lately(now)+more) / (float64(loadTime) * float64(usable))
}

// lately returns the reading that was placed, of which the older counts less.
func (p *pool) lately(now time.Time) time.Duration {
	return time.Duration(float64(p.given) * math.Exp(-float64(now.Sub(p.givenAt))/float64(loadTime)))
}

// chooseSpread returns where a prompt goes that is larger than one engine's
// memory: a server with no answers, and helpers that hold what it has no room for.
func (p *pool) chooseSpread(now time.Time, open []*server, want Request) placement {
	if p.load(now, 0) > idleLoad && p.load(now, p.reading(want)) > spreadLoad && !p.owed(want) {
		return placement{}
	}
	readers := p.readers(now, open)
	readers = slices.DeleteFunc(readers, func(s *server) bool { return len(s.holds) > 0 })
	if len(readers) < 2 {
		return placement{}
	}
	first := readers[0]
	room := int(spreadPart*float64(first.engine.Memory()-first.memory)) - want.answer
	choice, ok := withHelpers(now, first, readers, want.prompt, min(maxHelpers, len(readers)-1))
	_, acceptable := want.targets(now)
	if !ok || choice.first > max(acceptable, time.Duration(onTimePart*float64(want.objective.Sub(now)))) {
		return placement{}
	}
	left := want.prompt - room
	choice.reserve = make([]int, len(choice.helpers))
	for i, helper := range choice.helpers {
		if left <= 0 {
			break
		}
		tokens := min(left, int(spreadPart*float64(helper.engine.Memory()-helper.memory)))
		if tokens < leastPart {
			continue
		}
		choice.reserve[i] = tokens
		left -= tokens
	}
	if left > 0 {
		return placement{}
	}
	choice.why = "spread"
	return choice
}
