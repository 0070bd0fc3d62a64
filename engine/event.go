package engine

// Event is a result of a pass: PartPrefilled, Generated, Completed or Preempted.
type Event interface {
	event()
}

// PartPrefilled reports that a part of a prompt was prefilled for another engine.
type PartPrefilled struct{ id string }

// Generated reports that a request's answer has grown.
type Generated struct {
	id     string
	tokens int
}

// Completed reports that a request's answer is complete.
type Completed struct{ id string }

// Preempted reports that a request lost its memory and is queued to be prefilled again.
type Preempted struct{ id string }

// ID returns the request's id.
func (e PartPrefilled) ID() string { return e.id }

// ID returns the request's id.
func (e Generated) ID() string { return e.id }

// Tokens returns the total number of tokens in the answer so far.
func (e Generated) Tokens() int { return e.tokens }

// ID returns the request's id.
func (e Completed) ID() string { return e.id }

// ID returns the request's id.
func (e Preempted) ID() string { return e.id }

func (PartPrefilled) event() {}
func (Generated) event()     {}
func (Completed) event()     {}
func (Preempted) event()     {}
