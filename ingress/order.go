package ingress

import (
	"net/http"
	"time"
)

// Order is what the headers of a caller's request say.
type Order struct {
	attempt   string
	timeLeft  time.Duration
	limited   bool
	key       string
	prompt    int
	answer    int
	lastEvent string
}

// NewOrder returns the order of the attempt with that id, which may be empty.
func NewOrder(attempt string) Order { return Order{attempt: attempt} }

// WithTimeLeft returns the order with how long the caller waits.
func (o Order) WithTimeLeft(d time.Duration) Order {
	o.timeLeft, o.limited = d, true
	return o
}

// WithKey returns the order with the caller's key.
func (o Order) WithKey(key string) Order {
	o.key = key
	return o
}

// WithTokens returns the order with the lengths of prompt and answer in tokens.
func (o Order) WithTokens(prompt, answer int) Order {
	o.prompt, o.answer = prompt, answer
	return o
}

// WithLastEvent returns the order with the event after which the stream is to go on.
func (o Order) WithLastEvent(id string) Order {
	o.lastEvent = id
	return o
}

// Headers reads what a caller's headers say.
type Headers interface {
	DecodeRequest(header http.Header) (Order, error)
}
