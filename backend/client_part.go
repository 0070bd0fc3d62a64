package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of requests that carry one part of a prompt.
const (
	headerPart        = "X-Part"
	headerParts       = "X-Parts"
	headerRangeTokens = "X-Range-Tokens"
)

const (
	// PartExpiry is how long a server holds a part's memory without a
	// renewal.
	PartExpiry = 10 * time.Second
	// PartRenewInterval is the time between renewals of a part.
	PartRenewInterval = 3 * time.Second
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
	// maxPartResponseBytes bounds the response to a part other than the last.
	maxPartResponseBytes = 4 << 10
)

// Part is one of the consecutive pieces of a long prompt, each held by a
// different server.
type Part struct {
	number  int
	count   int
	from    int
	to      int
	earlier []Slot
}

// NewPart returns part number (from 1) of count, which holds the prompt's
// tokens from <= i < to and attends to the parts in the earlier slots.
func NewPart(number, count, from, to int, earlier []Slot) Part {
	return Part{number: number, count: count, from: from, to: to, earlier: earlier}
}

// WithPart returns the attempt as one that prefills a part into the memory
// reserved under its slot; the last part also generates the answer. As the
// reservation has already used the slot, the attempt may start until its
// deadline.
func (a Attempt) WithPart(part Part) Attempt {
	header := make(http.Header)
	if a.header != nil {
		header = a.header.Clone()
	}
	header.Set(headerPart, fmt.Sprintf("%d/%d", part.number, part.count))
	header.Set(headerRangeTokens, strconv.Itoa(part.from)+"-"+strconv.Itoa(part.to))
	var earlier []string
	for _, slot := range part.earlier {
		earlier = append(earlier, slot.id+";"+slot.address)
	}
	if len(earlier) > 0 {
		header.Set(headerParts, strings.Join(earlier, ","))
	}
	a.header = header
	a.slot.startBy = a.deadline
	return a
}

type reserveRequest struct {
	Tokens  int    `json:"tokens"`
	Expires string `json:"expires"`
}

// Reserve uses a slot to reserve memory: the server holds the slot's tokens
// under the slot's id until Cancel, the slot's deadline, or PartExpiry after
// the last renewal. The error is an *AttemptError.
func (c *Client) Reserve(ctx context.Context, slot Slot) error {
	body, err := json.Marshal(reserveRequest{Tokens: slot.cost.Tokens(), Expires: PartExpiry.String()})
	if err != nil {
		return &AttemptError{outcome: OutcomeNotStarted, err: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	attempt := NewAttempt(slot, http.MethodPost, "/v1/kv/reserve", header, body, slot.deadline)
	return c.SendPart(ctx, attempt.WithTimeouts(renewTimeout, renewTimeout))
}

// SendPart sends an attempt whose response confirms that the server holds the
// memory. The error is an *AttemptError.
func (c *Client) SendPart(ctx context.Context, attempt Attempt) error {
	response, err := c.Send(ctx, attempt)
	if err != nil {
		return err
	}
	defer response.Close()
	if !response.MatchesAttempt() {
		return &AttemptError{outcome: OutcomeFailed, err: response.RecordFault(FaultCrossed)}
	}
	if _, err := response.Body(maxPartResponseBytes); err != nil {
		return &AttemptError{outcome: OutcomeFailed, err: err}
	}
	return nil
}

type renewRequest struct {
	Handle  string `json:"handle"`
	Expires string `json:"expires"`
}

// Renew extends the slot's reservation by another PartExpiry and reports
// whether the server confirmed it; gone means that the server no longer holds
// it.
func (c *Client) Renew(ctx context.Context, slot Slot) (renewed, gone bool) {
	c.setup()
	body, err := json.Marshal(renewRequest{Handle: slot.id, Expires: PartExpiry.String()})
	if err != nil {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+slot.address+"/v1/kv/renew", bytes.NewReader(body))
	if err != nil {
		return false, false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.pooled.RoundTrip(request)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	io.CopyN(io.Discard, response.Body, firstBufferBytes)
	return response.StatusCode == http.StatusOK, response.StatusCode == http.StatusNotFound
}
