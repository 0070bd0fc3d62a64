package timer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLoopRunsInOrder(t *testing.T) {
	c := qt.New(t)
	var l Loop
	var ran []string
	note := func(what string) func() { return func() { ran = append(ran, what) } }
	l.After(2*time.Second, note("late"))
	l.After(time.Second, func() {
		note("first")()
		l.After(0, note("nested"))
	})
	l.After(time.Second, note("second"))
	l.Run(time.Second)
	c.Assert(ran, qt.DeepEquals, []string{"first", "second", "nested"})
	l.Run(1500 * time.Millisecond)
	c.Assert(l.Now(), qt.Equals, 1500*time.Millisecond)
	l.Run(time.Minute)
	c.Assert(ran[len(ran)-1], qt.Equals, "late")
}
