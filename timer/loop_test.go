package timer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLoopRunsInOrder(t *testing.T) {
	c := qt.New(t)
	var l VirtualClock
	var ran []string
	note := func(what string) func() { return func() { ran = append(ran, what) } }
	l.AfterFunc(2*time.Second, note("late"))
	l.AfterFunc(time.Second, func() {
		note("first")()
		l.AfterFunc(0, note("nested"))
	})
	l.AfterFunc(time.Second, note("second"))
	l.RunUntil(time.Second)
	c.Assert(ran, qt.DeepEquals, []string{"first", "second", "nested"})
	l.RunUntil(1500 * time.Millisecond)
	c.Assert(l.Now(), qt.Equals, 1500*time.Millisecond)
	l.RunUntil(time.Minute)
	c.Assert(ran[len(ran)-1], qt.Equals, "late")
}
