package caller

import (
	"io"
	"net/http"
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

// deliver passes the response of an attempt on, which a backup may have opened
// already. The error is a *Failure if the caller has left.
func (e *execution) deliver(a *attempt) error {
	e.begin(a)
	if !a.opened {
		if err := a.open(); err != nil {
			return err
		}
	}
	if d, ok := e.delivery.(*streamDelivery); ok {
		return d.copyEvents(a)
	}
	if !e.progressed(a.tokens) {
		return errSuperseded
	}
	switch d := e.delivery.(type) {
	case *completionDelivery:
		d.body = a.body
	case *plainDelivery:
		d.response = &plainResponse{status: a.response.Status(), header: filterHeader(a.response.Header()), body: a.body}
	}
	return nil
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
func (d *streamDelivery) copyEvents(a *attempt) error {
	e := a.execution
	a.delivering = true
	d.finalEvent = d.finalEvent[:0]
	for event, err := a.firstEvent, a.firstErr; ; event, err = a.stream.Next() {
		if err != nil && err != io.EOF {
			d.flush()
			return err
		}
		tokens := a.stream.Tokens()
		if event.Final() {
			tokens = d.request.tokens // a backup must send the final event too
		}
		if !e.progressed(tokens) {
			return errSuperseded
		}
		switch {
		case err == io.EOF:
			return d.finish()
		case event.Final():
			d.finalEvent = event.AppendWithID(d.finalEvent, d.request.id)
		default:
			d.buffer = event.AppendWithID(d.buffer[:0], d.request.id)
			if err := d.write(d.buffer); err != nil {
				return err
			}
		}
	}
}

func (d *streamDelivery) finish() error {
	if err := d.write(d.finalEvent); err != nil {
		return err
	}
	if err := d.write(doneEvent); err != nil {
		return err
	}
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

// plainResponse is the whole response of a plain service.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
}
