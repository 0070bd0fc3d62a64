package gateway

import (
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
)

// errPanic is wrapped by the error for what ended with a panic: one malformed message or
// item must not end the process and with it every open request.
var errPanic = eris.New("gateway: panicked")

// runTask runs a task of the control loop and reports false if it panicked.
func (c *control) runTask(task func(now time.Time)) (returned bool) {
	defer c.contain("task of the control loop")
	task(c.timers.Now())
	return true
}

// contain logs a panic of the calling goroutine and ends it. It must be deferred.
func (c *control) contain(what string) {
	cause := recover()
	if cause == nil {
		return
	}
	c.panics.Add(1)
	c.log.Error("panic contained", "in", what, "panic", cause, "stack", string(debug.Stack()))
}

// containDecode returns a decoder that reports a panic as an error of the item.
func containDecode(decode Decoder) Decoder {
	return func(item Item) (published Published, err error) {
		defer func() {
			if cause := recover(); cause != nil {
				published, err = nil, eris.Wrapf(errPanic, "%v at %s", cause, debug.Stack())
			}
		}()
		return decode(item)
	}
}
