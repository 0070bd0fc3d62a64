package caller

import (
	"encoding/json"
	"io"
	"net/http"

	"greengagedock.example/backend"
)

// delivery is how an answer reaches the caller.
type delivery interface{ delivery() }

// relay passes the events of a streamed answer on as they come; it is fresh
// when nothing was written since the last flush.
type relay struct {
	request *request
	started bool
	fresh   bool
	event   []byte
	final   []byte
}

// wholeAnswer keeps a model's answer that is not streamed.
type wholeAnswer struct {
	request *request
	body    []byte
}

// plainDelivery keeps a plain service's answer.
type plainDelivery struct {
	request *request
	answer  *plainAnswer
}

func (*relay) delivery()         {}
func (*wholeAnswer) delivery()   {}
func (*plainDelivery) delivery() {}

// deliver passes the answer on; its error is a *Failure if the caller is gone.
func (e *execution) deliver(answer *backend.Response) error {
	switch d := e.delivery.(type) {
	case *relay:
		return d.pass(answer.Stream(d.flush))
	case *wholeAnswer:
		return d.keep(answer)
	case *plainDelivery:
		return d.keep(answer)
	default:
		return nil
	}
}

// handOver answers with what was kept, once its slot has been given back, and
// returns why the caller did not take it.
func (e *execution) handOver() *Failure {
	if d, ok := e.delivery.(*wholeAnswer); ok {
		return d.request.answer(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, d.body)
	}
	return nil
}

// end tells the caller of a failure; a whole answer has been passed on already.
func (e *execution) end(f *Failure) {
	if f == nil || f.status == statusClientClosed {
		return
	}
	q := e.request
	q.allowWrite()
	if d, ok := e.delivery.(*relay); ok && d.started {
		q.w.Write(f.event(q.id))
		q.control.Flush()
		return
	}
	f.write(q.w, q.id)
}

var doneEvent = []byte("data: [DONE]\n\n")

// pass writes each event under the request's id, and holds the event that
// ends the text back until the stream is whole.
func (d *relay) pass(stream *backend.Stream) error {
	d.final = d.final[:0]
	for {
		event, err := stream.Next()
		if err == io.EOF {
			return d.finish(stream)
		}
		if err != nil {
			d.flush()
			return err
		}
		if event.Final() {
			d.final = event.AppendWithID(d.final, d.request.id)
			continue
		}
		d.event = event.AppendWithID(d.event[:0], d.request.id)
		if err := d.write(d.event); err != nil {
			return err
		}
		d.request.tokens = stream.Tokens()
	}
}

func (d *relay) finish(stream *backend.Stream) error {
	if err := d.write(d.final); err != nil {
		return err
	}
	if err := d.write(doneEvent); err != nil {
		return err
	}
	d.request.tokens = stream.Tokens()
	return d.flush()
}

// write gives the caller its time anew for what follows each flush.
func (d *relay) write(text []byte) error {
	if !d.started {
		d.start()
	}
	if d.fresh {
		d.request.allowWrite()
		d.fresh = false
	}
	if _, err := d.request.w.Write(text); err != nil {
		return d.request.writeFailure(err)
	}
	return nil
}

// flush sends what was written on to the caller.
func (d *relay) flush() error {
	if d.fresh {
		return nil
	}
	d.fresh = true
	if err := d.request.control.Flush(); err != nil {
		return d.request.writeFailure(err)
	}
	return nil
}

func (d *relay) start() {
	d.started = true
	header := d.request.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(headerRequestID, d.request.id)
	d.request.w.WriteHeader(http.StatusOK)
}

type completionBody struct {
	ID    string `json:"id"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// keep keeps the model's whole answer under the request's id.
func (d *wholeAnswer) keep(answer *backend.Response) error {
	body, err := answer.Body(d.request.server.limits.MaxAnswer())
	if err != nil {
		return err
	}
	var fields completionBody
	if err := json.Unmarshal(body, &fields); err != nil {
		return answer.RecordFault(backend.FaultMalformed)
	}
	renamed, err := answer.ReplaceID(body, d.request.id)
	if err != nil {
		return err
	}
	d.request.tokens = fields.Usage.CompletionTokens
	d.body = renamed
	return nil
}

// plainAnswer is a whole answer of a plain service.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (d *plainDelivery) keep(answer *backend.Response) error {
	body, err := answer.Body(d.request.server.limits.MaxAnswer())
	if err != nil {
		return err
	}
	d.answer = &plainAnswer{status: answer.Status(), header: passedHeader(answer.Header()), body: body}
	return nil
}
