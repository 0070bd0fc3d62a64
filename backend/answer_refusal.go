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
	// maxRefusalBytes is the longest body of a plain service's refusal.
	maxRefusalBytes = 1 << 10
)

type refusalBody struct {
	Error struct {
		Reason string `json:"reason"`
	} `json:"error"`
}

// refusal returns the *AttemptError that the status stands for, nil for an answer.
func (a *Response) refusal() error {
	outcome := a.refusalOutcome()
	if outcome == "" {
		return nil
	}
	status := a.response.StatusCode
	return &AttemptError{
		outcome:  outcome,
		status:   status,
		comeBack: a.comeBack(),
		err:      eris.Errorf("backend: status %d", status),
	}
}

func (a *Response) refusalOutcome() Outcome {
	status := a.response.StatusCode
	full := status == http.StatusConflict || status == http.StatusTooManyRequests
	switch {
	case status == http.StatusServiceUnavailable && a.response.Header.Get(headerState) == stateLeaving:
		return OutcomeLeaving
	case a.attempt.plain && full && a.refusedByServer():
		return OutcomeRefused
	case a.attempt.plain:
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
// protocol and not its application's own answer, which stays to be read.
func (a *Response) refusedByServer() bool {
	start := make([]byte, maxRefusalBytes)
	n, err := io.ReadFull(a, start)
	rest := a.response.Body
	a.response.Body = joinedBody{Reader: io.MultiReader(bytes.NewReader(start[:n]), rest), Closer: rest}
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

// joinedBody is a body of which a part was read ahead.
type joinedBody struct {
	io.Reader
	io.Closer
}

func (a *Response) comeBack() time.Duration {
	seconds, err := strconv.ParseFloat(a.response.Header.Get(headerRetryAfter), 64)
	if err == nil && seconds >= 0 && seconds <= time.Hour.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return 0
}
