package ingress

import (
	"bufio"
	"bytes"
	"context"
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

// errEventMemory is the error of reading an event for which there is no memory.
var errEventMemory = eris.New("ingress: no memory for the rest of an event")

// eventReader reads server-sent events. The memory of a long one is reserved while it is read and
// forwarded.
type eventReader struct {
	r   *bufio.Reader
	buf []byte

	ctx      context.Context
	memory   answer
	reserved int
	// giveUp has the reading fail.
	giveUp func()
}

// newEventReader returns a reader of a response, which must fail once giveUp is called.
func newEventReader(ctx context.Context, r io.Reader, memory *answerMemory, giveUp func()) *eventReader {
	return &eventReader{r: bufio.NewReader(r), ctx: ctx, memory: answer{memory: memory}, giveUp: giveUp}
}

// grow makes room for more bytes of the event. It gives the event up and reports false if there is
// no memory for them. From the first reservation on, another response that finds no memory may
// have the event given up once it has been read for answerMemoryWait.
func (e *eventReader) grow(bytes int) bool {
	size := len(e.buf) + bytes
	if size <= cap(e.buf) {
		return true
	}
	size = max(size, min(2*cap(e.buf), maxEventBytes+firstAnswerBytes))
	if size > freeAnswerBytes {
		if !e.memory.reserve(e.ctx, int64(size-e.reserved)) {
			e.giveUp()
			return false
		}
		if e.reserved == 0 {
			e.memory.progress(e.giveUp)
		}
		e.reserved = size
	}
	e.buf = append(make([]byte, 0, size), e.buf...)
	return true
}

// release gives the memory of the event back.
func (e *eventReader) release() {
	e.buf, e.reserved = nil, 0
	e.memory.release()
}

// statusLine is the beginning of the head of a response. A server that sends one within a body
// has begun another response.
var statusLine = []byte("HTTP/1.")

// next returns the next complete event, or io.EOF at the end of the body. The event before it must
// no longer be in use.
func (e *eventReader) next() (event, error) {
	var out event
	e.release()
	for {
		line, err := e.r.ReadSlice('\n')
		if !e.grow(len(line)) {
			return event{}, errEventMemory
		}
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
