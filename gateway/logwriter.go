package gateway

import (
	"io"
	"sync/atomic"
)

// logBufferLines is the maximum number of buffered log lines, and logBufferBytes that of their
// bytes: a line may hold a part of what a client sent.
const (
	logBufferLines = 2048
	logBufferBytes = 2 << 20
)

// AsyncLogWriter writes log lines in a goroutine of its own. It drops lines when
// its buffer is full, so that a slow log reader never blocks the entry.
type AsyncLogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// buffered is the number of bytes in lines.
	buffered atomic.Int64
	done     chan struct{}
}

// NewAsyncLogWriter returns a writer to w that runs until Close.
func NewAsyncLogWriter(w io.Writer) *AsyncLogWriter {
	o := &AsyncLogWriter{lines: make(chan []byte, logBufferLines), done: make(chan struct{})}
	go o.run(w)
	return o
}

// Write buffers one log line. It never blocks and never fails.
func (o *AsyncLogWriter) Write(line []byte) (int, error) {
	if o.buffered.Add(int64(len(line))) <= logBufferBytes {
		select {
		case o.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	o.buffered.Add(-int64(len(line)))
	o.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines dropped and of writes that failed.
func (o *AsyncLogWriter) Dropped() int64 { return o.dropped.Load() }

// Close writes the buffered lines and stops the writer. Write must not be called
// after Close.
func (o *AsyncLogWriter) Close() {
	close(o.lines)
	<-o.done
}

// run writes lines until Close, batching those that are buffered.
func (o *AsyncLogWriter) run(w io.Writer) {
	defer close(o.done)
	var batch []byte
	for line := range o.lines {
		batch = append(batch[:0], line...)
		for len(batch) < 32<<10 && len(o.lines) > 0 {
			batch = append(batch, <-o.lines...)
		}
		o.buffered.Add(-int64(len(batch)))
		if _, err := w.Write(batch); err != nil {
			o.dropped.Add(1)
		}
	}
}
