package backend

import "time"

// Slot is the permission to start one attempt on one incarnation of a backend
// server by its start-by time.
type Slot struct {
	id          string
	owner       Owner
	keeper      string
	server      string
	address     string
	incarnation string
	cost        Cost
	startBy     time.Time
	deadline    time.Time
}

// NewSlot returns the slot that a keeper grants on a server in answer to a
// request.
func NewSlot(request SlotRequest, keeper string, server Server, incarnation string, startBy time.Time) Slot {
	return Slot{
		id:          request.id,
		owner:       request.owner,
		keeper:      keeper,
		server:      server.id,
		address:     server.address,
		incarnation: incarnation,
		cost:        request.cost,
		startBy:     startBy,
		deadline:    request.deadline,
	}
}

// ID returns the id of the attempt that the slot was granted to.
func (s Slot) ID() string { return s.id }

// Owner returns the entry incarnation that holds the slot.
func (s Slot) Owner() Owner { return s.owner }

// Keeper returns the entry that granted the slot.
func (s Slot) Keeper() string { return s.keeper }

// Server returns the backend server's id.
func (s Slot) Server() string { return s.server }

// Address returns the backend server's IP and port.
func (s Slot) Address() string { return s.address }

// Incarnation returns the server's incarnation when the slot was granted,
// empty if the server reports none.
func (s Slot) Incarnation() string { return s.incarnation }

// Cost returns the cost reserved on the server.
func (s Slot) Cost() Cost { return s.cost }

// StartBy returns the time after which no attempt may start on the slot.
func (s Slot) StartBy() time.Time { return s.startBy }

// Deadline returns the time by which the attempt's answer must be complete.
func (s Slot) Deadline() time.Time { return s.deadline }

// Outcome is how an attempt that held a slot ended.
type Outcome string

// Outcomes of an attempt, as its entry observed them.
const (
	// OutcomeFinished is a complete answer.
	OutcomeFinished Outcome = "finished"
	// OutcomeNotStarted is a slot released before any byte was sent.
	OutcomeNotStarted Outcome = "not_started"
	// OutcomeCancelled is a stream ended by its caller or its deadline, whose
	// end the server acknowledged.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeRefused is the server's response that it did not accept the
	// attempt.
	OutcomeRefused Outcome = "refused"
	// OutcomeLeaving is the server's response that it is leaving.
	OutcomeLeaving Outcome = "leaving"
	// OutcomeFailed is any other end; the server may still hold the attempt's
	// memory.
	OutcomeFailed Outcome = "failed"
)
