package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// serveCompletion handles a completion request, streamed or not.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	s, prompt, err := readStream(r, chat, time.Now())
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("X-Request-Id", s.id)
	part, err := readPart(r)
	if err == nil && part != nil {
		err = e.attachPart(r, s, part, prompt)
	}
	if err != nil {
		fail(w, err)
		return
	}
	if err := e.submit(s, r); err != nil {
		fail(w, err)
		return
	}
	defer e.disconnect(s)
	if part != nil && !part.last() {
		e.answerPart(w, r, s)
		return
	}
	if part != nil {
		go e.watchParts(r, s)
	}
	if s.streamed {
		e.streamAnswer(w, r.Context(), s)
		return
	}
	e.wholeAnswer(w, r.Context(), s)
}

// progress is the state of a stream as seen by the goroutine that writes its answer.
type progress struct {
	phase    phase
	produced int
	refusal  *refusal
}

// awaitProgress waits until the stream has changed and the engine is not frozen.
func (e *Engine) awaitProgress(ctx context.Context, s *stream) (progress, error) {
	select {
	case <-s.wake:
	case <-s.ended:
		return progress{}, errAborted
	case <-ctx.Done():
		return progress{}, ctx.Err()
	}
	if err := e.waitWhileFrozen(ctx); err != nil {
		return progress{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{phase: s.phase, produced: s.produced, refusal: s.refusal}, nil
}

// answerFaults are the faults that affect one response.
type answerFaults struct {
	misdelivered bool
	truncated    bool
	truncateAt   int
	delay        time.Duration
}

func (p *process) takeFaults() answerFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := answerFaults{misdelivered: p.misdelivered.consume(), truncated: p.truncated.consume(), truncateAt: p.truncateAt}
	if p.delayed.consume() {
		f.delay = p.delay
	}
	return f
}

// otherStream returns a stream whose events are to be misdelivered in the answer of s.
func (e *Engine) otherStream(s *stream) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.running {
		if other != s && other.sum != s.sum {
			return other
		}
	}
	return s.fabricateOther()
}

func (e *Engine) streamAnswer(w http.ResponseWriter, ctx context.Context, s *stream) {
	writer := http.NewResponseController(w)
	started, sent := false, s.resumeFrom
	var faults answerFaults
	var buf []byte
	for {
		current, err := e.awaitProgress(ctx, s)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if current.phase == phaseRefused {
			fail(w, current.refusal)
			return
		}
		if !started {
			started = true
			faults = e.takeFaults()
			if !sleep(ctx, faults.delay) {
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
		}
		buf = buf[:0]
		for ; sent < current.produced; sent++ {
			if faults.truncated && sent-s.resumeFrom >= faults.truncateAt {
				w.Write(buf)
				return
			}
			if faults.misdelivered {
				buf = e.otherStream(s).appendEvent(buf, sent)
			}
			buf = s.appendEvent(buf, sent)
		}
		if current.phase == phaseFinished && !faults.truncated {
			buf = s.appendEnd(buf)
		}
		if _, err := w.Write(buf); err != nil {
			return
		}
		if current.phase != phaseRunning || writer.Flush() != nil {
			return
		}
	}
}

func (e *Engine) wholeAnswer(w http.ResponseWriter, ctx context.Context, s *stream) {
	current := progress{phase: phaseWaiting}
	for current.phase == phaseWaiting || current.phase == phaseRunning {
		var err error
		if current, err = e.awaitProgress(ctx, s); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	switch current.phase {
	case phaseRefused:
		fail(w, current.refusal)
		return
	case phaseCancelled:
		panic(http.ErrAbortHandler)
	}
	faults := e.takeFaults()
	if !sleep(ctx, faults.delay) {
		return
	}
	if faults.misdelivered {
		s = e.otherStream(s)
		w.Header().Set("X-Request-Id", s.id)
	}
	writeAnswer(w, s.marshalAnswer(), faults)
}

// writeAnswer writes a body with its length; a truncated fault aborts the connection before its end.
func writeAnswer(w http.ResponseWriter, body []byte, faults answerFaults) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !faults.truncated {
		w.Write(body)
		return
	}
	w.Write(body[:min(faults.truncateAt, len(body)-1)])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
