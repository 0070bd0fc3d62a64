package engine

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
