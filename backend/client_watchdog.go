package backend

import (
	"sync"
	"time"
)

// watchdog calls a function while a server sends nothing.
type watchdog struct {
	silent func()

	mu     sync.Mutex
	timer  *time.Timer
	repeat time.Duration
	active bool
}

// newWatchdog returns a stopped watchdog that calls silent.
func newWatchdog(silent func()) *watchdog {
	w := &watchdog{silent: silent}
	w.timer = time.AfterFunc(time.Hour, w.fire)
	w.timer.Stop()
	return w
}

// start has silent called after the timeout, 0 for never, and then after each
// repeat of it, until stop.
func (w *watchdog) start(timeout, repeat time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active, w.repeat = timeout > 0, repeat
	if w.active {
		w.timer.Reset(timeout)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = false
	w.timer.Stop()
}

func (w *watchdog) fire() {
	w.mu.Lock()
	active := w.active
	if active && w.repeat > 0 {
		w.timer.Reset(w.repeat)
	}
	w.mu.Unlock()
	if active {
		w.silent()
	}
}
