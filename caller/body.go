package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"greengagedock.example/backend"
	"greengagedock.example/http1"
)

const (
	bytesPerToken = 4
	// maxBodyOverhead is the number of bytes that a body may have beyond its
	// longest prompt.
	maxBodyOverhead = 64 << 10
	// maxEscapeFactor is the factor by which JSON escapes may lengthen a
	// prompt.
	maxEscapeFactor = 2
	// hashedPrefixBytes is the length of the beginning of a prompt that is
	// hashed to find a server with a cached prefix.
	hashedPrefixBytes = 2 << 10
	// memoryRetryAfter is the Retry-After time of a request whose body exceeds
	// the memory left.
	memoryRetryAfter = time.Second
)

// readBody reads the request's body into one buffer of its declared length. The
// memory stays reserved until release is called.
func (q *request) readBody(limit int64) (body []byte, release func(), failure *Failure) {
	length := q.r.ContentLength
	switch {
	case length < 0:
		return nil, nil, newFailure(http.StatusLengthRequired, OutcomeNotRun, ReasonLengthRequired,
			"the body needs a Content-Length")
	case length > limit:
		return nil, nil, newFailure(http.StatusRequestEntityTooLarge, OutcomeNotRun, ReasonTooLarge,
			"the body has %d bytes, %d are allowed", length, limit)
	}
	if !q.server.bodyMemory.reserve(q.identity.name, length, q.server.limits) {
		return nil, nil, newFailure(http.StatusServiceUnavailable, OutcomeNotRun, ReasonBusy,
			"the entry holds too many long requests").withRetryAfter(memoryRetryAfter)
	}
	release = func() { q.server.bodyMemory.release(q.identity.name, length) }
	q.control.SetReadDeadline(time.Now().Add(q.server.limits.BodyTimeout()))
	body = make([]byte, length)
	if _, err := io.ReadFull(q.r.Body, body); err != nil {
		release()
		return nil, nil, bodyFailure(err)
	}
	q.control.SetReadDeadline(time.Time{})
	if err := q.server.clients.Received(q.r); err != nil {
		release()
		return nil, nil, receivedFailure(err)
	}
	return body, release, nil
}

// receivedFailure returns the failure of a request that is not handled, although it has arrived.
func receivedFailure(err error) *Failure {
	if errors.Is(err, http1.ErrClosed) {
		return callerGone
	}
	return newFailure(http.StatusServiceUnavailable, OutcomeNotRun, ReasonBusy, "the entry has too many requests").withRetryAfter(memoryRetryAfter)
}

func bodyFailure(err error) *Failure {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return newFailure(http.StatusRequestTimeout, OutcomeNotRun, ReasonBodyTimeout, "the body did not arrive in time")
	}
	return badRequest("the body ended early")
}

// maxCompletionBody returns the length in bytes of the longest body that the
// account's models may need.
func (q *request) maxCompletionBody() int64 {
	longest := int64(q.identity.longestPrompt())
	return min(q.server.limits.MaxBody(), longest*bytesPerToken*maxEscapeFactor+maxBodyOverhead)
}

// completionParams are the parameters of a completion request that routing and
// admission need.
type completionParams struct {
	model       string
	stream      bool
	maxTokens   int
	promptBytes int
	prefixHash  uint64
}

// promptTokens returns an estimate of the prompt's length in tokens, rounded
// up.
func (c completionParams) promptTokens() int {
	return (c.promptBytes + bytesPerToken - 1) / bytesPerToken
}

var errInvalidField = eris.New("caller: invalid field")

// parseCompletion reads the parameters from the body without copying the
// prompt. promptField is the name of the field that holds the prompt.
func parseCompletion(body []byte, promptField string) (completionParams, *Failure) {
	if !json.Valid(body) {
		return completionParams{}, badRequest("the body is not JSON")
	}
	parser := completionParser{promptField: promptField, seen: make(map[string]bool)}
	err := backend.Fields(body, parser.visitField)
	switch {
	case parser.failure != nil:
		return completionParams{}, parser.failure
	case err != nil:
		return completionParams{}, badRequest("the body is not a JSON object")
	case parser.params.model == "":
		return completionParams{}, badRequest("model is missing")
	case !parser.seen[promptField]:
		return completionParams{}, badRequest("%s is missing", promptField)
	}
	return parser.params, nil
}

type completionParser struct {
	params      completionParams
	promptField string
	seen        map[string]bool
	failure     *Failure
}

func (s *completionParser) visitField(name, value []byte) error {
	if bytes.IndexByte(name, '\\') >= 0 {
		return s.reject("field names must not be escaped")
	}
	for _, field := range [...]string{"model", "stream", "max_tokens", s.promptField} {
		if !strings.EqualFold(field, string(name)) {
			continue
		}
		if s.seen[field] || field != string(name) {
			return s.reject("%s must be given once, in lower case", field)
		}
		s.seen[field] = true
		return s.setField(field, value)
	}
	return nil
}

func (s *completionParser) setField(field string, value []byte) error {
	switch field {
	case "model":
		if json.Unmarshal(value, &s.params.model) != nil {
			return s.reject("model must be a string")
		}
	case "stream":
		if json.Unmarshal(value, &s.params.stream) != nil {
			return s.reject("stream must be true or false")
		}
	case "max_tokens":
		n, err := strconv.Atoi(string(value))
		if err != nil || n <= 0 {
			return s.reject("max_tokens must be a positive integer")
		}
		s.params.maxTokens = n
	default:
		return s.setPrompt(field, value)
	}
	return nil
}

func (s *completionParser) setPrompt(field string, value []byte) error {
	s.params.prefixHash = xxhash.Sum64(value[:min(len(value), hashedPrefixBytes)])
	if field == "prompt" {
		if value[0] != '"' {
			return s.reject("prompt must be a string")
		}
		s.params.promptBytes = len(value) - len(`""`)
		return nil
	}
	if value[0] != '[' {
		return s.reject("messages must be an array")
	}
	return backend.Elements(value, s.addMessage)
}

func (s *completionParser) addMessage(message []byte) error {
	if message[0] != '{' {
		return s.reject("messages must hold objects")
	}
	return backend.Fields(message, func(name, value []byte) error {
		if bytes.Equal(name, contentField) {
			s.params.promptBytes += contentBytes(value)
		}
		return nil
	})
}

var contentField = []byte("content")

// contentBytes returns the length in bytes of a message's content, which is a
// string or an array of parts.
func contentBytes(value []byte) int {
	if value[0] == '"' {
		return len(value) - len(`""`)
	}
	return len(value)
}

func (s *completionParser) reject(format string, args ...any) error {
	s.failure = badRequest(format, args...)
	return errInvalidField
}
