package engine

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// The errors of requests that an engine does not take.
var (
	// ErrTooLarge tells that prompt and answer exceed the engine's memory.
	ErrTooLarge = eris.New("engine: larger than the memory")
	// ErrFull tells that too many requests wait.
	ErrFull = eris.New("engine: full")
	// ErrNoMemory tells that the memory to reserve is not free.
	ErrNoMemory = eris.New("engine: memory not free")
)

// Request is a prompt to read and answer.
type Request struct {
	id      string
	prompt  int
	answer  int
	urgency int
	helpers int
	held    int
}

// NewRequest returns a request with the lengths of its prompt and answer in tokens.
func NewRequest(id string, prompt, answer int) Request {
	return Request{id: id, prompt: prompt, answer: answer}
}

// WithUrgency returns the request with its urgency, 0 first.
func (r Request) WithUrgency(urgency int) Request {
	r.urgency = urgency
	return r
}

// WithHelpers returns the request with how many other engines read an equal
// part of its prompt, and the tokens that they hold until it ends.
func (r Request) WithHelpers(helpers, held int) Request {
	r.helpers, r.held = helpers, held
	return r
}

// ID returns the request's id.
func (r Request) ID() string { return r.id }

// Prompt returns the length of the prompt in tokens.
func (r Request) Prompt() int { return r.prompt }

// Answer returns the length of the answer in tokens.
func (r Request) Answer() int { return r.answer }

// Event is what came of a pass: PartRead, Written, Ended or Preempted.
type Event interface {
	event()
}

// PartRead tells that a part of a prompt was read for another engine.
type PartRead struct{ id string }

// Written tells that a request's answer has grown.
type Written struct {
	id     string
	tokens int
}

// Ended tells that a request's answer is whole.
type Ended struct{ id string }

// Preempted tells that a request lost its memory and is read again.
type Preempted struct{ id string }

// ID returns the request's id.
func (e PartRead) ID() string { return e.id }

// ID returns the request's id.
func (e Written) ID() string { return e.id }

// Tokens returns how many tokens the answer has now.
func (e Written) Tokens() int { return e.tokens }

// ID returns the request's id.
func (e Ended) ID() string { return e.id }

// ID returns the request's id.
func (e Preempted) ID() string { return e.id }

func (PartRead) event()  {}
func (Written) event()   {}
func (Ended) event()     {}
func (Preempted) event() {}

// job is a request on the engine, or a part of another engine's.
type job struct {
	Request
	// share is the part of the prompt that is read here.
	share float64
	// part tells that another engine answers the request.
	part bool
	// read is how many tokens of the prompt are read here, and upTo how many
	// will be at the end of the pass.
	read, upTo int
	// missing is how many parts other engines still read.
	missing int
	// writing tells that the pass under way writes for the job.
	writing bool
	written int
}

// own returns the tokens that are read here.
func (j *job) own() int { return int(math.Ceil(j.share * float64(j.prompt))) }

// writes reports whether the prompt is read, here and elsewhere.
func (j *job) writes() bool { return !j.part && j.read >= j.own() && j.missing == 0 }

// tokens returns the memory that the job takes here.
func (j *job) tokens() int {
	if j.part {
		return 0
	}
	return max(0, j.prompt-j.held) + j.written
}

// pairs returns the pairs of a token and an earlier one among the tokens from
// read to upTo: equal for each token of a part, growing along a whole prompt.
func (j *job) pairs(from, to int) float64 {
	if j.share < 1 {
		return float64(to-from) * float64(j.prompt) / 2
	}
	return (float64(to)*float64(to) - float64(from)*float64(from)) / 2
}

// Load is what an engine has at a moment.
type Load struct {
	waiting int
	running int
	writing int
	memory  int
	backlog time.Duration
}

// Waiting returns how many requests have no slot yet.
func (l Load) Waiting() int { return l.waiting }

// Running returns how many requests have a slot.
func (l Load) Running() int { return l.running }

// Writing returns how many requests write.
func (l Load) Writing() int { return l.writing }

// Memory returns the tokens in memory, reservations among them.
func (l Load) Memory() int { return l.memory }

// Backlog returns the time to read what is not read yet, without steps.
func (l Load) Backlog() time.Duration { return l.backlog }
