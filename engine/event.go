package engine

// Event is what came of a pass: PartRead, Written, Ended or Preempted.
type Event interface {
	event()
}

// PartPrefilled tells that a part of a prompt was read for another engine.
type PartPrefilled struct{ id string }

// Generated tells that a request's answer has grown.
type Generated struct {
	id     string
	tokens int
}

// Completed tells that a request's answer is whole.
type Completed struct{ id string }

// Preempted tells that a request lost its memory and is read again.
type Preempted struct{ id string }

// ID returns the request's id.
func (e PartPrefilled) ID() string { return e.id }

// ID returns the request's id.
func (e Generated) ID() string { return e.id }

// Tokens returns how many tokens the answer has now.
func (e Generated) Tokens() int { return e.tokens }

// ID returns the request's id.
func (e Completed) ID() string { return e.id }

// ID returns the request's id.
func (e Preempted) ID() string { return e.id }

func (PartPrefilled) event() {}
func (Generated) event()     {}
func (Completed) event()     {}
func (Preempted) event()     {}
