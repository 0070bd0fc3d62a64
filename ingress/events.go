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

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// event is one server-sent event with the blank line that ends it.
type event struct {
	text []byte
	id   string
}

// eventReader reads whole events.
type eventReader struct {
	r    *bufio.Reader
	rest []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(r)}
}

// next returns the next whole event, and io.EOF at the body's end.
func (e *eventReader) next() (event, error) {
	var out event
	e.rest = nil
	for {
		line, err := e.r.ReadSlice('\n')
		e.rest = append(e.rest, line...)
		if len(e.rest) > maxEventBytes {
			return event{}, eris.Errorf("ingress: event over %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event{}, err
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			out.text = e.rest
			return out, nil
		}
		if id, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			out.id = string(bytes.TrimSpace(id))
		}
	}
}

// partial reports whether the body ended within an event.
func (e *eventReader) partial() bool { return len(e.rest) > 0 }

// buffered reports whether more bytes can be read without waiting.
func (e *eventReader) buffered() bool { return e.r.Buffered() > 0 }

// events holds the place in a stream that several servers may write.
type events struct {
	last    string
	count   int
	at      time.Time
	longest time.Duration
}

// passed counts an event that is passed on and remembers the longest pause.
func (e *events) passed(now time.Time) {
	if e.count > 0 {
		e.longest = max(e.longest, now.Sub(e.at))
	}
	e.count++
	e.at = now
}

// accept reports whether an event is new to the caller, and remembers its id.
func (e *events) accept(next event) bool {
	if next.id == "" {
		return true
	}
	n, err := strconv.ParseInt(next.id, 10, 64)
	last, lastErr := strconv.ParseInt(e.last, 10, 64)
	if err == nil && lastErr == nil && n <= last {
		return false
	}
	e.last = next.id
	return true
}
