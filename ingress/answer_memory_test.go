package ingress

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against responses that are not read and take the memory of all others: one whose caller
// has read nothing for a while is given up, and one that is still received is not.
func TestUnreadAnswerMakesRoom(t *testing.T) {
	c := qt.New(t)
	memory := &answerMemory{limit: 100 << 10}
	received, unread, next := &answer{memory: memory}, &answer{memory: memory}, &answer{memory: memory}
	c.Assert(received.reserve(t.Context(), 40<<10), qt.IsTrue)
	c.Assert(unread.reserve(t.Context(), 50<<10), qt.IsTrue)
	c.Assert(next.reserve(t.Context(), 20<<10), qt.IsFalse) // nobody is to read a part yet
	gaveUp := false
	c.Assert(unread.progress(func() { gaveUp = true }), qt.IsTrue)
	c.Assert(next.reserve(t.Context(), 20<<10), qt.IsFalse)
	time.Sleep(50 * time.Millisecond)
	c.Assert(next.reserve(t.Context(), 20<<10), qt.IsTrue)
	c.Assert(gaveUp, qt.IsTrue)
	c.Assert(unread.progress(nil), qt.IsFalse)
	unread.release()
	received.release()
	next.release()
	c.Assert(memory.used, qt.Equals, int64(0))
	c.Assert(memory.writing.Len(), qt.Equals, 0)
}

// Guards against a response that waits although memory is given back.
func TestReleasedAnswerMakesRoom(t *testing.T) {
	c := qt.New(t)
	memory := &answerMemory{limit: 100 << 10}
	first, next := &answer{memory: memory}, &answer{memory: memory}
	c.Assert(first.reserve(t.Context(), 90<<10), qt.IsTrue)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	c.Assert(next.reserve(ctx, 90<<10), qt.IsFalse)
	time.AfterFunc(20*time.Millisecond, first.release)
	c.Assert(next.reserve(t.Context(), 90<<10), qt.IsTrue)
}

// Guards against responses that change while they are read whole, or of which a part is lost
// when there is no memory for all of it.
func TestReadWhole(t *testing.T) {
	c := qt.New(t)
	for _, limit := range []int64{0, 64 << 10} {
		for _, size := range []int{0, 1, firstAnswerBytes, freeAnswerBytes, freeAnswerBytes + 1, 40_000, maxBufferedBytes, maxBufferedBytes + 1, 2 * maxBufferedBytes} {
			a := &answer{memory: &answerMemory{limit: limit}}
			text := strings.Repeat("0123456789", size/10+1)[:size]
			response := strings.NewReader(text)
			body, more, err := a.readWhole(t.Context(), iotest.HalfReader(response))
			c.Assert(err, qt.IsNil)
			rest, _ := io.ReadAll(response)
			c.Assert(string(body)+string(rest) == text, qt.IsTrue)
			c.Assert(more, qt.Equals, size > maxBufferedBytes || limit > 0 && int64(size) > limit, qt.Commentf("%d bytes of %d", size, limit))
			c.Assert(limit == 0 || a.reserved <= limit, qt.IsTrue)
		}
	}
	a := &answer{memory: &answerMemory{}}
	_, _, err := a.readWhole(t.Context(), io.MultiReader(strings.NewReader("a"), iotest.ErrReader(errors.New("broken"))))
	c.Assert(err, qt.ErrorMatches, "broken")
}
