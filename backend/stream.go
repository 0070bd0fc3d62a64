package backend

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// Fault is a defect of a response or of one of its events.
type Fault string

// Faults of responses.
const (
	// FaultLate is an event of an earlier attempt of the same request.
	FaultLate Fault = "late"
	// FaultCrossed is an event or a response of another request.
	FaultCrossed Fault = "crossed"
	// FaultRepeated is an event whose tokens have been received before.
	FaultRepeated Fault = "repeated"
	// FaultGap is an event before which tokens are missing.
	FaultGap Fault = "gap"
	// FaultTruncated is a response without its end.
	FaultTruncated Fault = "truncated"
	// FaultMalformed is an event that can't be parsed.
	FaultMalformed Fault = "malformed"
	// FaultTooLarge is an event or a response that exceeds its size limit.
	FaultTooLarge Fault = "too_large"
	// FaultNoMemory is a response for the rest of which there is no memory.
	FaultNoMemory Fault = "no_memory"
)

// FaultError is the error of a response with a fault.
type FaultError struct {
	fault Fault
	err   error
}

// Fault returns the fault.
func (e *FaultError) Fault() Fault { return e.fault }

// Unwrap returns the cause, nil without one.
func (e *FaultError) Unwrap() error { return e.err }

// Error returns the fault and its cause.
func (e *FaultError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("backend: answer %s", e.fault)
	}
	return fmt.Sprintf("backend: answer %s: %v", e.fault, e.err)
}

// Bounds of one stream.
const (
	firstBufferBytes = 2 << 10
	maxEventBytes    = 32 << 10
	maxDroppedEvents = 64
)

var (
	dataField = []byte("data:")
	doneData  = []byte("[DONE]")
)

// Stream reads the events of a streamed response and returns only those that
// continue the answer: late, crossed and repeated events are dropped and
// counted, and any other fault ends the stream.
type Stream struct {
	response   *Response
	beforeRead func() error
	buffer     []byte
	start      int
	end        int
	nextIndex  int
	dropped    int
	final      bool
}

func newStream(response *Response, beforeRead func() error) *Stream {
	return &Stream{response: response, beforeRead: beforeRead, buffer: make([]byte, firstBufferBytes), nextIndex: response.attempt.resumeFrom}
}

// Tokens returns the number of the answer's tokens so far, including those
// before a resumed stream.
func (s *Stream) Tokens() int { return s.nextIndex }

// Next returns the next event, which is valid until the next call. The error
// is io.EOF after the end marker, else a *FaultError or the error of
// beforeRead.
func (s *Stream) Next() (Event, error) {
	for {
		data, err := s.nextData()
		if err != nil {
			return Event{}, err
		}
		if bytes.Equal(data, doneData) {
			s.response.complete = true
			return Event{}, io.EOF
		}
		event, err := parseEvent(data)
		if err != nil {
			return Event{}, s.response.fault(FaultMalformed, err)
		}
		fault := s.check(event)
		switch fault {
		case "":
			s.nextIndex += event.tokens
			s.final = event.final
			return event, nil
		case FaultLate, FaultCrossed, FaultRepeated:
			if err := s.drop(fault); err != nil {
				return Event{}, err
			}
		default:
			return Event{}, s.response.fault(fault, nil)
		}
	}
}

func (s *Stream) drop(fault Fault) error {
	err := s.response.fault(fault, nil)
	s.dropped++
	if s.dropped > maxDroppedEvents {
		return err
	}
	return nil
}

// check returns the event's fault, empty if it continues the answer.
func (s *Stream) check(event Event) Fault {
	if fault := s.checkID(event.id()); fault != "" {
		return fault
	}
	switch {
	case event.index > s.nextIndex:
		return FaultGap
	case event.index < s.nextIndex && event.index+event.tokens <= s.nextIndex:
		return FaultRepeated
	case event.index < s.nextIndex:
		return FaultMalformed
	case s.final:
		return FaultRepeated
	case event.completion >= 0 && !s.lengthMatches(event):
		return FaultTruncated
	default:
		return ""
	}
}

// lengthMatches reports whether the length that the last event states is that
// of the whole answer, or that of the resumed part.
func (s *Stream) lengthMatches(event Event) bool {
	whole := event.index + event.tokens
	return event.completion == whole || event.completion == whole-s.response.attempt.resumeFrom
}

func (s *Stream) checkID(id []byte) Fault {
	own := s.response.attempt.slot.id
	if string(id) == own {
		return ""
	}
	request, _, _ := splitAttemptID(own)
	if other, n, ok := splitAttemptID(string(id)); ok && other == request && n != "" {
		return FaultLate
	}
	return FaultCrossed
}

// splitAttemptID splits an attempt id into the request's id and the attempt's
// number.
func splitAttemptID(id string) (request, number string, ok bool) {
	id, _, _ = strings.Cut(id, ownerSeparator)
	dot := strings.LastIndex(id, numberSeparator)
	if dot < 0 {
		return id, "", false
	}
	return id[:dot], id[dot+1:], true
}

// nextData returns the data of the next event. Lines without data, such as comments, are
// skipped, up to maxEventBytes.
func (s *Stream) nextData() ([]byte, error) {
	for skipped := 0; skipped <= maxEventBytes; {
		line, err := s.nextLine()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(data), nil
		}
		skipped += len(line) + 1
	}
	return nil, s.response.fault(FaultTooLarge, nil)
}

func (s *Stream) nextLine() ([]byte, error) {
	searched := 0
	for {
		if n := bytes.IndexByte(s.buffer[s.start+searched:s.end], '\n'); n >= 0 {
			line := s.buffer[s.start : s.start+searched+n]
			s.start += searched + n + 1
			return line, nil
		}
		searched = s.end - s.start
		if err := s.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads more into the buffer, growing it up to maxEventBytes.
func (s *Stream) fill() error {
	if s.start > 0 {
		s.end = copy(s.buffer, s.buffer[s.start:s.end])
		s.start = 0
	}
	if s.end == len(s.buffer) {
		if len(s.buffer) >= maxEventBytes {
			return s.response.fault(FaultTooLarge, nil)
		}
		s.buffer = append(s.buffer, make([]byte, len(s.buffer))...)
	}
	if err := s.beforeRead(); err != nil {
		return err
	}
	n, err := s.response.Read(s.buffer[s.end:])
	s.end += n
	if n > 0 || err == nil {
		return nil
	}
	return s.response.fault(FaultTruncated, err)
}
