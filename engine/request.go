package engine

import "github.com/rotisserie/eris"

// The errors of requests that an engine does not take.
var (
	// ErrTooLarge tells that prompt and answer exceed the engine's memory.
	ErrTooLarge = eris.New("engine: larger than the memory")
	// ErrQueueFull tells that too many requests wait.
	ErrQueueFull = eris.New("engine: full")
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

// WithPriority returns the request with its urgency, 0 first.
func (r Request) WithPriority(urgency int) Request {
	r.urgency = urgency
	return r
}

// WithPrefillWorkers returns the request with how many other engines read an equal
// part of its prompt, and the tokens that they hold until it ends.
func (r Request) WithPrefillWorkers(helpers, held int) Request {
	r.helpers, r.held = helpers, held
	return r
}

// ID returns the request's id.
func (r Request) ID() string { return r.id }

// Prompt returns the length of the prompt in tokens.
func (r Request) Prompt() int { return r.prompt }

// Answer returns the length of the answer in tokens.
func (r Request) Answer() int { return r.answer }
