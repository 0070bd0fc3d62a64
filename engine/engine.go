package engine

import (
	"slices"
	"time"

	"greengagedock.example/routing"
)

// maxWaiting is how many requests may wait for a slot, for each slot.
const maxWaiting = 2

// Engine is one engine; New makes one. Times count from any fixed moment.
type Engine struct {
	figures routing.EngineProfile
	pace    float64
	waiting []*job // by urgency, then arrival
	running []*job // by admission
	parts   []*job // for other engines, by arrival
	// reserved are the tokens that are held for requests elsewhere, by id.
	reserved map[string]int
	// due is when the pass under way ends, zero if there is none.
	due time.Duration
	// steps is how many steps it takes, 0 if nothing writes.
	steps int
}

// New returns an idle engine with the published figures.
func New(figures routing.EngineProfile) *Engine {
	return &Engine{figures: figures, pace: 1, reserved: make(map[string]int)}
}

// SetSlowdown states how many times longer than published passes take; it counts from the next pass on.
func (e *Engine) SetSlowdown(pace float64) { e.pace = pace }

// Submit takes a request, or returns ErrTooLarge or ErrFull.
func (e *Engine) Submit(now time.Duration, r Request) error {
	if r.prompt-r.held+r.answer > e.figures.Memory() {
		return ErrTooLarge
	}
	if len(e.waiting) >= maxWaiting*e.figures.Slots() {
		return ErrQueueFull
	}
	j := &job{Request: r, share: 1 / float64(1+r.helpers), missing: r.helpers}
	i := len(e.waiting)
	for i > 0 && j.urgency < e.waiting[i-1].urgency {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, j)
	e.begin(now)
	return nil
}

// PrefillPart takes the part of a prompt that each of helpers+1 engines reads, or returns ErrFull.
func (e *Engine) PrefillPart(now time.Duration, id string, prompt, helpers int) error {
	if len(e.parts) >= e.figures.Slots() {
		return ErrQueueFull
	}
	e.parts = append(e.parts, &job{Request: NewRequest(id, prompt, 0), share: 1 / float64(1+helpers), part: true})
	e.begin(now)
	return nil
}

// PartCompleted tells that another engine has read its part of a request's prompt.
func (e *Engine) PartCompleted(now time.Duration, id string) {
	for _, j := range slices.Concat(e.waiting, e.running) {
		if j.id == id && j.missing > 0 {
			j.missing--
		}
	}
	e.begin(now)
}

// Cancel ends a request, and a part of one; a pass under way takes its time nonetheless.
func (e *Engine) Cancel(id string) {
	gone := func(j *job) bool { return j.id == id }
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.running = slices.DeleteFunc(e.running, gone)
	e.parts = slices.DeleteFunc(e.parts, gone)
}

// Reserve holds memory under an id, or returns ErrNoMemory; the same id replaces its reservation.
func (e *Engine) Reserve(id string, tokens int) error {
	if e.memory()-e.reserved[id]+tokens > e.figures.Memory() {
		return ErrNoMemory
	}
	e.reserved[id] = tokens
	return nil
}

// Reserved returns the tokens that are held under an id.
func (e *Engine) Reserved(id string) int { return e.reserved[id] }

// Release ends a reservation.
func (e *Engine) Release(id string) { delete(e.reserved, id) }

// Due returns when the pass under way ends, and false if there is none.
func (e *Engine) Due() (time.Duration, bool) { return e.due, e.due > 0 }

// Load returns what the engine has.
func (e *Engine) Load() Load {
	l := Load{waiting: len(e.waiting), running: len(e.running), memory: e.memory()}
	for _, j := range e.running {
		if j.writes() {
			l.writing++
		}
	}
	for _, j := range slices.Concat(e.waiting, e.running, e.parts) {
		l.backlog += e.readTime(j, j.read, j.own())
	}
	return l
}

// Advance ends the pass that is due, returns what came of it and begins the next.
func (e *Engine) Advance(now time.Duration) []Event {
	if e.due == 0 || now < e.due {
		return nil
	}
	e.due = 0
	var out []Event
	e.parts = slices.DeleteFunc(e.parts, func(j *job) bool {
		j.read = j.upTo
		if j.read < j.own() {
			return false
		}
		out = append(out, PartPrefilled{j.id})
		return true
	})
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		j.read = j.upTo
		if !j.writes() {
			return false
		}
		grown := 1 // the first token comes with the end of the reading
		if j.writing {
			grown = e.steps
		}
		j.written = min(j.answer, j.written+grown)
		out = append(out, Generated{j.id, j.written})
		if j.written < j.answer {
			return false
		}
		out = append(out, Completed{j.id})
		return true
	})
	out = e.preempt(out)
	e.begin(now)
	return out
}

// preempt puts the newest requests back until the rest has room.
func (e *Engine) preempt(out []Event) []Event {
	for e.memory() > e.figures.Memory() && len(e.running) > 1 {
		last := len(e.running) - 1
		j := e.running[last]
		e.running = e.running[:last]
		j.read, j.upTo = 0, 0
		e.waiting = slices.Insert(e.waiting, 0, j)
		out = append(out, Preempted{j.id})
	}
	return out
}

// memory returns the tokens in memory.
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

// admit gives slots to the requests that wait, in order, while there is room.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.figures.Slots() {
		j := e.waiting[0]
		if e.memory()+j.tokens() > e.figures.Memory() {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
	}
}

// begin starts a pass if none is under way and there is work.
func (e *Engine) begin(now time.Duration) {
	if e.due > 0 {
		return
	}
	e.admit()
	writers, context := 0, 0
	var readers []*job
	for _, j := range e.running {
		j.upTo = j.read
		j.writing = j.writes()
		if j.writing {
			writers++
			context += j.tokens()
		} else if j.read < j.own() {
			readers = append(readers, j)
		}
	}
	e.steps = 0
	took := time.Duration(0)
	budget := e.figures.PrefillChunk()
	if writers > 0 {
		e.steps = e.figures.StepsPerPass()
		budget *= e.steps
		took = e.figures.DecodePassTime(writers, context)
	}
	for _, j := range e.parts {
		took += e.readOn(j, &budget, budget)
	}
	for i, j := range readers {
		took += e.readOn(j, &budget, budget/(len(readers)-i))
	}
	if took == 0 {
		return
	}
	e.due = now + max(1, time.Duration(float64(took)*e.pace))
}

// readOn has a job read on for the length of a pass, and returns the time that this takes.
func (e *Engine) readOn(j *job, budget *int, most int) time.Duration {
	j.upTo = min(j.own(), j.read+most)
	*budget -= j.upTo - j.read
	return e.readTime(j, j.read, j.upTo)
}

// readTime returns the time to read a job's tokens from one to another.
func (e *Engine) readTime(j *job, from, to int) time.Duration {
	return time.Duration(float64(to-from)*float64(e.figures.PrefillPerToken()) + j.pairs(from, to)/1e6*float64(e.figures.PrefillPerMillionPairs()))
}
