package backend

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	stateLeaving = "leaving"
	// maxRefusalBytes bounds the body of a plain service's refusal.
	maxRefusalBytes = 1 << 10
)

type refusalBody struct {
	Error struct {
		Reason string `json:"reason"`
	} `json:"error"`
}

// refusalError returns the *AttemptError for the status, nil if the response
// is an answer.
func (r *Response) refusalError() error {
	outcome := r.refusalOutcome()
	if outcome == "" {
		return nil
	}
	status := r.httpResponse.StatusCode
	return &AttemptError{
		outcome:    outcome,
		status:     status,
		retryAfter: r.retryAfter(),
		err:        eris.Errorf("backend: status %d", status),
	}
}

func (r *Response) refusalOutcome() Outcome {
	status := r.httpResponse.StatusCode
	full := status == http.StatusConflict || status == http.StatusTooManyRequests
	switch {
	case status == http.StatusServiceUnavailable && r.httpResponse.Header.Get(headerState) == stateLeaving:
		return OutcomeLeaving
	case r.attempt.plain && full && r.refusedByServer():
		return OutcomeRefused
	case r.attempt.plain:
		return ""
	case full:
		return OutcomeRefused
	case status != http.StatusOK:
		return OutcomeFailed
	default:
		return ""
	}
}

// refusedByServer reports whether a plain service's body is a refusal of the
// protocol and not the application's own answer, in which case the body stays
// readable.
func (r *Response) refusedByServer() bool {
	start := make([]byte, maxRefusalBytes)
	n, err := io.ReadFull(r, start)
	rest := r.httpResponse.Body
	r.httpResponse.Body = prefixedBody{Reader: io.MultiReader(bytes.NewReader(start[:n]), rest), Closer: rest}
	var body refusalBody
	if err == nil || json.Unmarshal(start[:n], &body) != nil {
		return false
	}
	switch body.Error.Reason {
	case "incarnation", "full", "not_after", "time_left":
		return true
	default:
		return false
	}
}

// prefixedBody is a body whose beginning has been read ahead.
type prefixedBody struct {
	io.Reader
	io.Closer
}

func (r *Response) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(r.httpResponse.Header.Get(headerRetryAfter), 64)
	if err == nil && seconds >= 0 && seconds <= time.Hour.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return 0
}
