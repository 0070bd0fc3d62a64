package ingress

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// longEvent returns an event of about a size.
func longEvent(size int) string { return "id: 1\ndata: " + strings.Repeat("x", size) + "\n\n" }

// Guards against memory that long events keep: it is reserved only until the next event is read,
// or the stream ends.
func TestMemoryOfLongEventsIsGivenBack(t *testing.T) {
	c := qt.New(t)
	memory := &answerMemory{limit: 300 << 10}
	text := longEvent(200_000) + longEvent(10) + longEvent(100_000)
	events := newEventReader(t.Context(), strings.NewReader(text), memory, func() { c.Error("given up") })
	for _, size := range []int{200_000, 10, 100_000} {
		next, err := events.next()
		c.Assert(err, qt.IsNil)
		c.Assert(string(next.raw), qt.Equals, longEvent(size))
		c.Assert(memory.used >= int64(size), qt.Equals, size > 10, qt.Commentf("%d for %d", memory.used, size))
	}
	_, err := events.next()
	c.Assert(err, qt.Equals, io.EOF)
	events.release()
	c.Assert(memory.used, qt.Equals, int64(0))
	c.Assert(memory.writing.Len(), qt.Equals, 0)
}

// Guards against events that do not end and take the memory of all others: one that has not ended
// for a while is given up, and one for which there is none fails.
func TestEventWithoutEndMakesRoom(t *testing.T) {
	c := qt.New(t)
	memory := &answerMemory{limit: 100 << 10}
	server, client := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	held := newEventReader(ctx, server, memory, cancel)
	go func() {
		_, _ = io.WriteString(client, longEvent(60_000)[:50_000])
		<-ctx.Done()
		client.CloseWithError(ctx.Err())
	}()
	heldErr := make(chan error, 1)
	go func() {
		_, err := held.next()
		heldErr <- err
	}()
	time.Sleep(50 * time.Millisecond) // is read up to where it stops
	gaveUp := false
	early := newEventReader(t.Context(), strings.NewReader(longEvent(60_000)), memory, func() { gaveUp = true })
	_, err := early.next()
	c.Assert(err, qt.ErrorIs, errEventMemory)
	c.Assert(gaveUp, qt.IsTrue)
	early.release()
	later := newEventReader(t.Context(), strings.NewReader(longEvent(60_000)), memory, func() { c.Error("given up") })
	_, err = later.next()
	c.Assert(err, qt.IsNil)
	c.Assert(<-heldErr, qt.ErrorIs, context.Canceled)
	later.release()
	held.release()
	c.Assert(memory.used, qt.Equals, int64(0))
}
