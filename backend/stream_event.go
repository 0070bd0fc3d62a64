package backend

import (
	"bytes"
	"strconv"
)

// Event is one event of a streamed response.
type Event struct {
	data       []byte
	idStart    int
	idEnd      int
	index      int
	tokens     int
	completion int
	final      bool
}

func (e Event) id() []byte { return e.data[e.idStart:e.idEnd] }

// Tokens returns the number of tokens that the event carries.
func (e Event) Tokens() int { return e.tokens }

// Final reports whether the event ends the answer's text.
func (e Event) Final() bool { return e.final }

// AppendWithID appends the event to dst as a server-sent event with another
// id.
func (e Event) AppendWithID(dst []byte, id string) []byte {
	dst = append(dst, "data: "...)
	dst = append(dst, e.data[:e.idStart]...)
	dst = append(dst, id...)
	dst = append(dst, e.data[e.idEnd:]...)
	return append(dst, "\n\n"...)
}

var finishReason = []byte(`"finish_reason":"`)

func parseEvent(data []byte) (Event, error) {
	event := Event{data: data, index: -1, tokens: -1, completion: -1, idStart: -1}
	err := Fields(data, func(name, value []byte) error {
		var err error
		switch string(name) {
		case "id":
			event.idStart, event.idEnd, err = idBounds(data, value)
		case "index":
			event.index, err = count(value)
		case "tokens":
			event.tokens, err = count(value)
		case "choices":
			event.final = event.final || bytes.Contains(value, finishReason)
		case "usage":
			event.final = true
			event.completion, err = completionTokens(value)
		}
		return err
	})
	if err != nil {
		return Event{}, err
	}
	if event.index < 0 || event.idStart < 0 {
		return Event{}, ErrJSON
	}
	if event.tokens < 0 {
		event.tokens = defaultTokens(event.final)
	}
	return event, nil
}

// defaultTokens returns the number of tokens of an event that doesn't state
// it: one, or none if the event only ends the answer.
func defaultTokens(final bool) int {
	if final {
		return 0
	}
	return 1
}

// idBounds returns the bounds of the id within data; value is the quoted id,
// a subslice of data.
func idBounds(data, value []byte) (start, end int, err error) {
	if len(value) < 2 || value[0] != '"' {
		return 0, 0, ErrJSON
	}
	offset := cap(data) - cap(value)
	return offset + 1, offset + len(value) - 1, nil
}

func count(value []byte) (int, error) {
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 0 {
		return 0, ErrJSON
	}
	return n, nil
}

// completionTokens returns the answer's length from a usage object, -1 if it
// has none.
func completionTokens(usage []byte) (int, error) {
	tokens := -1
	if usage[0] != '{' {
		return tokens, nil
	}
	err := Fields(usage, func(name, value []byte) error {
		var err error
		if string(name) == "completion_tokens" {
			tokens, err = count(value)
		}
		return err
	})
	return tokens, err
}
