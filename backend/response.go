package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStalled is the cause of an attempt that failed because its server sent
// nothing within the timeout.
var ErrStalled = eris.New("backend: server sent nothing for too long")

const (
	// drainTimeout and maxDrainBytes limit how long and how much of a
	// response is read on Close, to reuse its connection.
	drainTimeout  = time.Second
	maxDrainBytes = 1 << 10
	// freeBodyBytes is the size of a body up to which its memory is not reserved.
	freeBodyBytes = 64 << 10
)

// Response is a server's response to an attempt.
type Response struct {
	client       *Client
	attempt      Attempt
	httpResponse *http.Response
	cancel       context.CancelCauseFunc
	watchdog     *watchdog
	sentAt       time.Time
	started      bool
	complete     bool
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.httpResponse.StatusCode }

// Header returns the HTTP header.
func (r *Response) Header() http.Header { return r.httpResponse.Header }

// Stream returns the events of a streamed response. beforeRead is called
// before each read that may wait for the server; its error ends the stream.
func (r *Response) Stream(beforeRead func() error) *Stream { return newStream(r, beforeRead) }

// Body returns the whole body, of at most limit bytes. The body must have a
// length or end with a last chunk, so that a truncated one is detected. The
// error is a *FaultError.
func (r *Response) Body(limit int64) ([]byte, error) {
	body, err := r.body(limit)
	if err != nil {
		return nil, err
	}
	r.complete = true
	return body, nil
}

func (r *Response) body(limit int64) ([]byte, error) {
	length := r.httpResponse.ContentLength
	switch {
	case r.httpResponse.Body == http.NoBody:
		return nil, nil
	case length > limit:
		return nil, r.fault(FaultTooLarge, nil)
	case length < 0 && len(r.httpResponse.TransferEncoding) == 0:
		return nil, r.fault(FaultTruncated, errNoLength)
	case length < 0:
		body, err := r.readUpTo(limit + 1)
		if err == nil && int64(len(body)) > limit {
			err = r.fault(FaultTooLarge, nil)
		}
		return body, err
	}
	body, err := r.readUpTo(length)
	if err == nil && int64(len(body)) < length {
		err = r.fault(FaultTruncated, io.ErrUnexpectedEOF)
	}
	return body, err
}

// readUpTo reads the body to its end, or up to a number of bytes. Its memory grows with what has
// arrived, beyond freeBodyBytes as far as the attempt may reserve more.
func (r *Response) readUpTo(bytes int64) ([]byte, error) {
	body := make([]byte, 0, min(bytes, freeBodyBytes))
	for int64(len(body)) < bytes {
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), bytes)
			if reserve := r.attempt.reserve; reserve != nil && !reserve(size-int64(cap(body))) {
				return nil, r.fault(FaultNoMemory, nil)
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, r.fault(FaultTruncated, err)
		}
	}
	return body, nil
}

var errNoLength = eris.New("backend: answer states no length")

// Read reads from the body. When the server stalls it fails, or calls the
// attempt's function for a silent server.
func (r *Response) Read(p []byte) (int, error) {
	r.watchdog.start(r.readTimeout(), r.attempt.eventTimeout)
	n, err := r.httpResponse.Body.Read(p)
	r.watchdog.stop()
	r.started = r.started || n > 0
	if err != nil && errors.Is(context.Cause(r.httpResponse.Request.Context()), ErrStalled) {
		err = ErrStalled
	}
	return n, err
}

// readTimeout returns how long the server may take to send more, 0 for no
// limit.
func (r *Response) readTimeout() time.Duration {
	if r.started {
		return r.attempt.eventTimeout
	}
	if r.attempt.firstTimeout == 0 {
		return 0
	}
	if left := r.attempt.firstTimeout - r.client.clock.Now().Sub(r.sentAt); left > 0 {
		return left
	}
	return r.attempt.eventTimeout
}

// ReplaceID returns the JSON body with its id replaced. The body's id must be
// the attempt's, else the error is a *FaultError.
func (r *Response) ReplaceID(body []byte, id string) ([]byte, error) {
	var value []byte
	err := Fields(body, func(name, field []byte) error {
		if string(name) == "id" {
			value = field
		}
		return nil
	})
	if err != nil || len(value) < len(`""`) {
		return nil, r.fault(FaultMalformed, err)
	}
	start, end, err := idBounds(body, value)
	if err != nil {
		return nil, r.fault(FaultMalformed, err)
	}
	if string(body[start:end]) != r.attempt.slot.id {
		return nil, r.fault(FaultCrossed, nil)
	}
	replaced := make([]byte, 0, len(body)+len(id))
	replaced = append(replaced, body[:start]...)
	replaced = append(replaced, id...)
	return append(replaced, body[end:]...), nil
}

// MatchesAttempt reports whether the response carries the attempt's id.
func (r *Response) MatchesAttempt() bool {
	return r.httpResponse.Header.Get(headerRequestID) == r.attempt.slot.id
}

// RecordFault counts a fault of the response and returns it as an error.
func (r *Response) RecordFault(fault Fault) error { return r.fault(fault, nil) }

func (r *Response) fault(fault Fault, err error) *FaultError {
	r.client.faults.Add(string(fault), 1)
	return &FaultError{fault: fault, err: err}
}

// Close ends the response; the connection of a complete one is kept for
// reuse.
func (r *Response) Close() {
	if !r.complete {
		r.cancel(nil)
		r.httpResponse.Body.Close()
		return
	}
	go r.drain()
}

func (r *Response) drain() {
	timeout := time.AfterFunc(drainTimeout, func() { r.cancel(nil) })
	io.CopyN(io.Discard, r.httpResponse.Body, maxDrainBytes)
	r.httpResponse.Body.Close()
	timeout.Stop()
	r.cancel(nil)
}
