package backend

import (
	"cmp"
	"slices"
	"time"

	"greengagedock.example/timer"
)

// The engine of the experiment: continuous batching with chunked prefill. It
// leaves out that attention over a long prompt costs more by the token.
const (
	engineMemory      = 500_000
	engineChunk       = 512
	engineStep        = 10 * time.Millisecond
	enginePromptToken = 25 * time.Microsecond
	engineStream      = 200 * time.Microsecond
)

// job is one request of the experiment.
type job struct {
	id       string
	account  string
	cost     Cost
	answer   int
	arrived  time.Duration
	deadline time.Duration
	read     int
	written  int
	first    time.Duration
	ended    time.Duration
	outcome  Outcome
	refusal  Reason
	ready    func()
	done     func()
}

// spent returns the tokens that engines worked on for the job.
func (j *job) spent() int { return j.read + j.written }

// fakeEngine works on jobs in the order of their arrival or, where priority is
// honoured, of their class first.
type fakeEngine struct {
	loop     *timer.VirtualClock
	id       string
	priority bool
	stepping bool
	waiting  []*job
	running  []*job
	used     int
	history  []engineReport
}

type engineReport struct {
	at    time.Duration
	load  int
	state Report
}

func (e *fakeEngine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	if e.priority {
		slices.SortStableFunc(e.waiting, compareClass)
	}
	if !e.stepping {
		e.stepping = true
		e.loop.AfterFunc(0, e.step)
	}
}

func compareClass(a, b *job) int { return cmp.Compare(a.cost.Class().index(), b.cost.Class().index()) }

// load returns what the engine has in memory and before it.
func (e *fakeEngine) load() Load {
	sum := NewLoad(len(e.running)+len(e.waiting), e.used)
	for _, j := range e.waiting {
		sum.tokens += j.cost.Tokens()
	}
	return sum
}

// remove takes a job out whose time is over.
func (e *fakeEngine) remove(j *job) {
	same := func(k *job) bool { return k == j }
	if slices.ContainsFunc(e.running, same) {
		e.used -= j.cost.Tokens()
	}
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

// admit moves waiting jobs into memory in their order.
func (e *fakeEngine) admit() {
	for len(e.waiting) > 0 && e.used+e.waiting[0].cost.Tokens() <= engineMemory {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.used += j.cost.Tokens()
		e.running = append(e.running, j)
		if e.priority {
			slices.SortStableFunc(e.running, compareClass)
		}
	}
}

// step works on one batch: a token of every stream and one chunk of prompts.
func (e *fakeEngine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	chunk := engineChunk
	var reading, writing []*job
	parts := map[*job]int{}
	for _, j := range e.running {
		if j.read == j.cost.prompt {
			writing = append(writing, j)
		} else if part := min(chunk, j.cost.prompt-j.read); part > 0 {
			reading, parts[j] = append(reading, j), part
			chunk -= part
		}
	}
	took := engineStep + time.Duration(engineChunk-chunk)*enginePromptToken + time.Duration(len(writing))*engineStream
	e.loop.AfterFunc(took, func() {
		e.read(reading, parts)
		e.write(writing)
		e.step()
	})
}

func (e *fakeEngine) read(jobs []*job, parts map[*job]int) {
	for _, j := range jobs {
		j.read += parts[j]
		if j.read == j.cost.prompt {
			e.write([]*job{j})
		}
	}
}

func (e *fakeEngine) write(jobs []*job) {
	for _, j := range jobs {
		if !slices.Contains(e.running, j) {
			continue
		}
		j.written++
		if j.written == 1 {
			j.ready()
		}
		if j.written == j.answer {
			e.remove(j)
			j.done()
		}
	}
}

// record keeps the state for reports that lag.
func (e *fakeEngine) record() {
	var held []HeldMemory
	for _, j := range e.running {
		held = append(held, NewHeldMemory(j.id, j.cost.Tokens()))
	}
	state := testReport(e.id, "a", held...)
	state.capacity = engineMemory
	e.history = append(e.history, engineReport{e.loop.Now(), e.load().tokens, state})
	if len(e.history) > 16 {
		e.history = e.history[1:]
	}
}

// reported returns the state of lag ago.
func (e *fakeEngine) reported(lag time.Duration) engineReport {
	best := e.history[0]
	for _, r := range e.history {
		if r.at <= e.loop.Now()-lag {
			best = r
		}
	}
	return best
}
