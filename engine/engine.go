package engine

import (
	"slices"
	"time"

	"greengagedock.example/routing"
)

// maxWaiting is the number of requests per slot that may wait for a slot.
const maxWaiting = 2

// Engine is a modelled inference engine; New returns one. Its times are
// durations since any fixed moment.
type Engine struct {
	profile  routing.EngineProfile
	slowdown float64
	waiting  []*job // by priority, then arrival
	running  []*job // by admission
	parts    []*job // for other engines, by arrival
	// reserved maps the ids of other engines' requests to the tokens reserved for them.
	reserved map[string]int
	// due is when the current pass ends, zero without one.
	due time.Duration
	// steps is the number of decode steps in the current pass, 0 if it decodes nothing.
	steps int
}

// New returns an idle engine with the given profile.
func New(profile routing.EngineProfile) *Engine {
	return &Engine{profile: profile, slowdown: 1, reserved: make(map[string]int)}
}

// SetSlowdown sets the factor by which passes take longer than the profile
// states; it applies from the next pass on.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Submit queues a request. It returns ErrTooLarge or ErrQueueFull if the engine rejects it.
func (e *Engine) Submit(now time.Duration, r Request) error {
	if r.prompt-r.heldElsewhere+r.answer > e.profile.Memory() {
		return ErrTooLarge
	}
	if len(e.waiting) >= maxWaiting*e.profile.Slots() {
		return ErrQueueFull
	}
	j := &job{Request: r, share: 1 / float64(1+r.workers), pendingParts: r.workers}
	i := len(e.waiting)
	for i > 0 && j.priority < e.waiting[i-1].priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, j)
	e.startPass(now)
	return nil
}

// PrefillPart queues one of workers+1 equal parts of a prompt, to be prefilled
// for another engine. It returns ErrQueueFull if the engine rejects it.
func (e *Engine) PrefillPart(now time.Duration, id string, prompt, workers int) error {
	if len(e.parts) >= e.profile.Slots() {
		return ErrQueueFull
	}
	e.parts = append(e.parts, &job{Request: NewRequest(id, prompt, 0), share: 1 / float64(1+workers), part: true})
	e.startPass(now)
	return nil
}

// PartCompleted records that another engine has prefilled its part of a request's prompt.
func (e *Engine) PartCompleted(now time.Duration, id string) {
	for _, j := range slices.Concat(e.waiting, e.running) {
		if j.id == id && j.pendingParts > 0 {
			j.pendingParts--
		}
	}
	e.startPass(now)
}

// Cancel removes the request or the part with the id; the current pass still takes its full time.
func (e *Engine) Cancel(id string) {
	cancelled := func(j *job) bool { return j.id == id }
	e.waiting = slices.DeleteFunc(e.waiting, cancelled)
	e.running = slices.DeleteFunc(e.running, cancelled)
	e.parts = slices.DeleteFunc(e.parts, cancelled)
}

// Reserve reserves memory under an id, replacing the id's earlier reservation.
// It returns ErrNoMemory if there is not enough free memory.
func (e *Engine) Reserve(id string, tokens int) error {
	if e.memory()-e.reserved[id]+tokens > e.profile.Memory() {
		return ErrNoMemory
	}
	e.reserved[id] = tokens
	return nil
}

// Reserved returns the number of tokens reserved under an id.
func (e *Engine) Reserved(id string) int { return e.reserved[id] }

// Release releases the reservation of an id.
func (e *Engine) Release(id string) { delete(e.reserved, id) }

// Due returns when the current pass ends, and false without one.
func (e *Engine) Due() (time.Duration, bool) { return e.due, e.due > 0 }

// Load returns the engine's current load.
func (e *Engine) Load() Load {
	l := Load{waiting: len(e.waiting), running: len(e.running), memory: e.memory()}
	for _, j := range e.running {
		if j.decodes() {
			l.decoding++
		}
	}
	for _, j := range slices.Concat(e.waiting, e.running, e.parts) {
		l.backlog += e.prefillTime(j, j.prefilled, j.ownTokens())
	}
	return l
}

