package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/quarantine"
)

// attempt is one send of a request to a server, from its slot to the end of its
// response.
type attempt struct {
	execution *execution
	slot      backend.Slot
	outgoing  backend.Attempt
	ctx       context.Context
	cancel    context.CancelFunc

	response *backend.Response
	// opened is whether the response can be delivered: a stream then has its
	// first event, or the error of reading it, and any other response its body.
	opened     bool
	delivering bool
	stream     *backend.Stream
	firstEvent backend.Event
	firstErr   error
	body       []byte
	// reserved is the memory reserved for the body while it is read.
	reserved int64
	tokens   int
	// startedAt is when the first event of a stream arrived, zero before.
	startedAt time.Time
}

// newAttempt returns an attempt to send under the slot.
func (e *execution) newAttempt(ctx context.Context, slot backend.Slot, outgoing backend.Attempt) *attempt {
	a := &attempt{execution: e, slot: slot}
	a.outgoing = outgoing.WithMemory(a.reserve)
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// open sends the attempt and reads its response up to the first event of a
// stream, or to the end of any other one. The caller must close the attempt.
func (a *attempt) open() error {
	e := a.execution
	response, err := e.request.server.client.Send(a.ctx, a.outgoing)
	if err != nil {
		return err
	}
	a.response = response
	if !response.MatchesAttempt() {
		return response.RecordFault(backend.FaultCrossed)
	}
	switch e.delivery.(type) {
	case *streamDelivery:
		err = a.openStream()
	case *completionDelivery:
		err = a.readCompletion()
	case *plainDelivery:
		a.body, err = response.Body(e.request.server.limits.MaxAnswer())
	}
	a.opened = err == nil
	return err
}

func (a *attempt) openStream() error {
	a.stream = a.response.Stream(a.flush)
	a.firstEvent, a.firstErr = a.stream.Next()
	if a.firstErr == nil {
		a.startedAt = a.execution.request.server.timers.Now()
	}
	if a.firstErr == io.EOF {
		return nil
	}
	return a.firstErr
}

// flush flushes what was delivered of the attempt's stream.
func (a *attempt) flush() error {
	if d, ok := a.execution.delivery.(*streamDelivery); ok && a.delivering {
		return d.flush()
	}
	return nil
}

type completionBody struct {
	ID    string `json:"id"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// readCompletion reads the model's whole response and replaces its ID by the
// request's.
func (a *attempt) readCompletion() error {
	q := a.execution.request
	body, err := a.response.Body(q.server.limits.MaxAnswer())
	if err != nil {
		return err
	}
	var fields completionBody
	if err := json.Unmarshal(body, &fields); err != nil {
		return a.response.RecordFault(backend.FaultMalformed)
	}
	a.tokens = fields.Usage.CompletionTokens
	a.body, err = a.response.ReplaceID(body, q.id)
	return err
}

// reportSurvival reports, before the slot is released, whether the server survived the
// attempt, which ended with err, and for how long it wants no more requests.
func (a *attempt) reportSurvival(err error) {
	server := a.execution.request.server
	server.reportRefusal(a.slot, err)
	settled := !a.startedAt.IsZero() && server.timers.Now().Sub(a.startedAt) >= quarantine.SettleTime
	switch {
	case err == nil || settled:
		server.slots.Settled(a.slot)
	case a.ctx.Err() == nil && backend.Broken(err):
		server.slots.Crashed(a.slot)
	}
}

// reportRefusal reports, before a slot is released, for how long its server wants no more
// requests if that is why the attempt ended with err.
func (s *Server) reportRefusal(slot backend.Slot, err error) {
	refusal, ok := errors.AsType[*backend.AttemptError](err)
	if ok && refusal.Outcome() == backend.OutcomeRefused && refusal.Status() == http.StatusTooManyRequests && refusal.RetryAfter() > 0 {
		s.slots.Refused(slot, refusal.RetryAfter())
	}
}

// reserve reserves memory for more of the response's body, until the attempt is closed.
func (a *attempt) reserve(bytes int64) bool {
	server := a.execution.request.server
	if !server.answerMemory.reserve(bytes, server.limits) {
		return false
	}
	a.reserved += bytes
	return true
}

// close ends the response.
func (a *attempt) close() {
	a.execution.request.server.answerMemory.release(a.reserved)
	a.reserved = 0
	if a.response != nil {
		a.response.Close()
	}
}
