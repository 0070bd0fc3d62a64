package timer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestVirtualClockRunsInOrder(t *testing.T) {
	c := qt.New(t)
	var clock VirtualClock
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	clock.AfterFunc(2*time.Second, record("late"))
	clock.AfterFunc(time.Second, func() {
		record("first")()
		clock.AfterFunc(0, record("nested"))
	})
	clock.AfterFunc(time.Second, record("second"))
	clock.RunUntil(time.Second)
	c.Assert(ran, qt.DeepEquals, []string{"first", "second", "nested"})
	clock.RunUntil(1500 * time.Millisecond)
	c.Assert(clock.Now(), qt.Equals, 1500*time.Millisecond)
	clock.RunUntil(time.Minute)
	c.Assert(ran[len(ran)-1], qt.Equals, "late")
}
