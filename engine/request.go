package engine

import "github.com/rotisserie/eris"

// Errors returned for requests that an engine rejects.
var (
	// ErrTooLarge is returned when prompt and answer exceed the engine's memory.
	ErrTooLarge = eris.New("engine: larger than the memory")
	// ErrQueueFull is returned when too many requests or parts wait.
	ErrQueueFull = eris.New("engine: full")
	// ErrNoMemory is returned when there is not enough free memory for a reservation.
	ErrNoMemory = eris.New("engine: memory not free")
)

// Request is a prompt to prefill and an answer to decode.
type Request struct {
	id       string
	prompt   int
	answer   int
	priority int
	workers  int
	// heldElsewhere is the number of prompt tokens in other engines' memory.
	heldElsewhere int
}

// NewRequest returns a request with the lengths of its prompt and answer in tokens.
func NewRequest(id string, prompt, answer int) Request {
	return Request{id: id, prompt: prompt, answer: answer}
}

// WithPriority returns the request with its priority; 0 is the most urgent.
func (r Request) WithPriority(priority int) Request {
	r.priority = priority
	return r
}

// WithPrefillWorkers returns the request with the number of other engines that
// each prefill an equal part of its prompt, and the number of prompt tokens that
// those engines hold in memory until the request ends.
func (r Request) WithPrefillWorkers(workers, heldElsewhere int) Request {
	r.workers, r.heldElsewhere = workers, heldElsewhere
	return r
}

// ID returns the request's id.
func (r Request) ID() string { return r.id }

// Prompt returns the length of the prompt in tokens.
func (r Request) Prompt() int { return r.prompt }

// Answer returns the length of the answer in tokens.
func (r Request) Answer() int { return r.answer }