// Advance completes the current pass if it is due, returns its events and starts the next pass.
func (e *Engine) Advance(now time.Duration) []Event {
	if e.due == 0 || now < e.due {
		return nil
	}
	e.due = 0
	var out []Event
	e.parts = slices.DeleteFunc(e.parts, func(j *job) bool {
		j.prefilled = j.prefilledAfter
		if j.prefilled < j.ownTokens() {
			return false
		}
		out = append(out, PartPrefilled{j.id})
		return true
	})
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		j.prefilled = j.prefilledAfter
		if !j.decodes() {
			return false
		}
		tokens := 1 // the end of the prefill yields the first token
		if j.decoding {
			tokens = e.steps
		}
		j.generated = min(j.answer, j.generated+tokens)
		out = append(out, Generated{j.id, j.generated})
		if j.generated < j.answer {
			return false
		}
		out = append(out, Completed{j.id})
		return true
	})
	out = e.preempt(out)
	e.startPass(now)
	return out
}

// preempt returns the most recently admitted requests to the queue until the others fit in memory.
func (e *Engine) preempt(out []Event) []Event {
	for e.memory() > e.profile.Memory() && len(e.running) > 1 {
		last := len(e.running) - 1
		j := e.running[last]
		e.running = e.running[:last]
		j.prefilled, j.prefilledAfter = 0, 0
		e.waiting = slices.Insert(e.waiting, 0, j)
		out = append(out, Preempted{j.id})
	}
	return out
}

// memory returns the number of tokens in memory, including reservations.
func (e *Engine) memory() int {
	total := 0
	for _, j := range e.running {
		total += j.tokens()
	}
	for _, tokens := range e.reserved {
		total += tokens
	}
	return total
}

// admit gives slots to the waiting requests, in order, until the next one does not fit.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.profile.Slots() {
		j := e.waiting[0]
		if e.memory()+j.tokens() > e.profile.Memory() {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
	}
}

// startPass starts a pass unless one is running or there is no work.
func (e *Engine) startPass(now time.Duration) {
	if e.due > 0 {
		return
	}
	e.admit()
	decoding, contextTokens := 0, 0
	var prefilling []*job
	for _, j := range e.running {
		j.prefilledAfter = j.prefilled
		j.decoding = j.decodes()
		if j.decoding {
			decoding++
			contextTokens += j.tokens()
		} else if j.prefilled < j.ownTokens() {
			prefilling = append(prefilling, j)
		}
	}
	e.steps = 0
	length := time.Duration(0)
	budget := e.profile.PrefillChunk()
	if decoding > 0 {
		e.steps = e.profile.StepsPerPass()
		budget *= e.steps
		length = e.profile.DecodePassTime(decoding, contextTokens)
	}
	for _, j := range e.parts {
		length += e.prefill(j, &budget, budget)
	}
	for i, j := range prefilling {
		length += e.prefill(j, &budget, budget/(len(prefilling)-i))
	}
	if length == 0 {
		return
	}
	e.due = now + max(1, time.Duration(float64(length)*e.slowdown))
}

// prefill schedules up to maxTokens of a job's prompt for the pass, takes them
// from the budget and returns their prefill time.
func (e *Engine) prefill(j *job, budget *int, maxTokens int) time.Duration {
	j.prefilledAfter = min(j.ownTokens(), j.prefilled+maxTokens)
	*budget -= j.prefilledAfter - j.prefilled
	return e.prefillTime(j, j.prefilled, j.prefilledAfter)
}

// prefillTime returns the time to prefill a job's prompt tokens between two positions.
func (e *Engine) prefillTime(j *job, from, to int) time.Duration {
	return time.Duration(float64(to-from)*float64(e.profile.PrefillPerToken()) + j.pairs(from, to)/1e6*float64(e.profile.PrefillPerMillionPairs()))
}
