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
)

const (
	bytesPerToken = 4
	// bodySlack is what a body may be longer than its longest prompt, in bytes.
	bodySlack = 64 << 10
	// escapeAllowance is by how much JSON may lengthen a prompt.
	escapeAllowance = 2
	// prefixBytes is the beginning of a prompt by which a cached prefix is found.
	prefixBytes = 2 << 10
	// memoryComeBack is when a caller may come back for whose body there was no room.
	memoryComeBack = time.Second
)

// readBody reads the request's body once into one buffer of its stated
// length, and reserves its memory until release is called.
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
	if !q.server.memory.reserve(q.who.name, length, q.server.limits) {
		return nil, nil, newFailure(http.StatusServiceUnavailable, OutcomeNotRun, ReasonBusy,
			"the entry holds too many long requests").in(memoryComeBack)
	}
	release = func() { q.server.memory.release(q.who.name, length) }
	q.control.SetReadDeadline(time.Now().Add(q.server.limits.BodyTimeout()))
	body = make([]byte, length)
	if _, err := io.ReadFull(q.r.Body, body); err != nil {
		release()
		return nil, nil, bodyFailure(err)
	}
	q.control.SetReadDeadline(time.Time{})
	return body, release, nil
}

func bodyFailure(err error) *Failure {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return newFailure(http.StatusRequestTimeout, OutcomeNotRun, ReasonBodyTimeout, "the body did not arrive in time")
	}
	return badRequest("the body ended early")
}

// promptLimit returns the longest body in bytes that the account's models may need.
func (q *request) promptLimit() int64 {
	longest := int64(q.who.longestPrompt())
	return min(q.server.limits.MaxBody(), longest*bytesPerToken*escapeAllowance+bodySlack)
}

// completion is what the entry needs to know of a completion's body.
type completion struct {
	model     string
	stream    bool
	maxTokens int
	prompt    int
	prefix    uint64
}

// promptTokens returns the prompt's length in tokens, rounded up.
func (c completion) promptTokens() int {
	return (c.prompt + bytesPerToken - 1) / bytesPerToken
}

var errField = eris.New("caller: field refused")

// scanCompletion finds what it needs in the body without copying the prompt;
// promptField names the field that holds the prompt.
func scanCompletion(body []byte, promptField string) (completion, *Failure) {
	if !json.Valid(body) {
		return completion{}, badRequest("the body is not JSON")
	}
	scan := completionScan{promptField: promptField, seen: make(map[string]bool)}
	err := backend.Fields(body, scan.field)
	switch {
	case scan.failure != nil:
		return completion{}, scan.failure
	case err != nil:
		return completion{}, badRequest("the body is not a JSON object")
	case scan.found.model == "":
		return completion{}, badRequest("model is missing")
	case !scan.seen[promptField]:
		return completion{}, badRequest("%s is missing", promptField)
	}
	return scan.found, nil
}

type completionScan struct {
	found       completion
	promptField string
	seen        map[string]bool
	failure     *Failure
}

func (s *completionScan) field(name, value []byte) error {
	if bytes.IndexByte(name, '\\') >= 0 {
		return s.refuse("field names must not be escaped")
	}
	for _, field := range [...]string{"model", "stream", "max_tokens", s.promptField} {
		if !strings.EqualFold(field, string(name)) {
			continue
		}
		if s.seen[field] || field != string(name) {
			return s.refuse("%s must be given once, in lower case", field)
		}
		s.seen[field] = true
		return s.known(field, value)
	}
	return nil
}

func (s *completionScan) known(field string, value []byte) error {
	switch field {
	case "model":
		if json.Unmarshal(value, &s.found.model) != nil {
			return s.refuse("model must be a string")
		}
	case "stream":
		if json.Unmarshal(value, &s.found.stream) != nil {
			return s.refuse("stream must be true or false")
		}
	case "max_tokens":
		n, err := strconv.Atoi(string(value))
		if err != nil || n <= 0 {
			return s.refuse("max_tokens must be a positive integer")
		}
		s.found.maxTokens = n
	default:
		return s.prompt(field, value)
	}
	return nil
}

func (s *completionScan) prompt(field string, value []byte) error {
	s.found.prefix = xxhash.Sum64(value[:min(len(value), prefixBytes)])
	if field == "prompt" {
		if value[0] != '"' {
			return s.refuse("prompt must be a string")
		}
		s.found.prompt = len(value) - len(`""`)
		return nil
	}
	if value[0] != '[' {
		return s.refuse("messages must be an array")
	}
	return backend.Elements(value, s.message)
}

func (s *completionScan) message(message []byte) error {
	if message[0] != '{' {
		return s.refuse("messages must hold objects")
	}
	return backend.Fields(message, func(name, value []byte) error {
		if bytes.Equal(name, contentField) {
			s.found.prompt += contentBytes(value)
		}
		return nil
	})
}

var contentField = []byte("content")

// contentBytes returns the bytes of a message's content, a string or an array of parts.
func contentBytes(value []byte) int {
	if value[0] == '"' {
		return len(value) - len(`""`)
	}
	return len(value)
}

func (s *completionScan) refuse(format string, args ...any) error {
	s.failure = badRequest(format, args...)
	return errField
}
