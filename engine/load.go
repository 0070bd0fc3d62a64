package engine

import "time"

// Load is a snapshot of the load of an engine.
type Load struct {
	waiting  int
	running  int
	decoding int
	memory   int
	backlog  time.Duration
}

// Waiting returns the number of requests that wait for a slot.
func (l Load) Waiting() int { return l.waiting }

// Running returns the number of requests that have a slot.
func (l Load) Running() int { return l.running }

// Decoding returns the number of requests whose answers are being decoded.
func (l Load) Decoding() int { return l.decoding }

// Memory returns the number of tokens in memory, including reservations.
func (l Load) Memory() int { return l.memory }

// Backlog returns the prefill time of all outstanding prompt tokens, without the decode steps in between.
func (l Load) Backlog() time.Duration { return l.backlog }
