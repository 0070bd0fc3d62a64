package backend

import (
	"context"
	"time"
)

// watchdog cancels an attempt whose server sends nothing within a timeout.
type watchdog struct {
	timer *time.Timer
}

// newWatchdog returns a watchdog started with the timeout; 0 stands for none.
func newWatchdog(timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{timer: time.AfterFunc(time.Hour, func() { cancel(ErrStalled) })}
	w.start(timeout)
	return w
}

func (w *watchdog) start(timeout time.Duration) {
	if timeout > 0 {
		w.timer.Reset(timeout)
		return
	}
	w.timer.Stop()
}

func (w *watchdog) stop() { w.timer.Stop() }
