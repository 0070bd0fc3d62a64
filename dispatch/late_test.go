package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// playedRequest is a placed request whose server starts to answer as expected, and answers for
// a fixed time.
type playedRequest struct {
	id       string
	startsAt time.Time
	endsAt   time.Time
	started  bool
}

// play reports the starts and ends of the placed requests that are due, and returns the
// requests that go on.
func (f *fleet) play(placed []*playedRequest) []*playedRequest {
	return slices.DeleteFunc(placed, func(r *playedRequest) bool {
		if !r.started && !f.now.Before(r.startsAt) {
			f.scheduler.Started(f.now, r.id)
			r.started = true
		}
		if f.now.Before(r.endsAt) {
			return false
		}
		f.scheduler.Ended(f.now, r.id, OutcomeComplete)
		return true
	})
}

// returnAtOnce returns the number of callers by millisecond: some that return within a tenth
// of a second, and others that arrive at a rate for two seconds.
func returnAtOnce(random *rand.Rand, returning int, perSecond float64) map[time.Duration]int {
	arrivals := make(map[time.Duration]int)
	for range returning {
		arrivals[time.Duration(random.IntN(100))*time.Millisecond]++
	}
	for at := time.Duration(0); at < 2*time.Second; at += time.Millisecond {
		if random.Float64() < perSecond/1000 {
			arrivals[at]++
		}
	}
	return arrivals
}

// ampleSlots is the fraction of free slots from which no prompt has a reason to wait for one.
const ampleSlots = 0.5

// freeSlots returns the fraction of the slots that are free.
func freeSlots(p *pool) float64 {
	free, total := 0, 0
	for _, s := range p.order {
		free += s.slots() - len(s.running)
		total += s.slots()
	}
	return float64(free) / float64(total)
}

// Pattern: the callers of all running streams return within a tenth of a second to an idle
// fleet whose scheduler has just taken over and queues prompts for longer than their
// objective; others go on arriving. Guards against callers that are refused, or wait until they
// leave, while engines have free slots.
func TestCallersReturnAtOnceToIdleFleet(t *testing.T) {
	const (
		engines, returning = 18, 110
		perSecond          = 5
		answerTokens       = 2500
		answering          = 3500 * time.Millisecond
		held               = 400 * time.Millisecond
		// prefilling is about the time that the prompts of all who return take on all engines.
		prefilling = 250 * time.Millisecond
	)
	c := qt.New(t)
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(engines, 0)
		p := f.scheduler.pools["llm"]
		start := f.now
		f.scheduler.Hold("llm", start.Add(held))
		arrivals := returnAtOnce(random, returning, perSecond)
		var running []*playedRequest
		asked, placed := 0, 0
		record := func(decision Decision) {
			switch d := decision.(type) {
			case Granted:
				placed++
				startsAt := f.now.Add(d.Grant().TimeToFirstToken())
				running = append(running, &playedRequest{id: d.Grant().ID(), startsAt: startsAt, endsAt: startsAt.Add(answering)})
			case Refused:
				c.Assert(freeSlots(p) < ampleSlots, qt.IsTrue, qt.Commentf("seed %d: %s", seed, d.Reason()))
			case Queued:
			}
		}
		for at := time.Duration(0); at < 4*time.Second; at += time.Millisecond {
			f.now = start.Add(at)
			running = f.play(running)
			for range arrivals[at] {
				asked++
				record(f.scheduler.Submit(f.now, f.owner, f.short(fmt.Sprint(asked), 0).WithTokens(1000+random.IntN(8000), answerTokens)))
			}
			if at%TickInterval != 0 {
				continue
			}
			for _, decision := range f.scheduler.Tick(f.now) {
				record(decision)
			}
			if free := freeSlots(p); at > held+prefilling && free >= ampleSlots {
				c.Assert(p.queue, qt.HasLen, 0, qt.Commentf("seed %d, %v: %.2f of the slots are free", seed, at, free))
			}
		}
		c.Assert(placed, qt.Equals, asked, qt.Commentf("seed %d", seed))
	}
}
