package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"greengagedock.example/platform"
	"greengagedock.example/platform/platformtest"
)

// restartPause is the time between an entry's end and its next start.
const restartPause = 150 * time.Millisecond

// entry is one instance whose process is started again whenever it ends.
type entry struct {
	name     string
	settings string
	daemon   string
	log      *os.File
	callers  *proxy
	direct   string
	dirs     string

	mu      sync.Mutex
	process *exec.Cmd
	starts  int
	stopped bool
	// disturbed holds when the entry was disturbed, and until when.
	disturbed spans
	ended     chan struct{}
}

// span is a stretch of time.
type span struct {
	from, to time.Time
}

// spans are stretches of time in which something was disturbed.
type spans []span

// calm reports whether none of them meets the time from one moment to another.
func (s spans) calm(from, to time.Time) bool {
	return !slices.ContainsFunc(s, func(each span) bool { return from.Before(each.to) && each.from.Before(to) })
}

// startEntry writes the settings of an entry and starts it.
func startEntry(dir, daemon string, number, port int, store string, seeds []string) (*entry, error) {
	name := fmt.Sprintf("entry-%d", number)
	e := &entry{
		name: name, daemon: daemon, settings: filepath.Join(dir, name+".json"),
		direct: fmt.Sprintf("127.0.0.1:%d", port), dirs: fmt.Sprintf("127.0.0.1:%d", port+3), ended: make(chan struct{}),
	}
	if err := platformtest.WriteSettings(e.settings, name, port, store, seeds); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	e.log = log
	if e.callers, err = newProxy(e.direct); err != nil {
		return nil, err
	}
	go e.run()
	return e, nil
}

// run starts the process again and again until stop.
func (e *entry) run() {
	defer close(e.ended)
	for {
		e.mu.Lock()
		if e.stopped {
			e.mu.Unlock()
			return
		}
		process := exec.Command(e.daemon, "gateway")
		process.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settings)
		process.Stdout, process.Stderr = e.log, e.log
		err := process.Start()
		e.process = process
		e.starts++
		e.mu.Unlock()
		if err != nil {
			fmt.Fprintln(e.log, "not started:", err)
		} else if err := process.Wait(); err != nil {
			fmt.Fprintln(e.log, "ended:", err)
		}
		time.Sleep(restartPause)
	}
}

// signal sends a signal to the running process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil && e.process.Process != nil {
		_ = e.process.Process.Signal(s) // it may just have ended
	}
}

// disturb notes that the entry is disturbed for a while from now on.
func (e *entry) disturb(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.disturbed = append(e.disturbed, span{now, now.Add(d)})
}

// calm reports whether the entry was not disturbed between two times.
func (e *entry) calm(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.disturbed.calm(from, to)
}

// incarnation returns the number of starts.
func (e *entry) incarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts
}

// stop ends the process for good.
func (e *entry) stop() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	<-e.ended
	e.callers.close()
	e.log.Close()
}
