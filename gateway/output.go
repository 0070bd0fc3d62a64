package gateway

import (
	"io"
	"sync/atomic"
)

// outputLines bounds the log lines that wait to be written.
const outputLines = 2048

// AsyncLogWriter writes log lines beside those who log, and drops what a slow reader
// of them would hold up.
type AsyncLogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// NewAsyncLogWriter returns an output that writes to w until Close.
func NewAsyncLogWriter(w io.Writer) *AsyncLogWriter {
	o := &AsyncLogWriter{lines: make(chan []byte, outputLines), ended: make(chan struct{})}
	go o.run(w)
	return o
}

// Write takes one log line; it never waits and never fails.
func (o *AsyncLogWriter) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (o *AsyncLogWriter) Dropped() int64 { return o.dropped.Load() }

// Close writes the lines that wait; nothing may be logged after it.
func (o *AsyncLogWriter) Close() {
	close(o.lines)
	<-o.ended
}

// run writes the lines, several at once when they wait.
func (o *AsyncLogWriter) run(w io.Writer) {
	defer close(o.ended)
	var batch []byte
	for line := range o.lines {
		batch = append(batch[:0], line...)
		for len(batch) < 32<<10 && len(o.lines) > 0 {
			batch = append(batch, <-o.lines...)
		}
		if _, err := w.Write(batch); err != nil {
			o.dropped.Add(1)
		}
	}
}
