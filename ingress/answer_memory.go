package ingress

import (
	"container/list"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errUnread is the error of writing a response that was given up since its caller reads nothing.
var errUnread = eris.New("ingress: caller does not read its response")

const (
	// firstAnswerBytes is the size of the first buffer for a response, which then doubles, and
	// freeAnswerBytes the size up to which its memory is not reserved.
	firstAnswerBytes = 2 << 10
	freeAnswerBytes  = 8 << 10
	// writeChunkBytes is what a caller must read within writeStallTimeout.
	writeChunkBytes   = 32 << 10
	writeStallTimeout = 5 * time.Second
	// answerMemoryWait is how long a response waits for memory before it is forwarded without
	// having been read whole, and how long a caller may read nothing before its response is
	// given up for one that waits.
	answerMemoryWait = time.Second
)

// answerMemory bounds the memory of all responses that are read whole before they are forwarded.
// Its zero value has no bound.
type answerMemory struct {
	limit int64

	mu   sync.Mutex
	used int64
	// writing holds the answers that are being forwarded, in the order in which they were begun.
	writing list.List
	// freed is closed when memory is given back.
	freed chan struct{}
}

// answer is the memory of the responses of one request.
type answer struct {
	memory   *answerMemory
	reserved int64
	place    *list.Element // while it is being forwarded
	// progressedAt is when the caller last read a chunk, and giveUp has the forwarding fail.
	progressedAt time.Time
	giveUp       func()
	givenUp      bool
}

// reserve reserves memory for a response. It reports false if there was none for
// answerMemoryWait.
func (a *answer) reserve(ctx context.Context, bytes int64) bool {
	m := a.memory
	end := time.NewTimer(answerMemoryWait)
	defer end.Stop()
	for {
		m.mu.Lock()
		if m.limit <= 0 || m.used+bytes <= m.limit || m.giveUpStalled() && m.used+bytes <= m.limit {
			m.used += bytes
			a.reserved += bytes
			m.mu.Unlock()
			return true
		}
		if m.freed == nil {
			m.freed = make(chan struct{})
		}
		freed := m.freed
		m.mu.Unlock()
		select {
		case <-freed:
		case <-end.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// giveUpStalled gives up the responses whose callers have read nothing for answerMemoryWait, and
// reports whether there were any; m.mu must be held.
func (m *answerMemory) giveUpStalled() bool {
	now := time.Now()
	found := false
	for e := m.writing.Front(); e != nil; {
		stalled := e.Value.(*answer)
		e = e.Next()
		if now.Sub(stalled.progressedAt) >= answerMemoryWait {
			stalled.givenUp = true
			stalled.giveUp()
			stalled.releaseLocked()
			found = true
		}
	}
	return found
}

// release gives the memory back.
func (a *answer) release() {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.releaseLocked()
}

// releaseLocked is release with the mutex of the memory held.
func (a *answer) releaseLocked() {
	m := a.memory
	if a.place != nil {
		m.writing.Remove(a.place)
		a.place = nil
	}
	if a.reserved == 0 {
		return
	}
	m.used -= a.reserved
	a.reserved = 0
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// progress records that the caller has read what was written so far. It reports false if the
// response was given up.
func (a *answer) progress(giveUp func()) bool {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.givenUp {
		return false
	}
	a.progressedAt = time.Now()
	if a.place == nil && a.reserved > 0 {
		a.giveUp = giveUp
		a.place = m.writing.PushBack(a)
	}
	return true
}

// readWhole reads a response up to maxBufferedBytes and as far as there is memory. more is whether
// there may be more of it.
func (a *answer) readWhole(ctx context.Context, response io.Reader) (body []byte, more bool, err error) {
	body = make([]byte, 0, firstAnswerBytes)
	reserved := 0
	for {
		if len(body) == cap(body) {
			next := min(2*cap(body), maxBufferedBytes+1)
			if next == cap(body) || next > freeAnswerBytes && !a.reserve(ctx, int64(next-reserved)) {
				return body, true, nil
			}
			if next > freeAnswerBytes {
				reserved = next
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, false, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// answerWriter writes a response to a caller, which must go on reading it.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	answer  *answer
}

func newAnswerWriter(w http.ResponseWriter, a *answer) answerWriter {
	return answerWriter{w: w, control: http.NewResponseController(w), answer: a}
}

// Write writes p in chunks.
func (w answerWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if !w.answer.progress(func() { _ = w.control.SetWriteDeadline(time.Unix(1, 0)) }) {
			return written, errUnread
		}
		_ = w.control.SetWriteDeadline(time.Now().Add(writeStallTimeout)) // if it fails, so does writing
		n, err := w.w.Write(p[written:min(len(p), written+writeChunkBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
