package engine

import "time"

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

// Decoding returns how many requests write.
func (l Load) Decoding() int { return l.writing }

// Memory returns the tokens in memory, reservations among them.
func (l Load) Memory() int { return l.memory }

// Backlog returns the time to read what is not read yet, without steps.
func (l Load) Backlog() time.Duration { return l.backlog }
