package backend

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// Fault says what was wrong with an answer or one of its events.
type Fault string

// The faults of answers.
const (
	// FaultLate is an event of an earlier attempt of the same request.
	FaultLate Fault = "late"
	// FaultCrossed is an event or answer of another request.
	FaultCrossed Fault = "crossed"
	// FaultRepeated is an event whose tokens came before.
	FaultRepeated Fault = "repeated"
	// FaultGap is an event before which tokens are missing.
	FaultGap Fault = "gap"
	// FaultTruncated is an answer without its end.
	FaultTruncated Fault = "truncated"
	// FaultMalformed is an event that cannot be read.
	FaultMalformed Fault = "malformed"
	// FaultTooLarge is an event or answer over its bound in bytes.
	FaultTooLarge Fault = "too_large"
)

// FaultError is the error of an answer that is not whole.
type FaultError struct {
	fault Fault
	err   error
}

// Fault returns what was wrong.
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

// Stream reads the events of one streamed answer and lets only those pass
// that continue it: late, crossed and repeated events are dropped and
// counted, and any other fault ends it.
type Stream struct {
	answer  *Response
	idle    func() error
	buffer  []byte
	start   int
	end     int
	next    int
	dropped int
	final   bool
}

func newStream(answer *Response, idle func() error) *Stream {
	return &Stream{answer: answer, idle: idle, buffer: make([]byte, firstBufferBytes), next: answer.attempt.resumeFrom}
}

// Tokens returns the number of the answer's tokens that have passed, those
// before a resumed stream included.
func (s *Stream) Tokens() int { return s.next }

// Next returns the next event, valid until Next is called again; its error is
// io.EOF after the end marker, else a *FaultError or that of idle.
func (s *Stream) Next() (Event, error) {
	for {
		data, err := s.data()
		if err != nil {
			return Event{}, err
		}
		if bytes.Equal(data, doneData) {
			s.answer.whole = true
			return Event{}, io.EOF
		}
		event, err := parseEvent(data)
		if err != nil {
			return Event{}, s.answer.fault(FaultMalformed, err)
		}
		fault := s.check(event)
		switch fault {
		case "":
			s.next += event.tokens
			s.final = event.final
			return event, nil
		case FaultLate, FaultCrossed, FaultRepeated:
			if err := s.drop(fault); err != nil {
				return Event{}, err
			}
		default:
			return Event{}, s.answer.fault(fault, nil)
		}
	}
}

func (s *Stream) drop(fault Fault) error {
	err := s.answer.fault(fault, nil)
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
	case event.index > s.next:
		return FaultGap
	case event.index < s.next && event.index+event.tokens <= s.next:
		return FaultRepeated
	case event.index < s.next:
		return FaultMalformed
	case s.final:
		return FaultRepeated
	case event.completion >= 0 && !s.complete(event):
		return FaultTruncated
	default:
		return ""
	}
}

// complete reports whether the length that the last event states is that of
// the whole answer, or of the part that was resumed.
func (s *Stream) complete(event Event) bool {
	whole := event.index + event.tokens
	return event.completion == whole || event.completion == whole-s.answer.attempt.resumeFrom
}

func (s *Stream) checkID(id []byte) Fault {
	own := s.answer.attempt.slot.id
	if string(id) == own {
		return ""
	}
	request, _, _ := cutAttempt(own)
	if other, n, ok := cutAttempt(string(id)); ok && other == request && n != "" {
		return FaultLate
	}
	return FaultCrossed
}

// cutAttempt splits an attempt's id into its request's id and its number.
func cutAttempt(id string) (request, number string, ok bool) {
	id, _, _ = strings.Cut(id, attemptOwnerMark)
	dot := strings.LastIndex(id, attemptNumberMark)
	if dot < 0 {
		return id, "", false
	}
	return id[:dot], id[dot+1:], true
}

// data returns the next line of data.
func (s *Stream) data() ([]byte, error) {
	for {
		line, err := s.line()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

func (s *Stream) line() ([]byte, error) {
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

// fill reads more into the buffer, which it grows up to the bound of one event.
func (s *Stream) fill() error {
	if s.start > 0 {
		s.end = copy(s.buffer, s.buffer[s.start:s.end])
		s.start = 0
	}
	if s.end == len(s.buffer) {
		if len(s.buffer) >= maxEventBytes {
			return s.answer.fault(FaultTooLarge, nil)
		}
		s.buffer = append(s.buffer, make([]byte, len(s.buffer))...)
	}
	if err := s.idle(); err != nil {
		return err
	}
	n, err := s.answer.Read(s.buffer[s.end:])
	s.end += n
	if n > 0 || err == nil {
		return nil
	}
	return s.answer.fault(FaultTruncated, err)
}
