package backend

import (
	"cmp"
	"slices"
	"time"

	"greengagedock.example/timer"
)

// Parameters of the experiment's engine: continuous batching with chunked
// prefill. The model ignores that attention makes tokens of a long prompt
// more expensive.
const (
	engineMemory    = 500_000
	prefillChunk    = 512
	stepOverhead    = 10 * time.Millisecond
	prefillPerToken = 25 * time.Microsecond
	decodePerStream = 200 * time.Microsecond
)

// job is one request of the experiment.
type job struct {
	id           string
	account      string
	cost         Cost
	answer       int
	arrived      time.Duration
	deadline     time.Duration
	prefilled    int
	generated    int
	firstToken   time.Duration
	ended        time.Duration
	outcome      Outcome
	refusal      Reason
	onFirstToken func()
	onFinish     func()
}

// tokens returns the tokens that engines have processed for the job.
func (j *job) tokens() int { return j.prefilled + j.generated }

// fakeEngine serves jobs in the order of arrival or, if priority is set, by
// class first.
type fakeEngine struct {
	clock    *timer.VirtualClock
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
		e.clock.AfterFunc(0, e.step)
	}
}

func compareClass(a, b *job) int { return cmp.Compare(a.cost.Class().index(), b.cost.Class().index()) }

// load returns the load of the running and the waiting jobs.
func (e *fakeEngine) load() Load {
	sum := NewLoad(len(e.running)+len(e.waiting), e.used)
	for _, j := range e.waiting {
		sum.tokens += j.cost.Tokens()
	}
	return sum
}

// remove removes a job that has ended.
func (e *fakeEngine) remove(j *job) {
	same := func(k *job) bool { return k == j }
	if slices.ContainsFunc(e.running, same) {
		e.used -= j.cost.Tokens()
	}
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

// admit moves waiting jobs into memory, in order.
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

// step processes one batch: a token of every stream and one chunk of prompts.
func (e *fakeEngine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	chunk := prefillChunk
	var prefilling, decoding []*job
	parts := map[*job]int{}
	for _, j := range e.running {
		if j.prefilled == j.cost.prompt {
			decoding = append(decoding, j)
		} else if part := min(chunk, j.cost.prompt-j.prefilled); part > 0 {
			prefilling, parts[j] = append(prefilling, j), part
			chunk -= part
		}
	}
	elapsed := stepOverhead + time.Duration(prefillChunk-chunk)*prefillPerToken + time.Duration(len(decoding))*decodePerStream
	e.clock.AfterFunc(elapsed, func() {
		e.prefill(prefilling, parts)
		e.decode(decoding)
		e.step()
	})
}

func (e *fakeEngine) prefill(jobs []*job, parts map[*job]int) {
	for _, j := range jobs {
		j.prefilled += parts[j]
		if j.prefilled == j.cost.prompt {
			e.decode([]*job{j})
		}
	}
}

func (e *fakeEngine) decode(jobs []*job) {
	for _, j := range jobs {
		if !slices.Contains(e.running, j) {
			continue
		}
		j.generated++
		if j.generated == 1 {
			j.onFirstToken()
		}
		if j.generated == j.answer {
			e.remove(j)
			j.onFinish()
		}
	}
}

// record stores the state for later reports.
func (e *fakeEngine) record() {
	var held []HeldMemory
	for _, j := range e.running {
		held = append(held, NewHeldMemory(j.id, j.cost.Tokens()))
	}
	state := testReport(e.id, "a", held...)
	state.capacity = engineMemory
	e.history = append(e.history, engineReport{e.clock.Now(), e.load().tokens, state})
	if len(e.history) > 16 {
		e.history = e.history[1:]
	}
}

// reportFrom returns the state as of lag ago.
func (e *fakeEngine) reportFrom(lag time.Duration) engineReport {
	best := e.history[0]
	for _, r := range e.history {
		if r.at <= e.clock.Now()-lag {
			best = r
		}
	}
	return best
}
