package gateway

import (
	"bytes"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// stuckWriter writes nothing until it is released.
type stuckWriter struct {
	once     sync.Once
	writing  chan struct{}
	released chan struct{}
	written  int
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.writing) })
	<-w.released
	w.written += len(p)
	return len(p), nil
}

// Guards against memory that clients take through the log: long lines that wait for a slow reader
// are bounded by their bytes, and what is dropped is counted.
func TestBufferedLogIsBounded(t *testing.T) {
	c := qt.New(t)
	to := &stuckWriter{writing: make(chan struct{}), released: make(chan struct{})}
	logs := NewAsyncLogWriter(to)
	line := bytes.Repeat([]byte("x"), 16<<10)
	_, err := logs.Write(line)
	c.Assert(err, qt.IsNil)
	<-to.writing
	const lines = 1000
	for range lines {
		_, err := logs.Write(line)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(logs.buffered.Load() <= logBufferBytes, qt.IsTrue)
	kept := logBufferBytes / len(line)
	c.Assert(logs.Dropped(), qt.Equals, int64(lines-kept))
	close(to.released)
	logs.Close()
	c.Assert(to.written, qt.Equals, (kept+1)*len(line))
	c.Assert(logs.buffered.Load(), qt.Equals, int64(0))
}
