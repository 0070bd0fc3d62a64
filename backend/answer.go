package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStalled is the cause of an attempt whose server sent nothing for too long.
var ErrStalled = eris.New("backend: server sent nothing for too long")

const (
	// closeWait is how long the rest of an answer that needs no more reading may
	// take, and maxRestBytes how long it may be, for its connection to be kept.
	closeWait    = time.Second
	maxRestBytes = 1 << 10
	// leastWait is what a late header leaves for the first event.
	leastWait = time.Millisecond
)

// Response is what a server answers to one attempt.
type Response struct {
	client   *Client
	attempt  Attempt
	response *http.Response
	cancel   context.CancelCauseFunc
	dog      *watchdog
	sent     time.Time
	begun    bool
	whole    bool
}

// Status returns the HTTP status.
func (a *Response) Status() int { return a.response.StatusCode }

// Header returns the answer's header.
func (a *Response) Header() http.Header { return a.response.Header }

// Stream returns the events of a streamed answer; idle is called before each
// wait for the server, and its error ends the stream.
func (a *Response) Stream(idle func() error) *Stream { return newStream(a, idle) }

// Body returns the whole body of at most limit bytes, whose end its length or
// its last chunk must show; a failure is a *FaultError.
func (a *Response) Body(limit int64) ([]byte, error) {
	body, err := a.body(limit)
	if err != nil {
		return nil, err
	}
	a.whole = true
	return body, nil
}

func (a *Response) body(limit int64) ([]byte, error) {
	length := a.response.ContentLength
	switch {
	case a.response.Body == http.NoBody:
		return nil, nil
	case length > limit:
		return nil, a.fault(FaultTooLarge, nil)
	case length < 0 && len(a.response.TransferEncoding) == 0:
		return nil, a.fault(FaultTruncated, errNoLength)
	case length < 0:
		return a.chunked(limit)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(a, body); err != nil {
		return nil, a.fault(FaultTruncated, err)
	}
	return body, nil
}

func (a *Response) chunked(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, a.fault(FaultTruncated, err)
	}
	if int64(len(body)) > limit {
		return nil, a.fault(FaultTooLarge, nil)
	}
	return body, nil
}

var errNoLength = eris.New("backend: answer states no length")

// Read reads from the body and fails when the server stalls.
func (a *Response) Read(p []byte) (int, error) {
	a.dog.watch(a.wait())
	n, err := a.response.Body.Read(p)
	a.dog.pause()
	a.begun = a.begun || n > 0
	if err != nil && errors.Is(context.Cause(a.response.Request.Context()), ErrStalled) {
		err = ErrStalled
	}
	return n, err
}

// wait returns how long the server may take to send more.
func (a *Response) wait() time.Duration {
	if a.begun {
		return a.attempt.eventWait
	}
	if a.attempt.firstWait == 0 {
		return 0
	}
	left := a.attempt.firstWait - a.client.clock.Now().Sub(a.sent)
	return max(left, leastWait)
}

// ReplaceID returns the answer's JSON body under another id; its own must be the
// attempt's, else the error is a *FaultError.
func (a *Response) ReplaceID(body []byte, id string) ([]byte, error) {
	var value []byte
	err := Fields(body, func(name, field []byte) error {
		if string(name) == "id" {
			value = field
		}
		return nil
	})
	if err != nil || len(value) < len(`""`) {
		return nil, a.fault(FaultMalformed, err)
	}
	start, end, err := idBounds(body, value)
	if err != nil {
		return nil, a.fault(FaultMalformed, err)
	}
	if string(body[start:end]) != a.attempt.slot.id {
		return nil, a.fault(FaultCrossed, nil)
	}
	renamed := make([]byte, 0, len(body)+len(id))
	renamed = append(renamed, body[:start]...)
	renamed = append(renamed, id...)
	return append(renamed, body[end:]...), nil
}

// MatchesAttempt reports whether the answer bears the attempt's id.
func (a *Response) MatchesAttempt() bool {
	return a.response.Header.Get(headerRequestID) == a.attempt.slot.id
}

// RecordFault counts a fault of the answer and returns its error.
func (a *Response) RecordFault(fault Fault) error { return a.fault(fault, nil) }

func (a *Response) fault(fault Fault, err error) *FaultError {
	a.client.faults.Add(string(fault), 1)
	return &FaultError{fault: fault, err: err}
}

// Close ends the answer; the connection of a whole answer is kept.
func (a *Response) Close() {
	if !a.whole {
		a.cancel(nil)
		a.response.Body.Close()
		return
	}
	go a.finish()
}

func (a *Response) finish() {
	a.dog.watch(closeWait)
	io.CopyN(io.Discard, a.response.Body, maxRestBytes)
	a.response.Body.Close()
	a.dog.pause()
	a.cancel(nil)
}
