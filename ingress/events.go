package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 256 << 10

// event is one server-sent event; raw includes the blank line that ends it.
type event struct {
	raw []byte
	id  string
}

// eventReader reads server-sent events.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(r)}
}

// statusLine is the beginning of the head of a response. A server that sends one within a body
// has begun another response.
var statusLine = []byte("HTTP/1.")

// next returns the next complete event, or io.EOF at the end of the body.
func (e *eventReader) next() (event, error) {
	var out event
	e.buf = nil
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if len(e.buf) > maxEventBytes {
			return event{}, eris.Errorf("ingress: event over %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event{}, err
		}
		if bytes.HasPrefix(e.buf, statusLine) {
			return event{}, errSecondResponse
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			out.raw = e.buf
			return out, nil
		}
		if id, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			out.id = string(bytes.TrimSpace(id))
		}
	}
}

// partial reports whether the body ended within an event, without its blank line.
func (e *eventReader) partial() bool { return len(e.buf) > 0 }

// buffered reports whether another event can be read without blocking.
func (e *eventReader) buffered() bool {
	next, _ := e.r.Peek(e.r.Buffered()) // never more than is buffered
	return bytes.Contains(next, []byte("\n\n")) || bytes.Contains(next, []byte("\n\r\n"))
}

// streamPosition is how far a caller's stream has come; several servers may
// produce parts of the stream.
type streamPosition struct {
	lastID          string
	count           int
	lastAt          time.Time
	longestInterval time.Duration
}

// forwarded counts an event that is forwarded at now and updates the longest interval between events.
func (p *streamPosition) forwarded(now time.Time) {
	if p.count > 0 {
		p.longestInterval = max(p.longestInterval, now.Sub(p.lastAt))
	}
	p.count++
	p.lastAt = now
}

// accept reports whether an event is new to the caller, and records its id.
// A resumed stream may repeat events that the caller already has.
func (p *streamPosition) accept(next event) bool {
	if next.id == "" {
		return true
	}
	n, err := strconv.ParseInt(next.id, 10, 64)
	last, lastErr := strconv.ParseInt(p.lastID, 10, 64)
	if err == nil && lastErr == nil && n <= last {
		return false
	}
	p.lastID = next.id
	return true
}
