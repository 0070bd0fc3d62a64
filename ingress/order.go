package ingress

import (
	"net/http"
	"time"
)

// RequestMetadata is what the headers of a caller's request say.
type RequestMetadata struct {
	attempt   string
	timeLeft  time.Duration
	limited   bool
	key       string
	prompt    int
	answer    int
	lastEvent string
}

// NewRequestMetadata returns the order of the attempt with that id, which may be empty.
func NewRequestMetadata(attempt string) RequestMetadata { return RequestMetadata{attempt: attempt} }

// WithTimeLeft returns the order with how long the caller waits.
func (o RequestMetadata) WithTimeLeft(d time.Duration) RequestMetadata {
	o.timeLeft, o.limited = d, true
	return o
}

// WithAPIKey returns the order with the caller's key.
func (o RequestMetadata) WithAPIKey(key string) RequestMetadata {
	o.key = key
	return o
}

// WithTokens returns the order with the lengths of prompt and answer in tokens.
func (o RequestMetadata) WithTokens(prompt, answer int) RequestMetadata {
	o.prompt, o.answer = prompt, answer
	return o
}

// WithLastEventID returns the order with the event after which the stream is to go on.
func (o RequestMetadata) WithLastEventID(id string) RequestMetadata {
	o.lastEvent = id
	return o
}

// HeaderDecoder reads what a caller's headers say.
type HeaderDecoder interface {
	DecodeRequest(header http.Header) (RequestMetadata, error)
}
