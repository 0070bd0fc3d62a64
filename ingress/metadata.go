package ingress

import (
	"net/http"
	"time"
)

// RequestMetadata is what a caller states in the headers of its request.
type RequestMetadata struct {
	attemptID    string
	timeLeft     time.Duration
	hasTimeLeft  bool
	apiKey       string
	promptTokens int
	answerTokens int
	lastEventID  string
	sharedParts  []string
	prompt       string
}

// NewRequestMetadata returns the metadata of the attempt with the given id, which may be empty.
func NewRequestMetadata(attemptID string) RequestMetadata {
	return RequestMetadata{attemptID: attemptID}
}

// WithTimeLeft returns the metadata with the time that the caller still waits.
func (m RequestMetadata) WithTimeLeft(d time.Duration) RequestMetadata {
	m.timeLeft, m.hasTimeLeft = d, true
	return m
}

// WithAPIKey returns the metadata with the caller's API key.
func (m RequestMetadata) WithAPIKey(apiKey string) RequestMetadata {
	m.apiKey = apiKey
	return m
}

// WithTokens returns the metadata with the lengths of prompt and answer in tokens.
func (m RequestMetadata) WithTokens(promptTokens, answerTokens int) RequestMetadata {
	m.promptTokens, m.answerTokens = promptTokens, answerTokens
	return m
}

// WithSharedParts returns the metadata with the ids of the parts of the prompt that
// other prompts may share.
func (m RequestMetadata) WithSharedParts(parts []string) RequestMetadata {
	m.sharedParts = parts
	return m
}

// WithPrompt returns the metadata with a text that is the same for the same prompt, empty if
// the prompt is in the body.
func (m RequestMetadata) WithPrompt(prompt string) RequestMetadata {
	m.prompt = prompt
	return m
}

// WithLastEventID returns the metadata with the id of the event after which the stream resumes.
func (m RequestMetadata) WithLastEventID(id string) RequestMetadata {
	m.lastEventID = id
	return m
}

// HeaderDecoder decodes the headers of a caller's request.
type HeaderDecoder interface {
	DecodeRequest(header http.Header) (RequestMetadata, error)
}
