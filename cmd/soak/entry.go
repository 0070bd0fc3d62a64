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

// restartDelay is the time between an entry's end and its next start.
const restartDelay = 150 * time.Millisecond

// entry is one instance whose process is started again whenever it ends.
type entry struct {
	name             string
	settings         string
	daemon           string
	log              *os.File
	callerProxy      *proxy
	callerAddress    string
	directoryAddress string

	mu      sync.Mutex
	process *exec.Cmd
	starts  int
	stopped bool
	// disturbances holds when the entry was disturbances, and until when.
	disturbances intervals
	exited       chan struct{}
}

// interval is a stretch of time.
type interval struct {
	from, to time.Time
}

// intervals are stretches of time in which something was disturbed.
type intervals []interval

// clear reports whether none of them meets the time from one moment to another.
func (s intervals) clear(from, to time.Time) bool {
	return !slices.ContainsFunc(s, func(each interval) bool { return from.Before(each.to) && each.from.Before(to) })
}

// startEntry writes the settings of an entry and starts it.
func startEntry(dir, daemon string, number, port int, store string, seeds []string) (*entry, error) {
	name := fmt.Sprintf("entry-%d", number)
	e := &entry{
		name: name, daemon: daemon, settings: filepath.Join(dir, name+".json"),
		callerAddress: fmt.Sprintf("127.0.0.1:%d", port), directoryAddress: fmt.Sprintf("127.0.0.1:%d", port+3), exited: make(chan struct{}),
	}
	if err := platformtest.WriteSettings(e.settings, name, port, store, seeds); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	e.log = log
	if e.callerProxy, err = newProxy(e.callerAddress); err != nil {
		return nil, err
	}
	go e.run()
	return e, nil
}

// run starts the process again and again until stop.
func (e *entry) run() {
	defer close(e.exited)
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
		time.Sleep(restartDelay)
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

// markDisturbed notes that the entry is disturbed for a while from now on.
func (e *entry) markDisturbed(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.disturbances = append(e.disturbances, interval{now, now.Add(d)})
}

// undisturbed reports whether the entry was not disturbed between two times.
func (e *entry) undisturbed(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.disturbances.clear(from, to)
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
	<-e.exited
	e.callerProxy.close()
	e.log.Close()
}
