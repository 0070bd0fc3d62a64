package caller

import (
	"encoding/json"
	"io"
	"net/http"

	"greengagedock.example/backend"
)

// delivery determines how a response reaches the caller.
type delivery interface{ delivery() }

// streamDelivery passes the events of a streamed response on as they arrive.
// flushed is true if nothing was written since the last flush.
type streamDelivery struct {
	request    *request
	started    bool
	flushed    bool
	buffer     []byte
	finalEvent []byte
}

// completionDelivery buffers a completion that is not streamed.
type completionDelivery struct {
	request *request
	body    []byte
}

// plainDelivery buffers the response of a plain service.
type plainDelivery struct {
	request  *request
	response *plainResponse
}

func (*streamDelivery) delivery()     {}
func (*completionDelivery) delivery() {}
func (*plainDelivery) delivery()      {}

// deliver passes the response on. The error is a *Failure if the caller has
// left.
func (e *execution) deliver(response *backend.Response) error {
	switch d := e.delivery.(type) {
	case *streamDelivery:
		return d.copyEvents(response.Stream(d.flush))
	case *completionDelivery:
		return d.read(response)
	case *plainDelivery:
		return d.read(response)
	default:
		return nil
	}
}

// writeBuffered writes the buffered response, if any, after its slot has been
// released. It returns why the caller did not receive it.
func (e *execution) writeBuffered() *Failure {
	if d, ok := e.delivery.(*completionDelivery); ok {
		return d.request.writeResponse(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, d.body)
	}
	return nil
}

// sendFailure writes the failure to the caller, as an error event if a stream
// has begun. It does nothing if the response was written already or the caller
// has left.
func (e *execution) sendFailure(f *Failure) {
	if f == nil || f.status == statusClientClosed {
		return
	}
	q := e.request
	q.extendWriteDeadline()
	if d, ok := e.delivery.(*streamDelivery); ok && d.started {
		q.w.Write(f.event(q.id))
		q.control.Flush()
		return
	}
	f.write(q.w, q.id)
}

var doneEvent = []byte("data: [DONE]\n\n")

// copyEvents writes each event with the request's ID. The final event is held
// back until the stream is known to be whole.
func (d *streamDelivery) copyEvents(stream *backend.Stream) error {
	d.finalEvent = d.finalEvent[:0]
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
			d.finalEvent = event.AppendWithID(d.finalEvent, d.request.id)
			continue
		}
		d.buffer = event.AppendWithID(d.buffer[:0], d.request.id)
		if err := d.write(d.buffer); err != nil {
			return err
		}
		d.request.tokens = stream.Tokens()
	}
}

func (d *streamDelivery) finish(stream *backend.Stream) error {
	if err := d.write(d.finalEvent); err != nil {
		return err
	}
	if err := d.write(doneEvent); err != nil {
		return err
	}
	d.request.tokens = stream.Tokens()
	return d.flush()
}

// write writes text, extending the caller's write deadline on the first write
// after a flush.
func (d *streamDelivery) write(text []byte) error {
	if !d.started {
		d.start()
	}
	if d.flushed {
		d.request.extendWriteDeadline()
		d.flushed = false
	}
	if _, err := d.request.w.Write(text); err != nil {
		return d.request.classifyWriteError(err)
	}
	return nil
}

// flush flushes buffered output to the caller.
func (d *streamDelivery) flush() error {
	if d.flushed {
		return nil
	}
	d.flushed = true
	if err := d.request.control.Flush(); err != nil {
		return d.request.classifyWriteError(err)
	}
	return nil
}

func (d *streamDelivery) start() {
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

// read buffers the model's whole response, with its ID replaced by the
// request's.
func (d *completionDelivery) read(response *backend.Response) error {
	body, err := response.Body(d.request.server.limits.MaxAnswer())
	if err != nil {
		return err
	}
	var fields completionBody
	if err := json.Unmarshal(body, &fields); err != nil {
		return response.RecordFault(backend.FaultMalformed)
	}
	replaced, err := response.ReplaceID(body, d.request.id)
	if err != nil {
		return err
	}
	d.request.tokens = fields.Usage.CompletionTokens
	d.body = replaced
	return nil
}

// plainResponse is the whole response of a plain service.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
}

func (d *plainDelivery) read(response *backend.Response) error {
	body, err := response.Body(d.request.server.limits.MaxAnswer())
	if err != nil {
		return err
	}
	d.response = &plainResponse{status: response.Status(), header: filterHeader(response.Header()), body: body}
	return nil
}
