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

// restartDelay is the time between the end of an entry's process and its next start.
const restartDelay = 150 * time.Millisecond

// entry runs the process of one entry instance and restarts it whenever it ends.
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
	// ended is closed when the current process ends.
	ended   chan struct{}
	stopped bool
	// disturbances are the times in which faults may affect the entry's responses.
	disturbances intervals
	exited       chan struct{}
}

// interval is the time between two moments.
type interval struct {
	from, to time.Time
}

type intervals []interval

// disjointFrom reports whether none of the intervals overlaps the one between from and to.
func (s intervals) disjointFrom(from, to time.Time) bool {
	return !slices.ContainsFunc(s, func(i interval) bool { return from.Before(i.to) && i.from.Before(to) })
}

// startEntry writes the settings of an entry and starts it, with its ports from
// port on.
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
		log.Close()
		return nil, err
	}
	go e.run()
	return e, nil
}

// run starts the process, and restarts it whenever it ends, until stop.
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
		ended := make(chan struct{})
		e.ended = ended
		e.mu.Unlock()
		if err != nil {
			fmt.Fprintln(e.log, "start failed:", err)
		} else if err := process.Wait(); err != nil {
			fmt.Fprintln(e.log, "ended:", err)
		}
		close(ended)
		time.Sleep(restartDelay)
	}
}

// setDaemon has the process run another program from its next start on.
func (e *entry) setDaemon(daemon string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.daemon = daemon
}

// signal sends a signal to the running process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil && e.process.Process != nil {
		_ = e.process.Process.Signal(s) // fails if the process has just ended
	}
}

// processEnd returns a channel that is closed when the current process ends.
func (e *entry) processEnd() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// markDisturbed records that faults may affect the entry's responses for the
// given time from now on.
func (e *entry) markDisturbed(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.disturbances = append(e.disturbances, interval{now, now.Add(d)})
}

// undisturbed reports whether no fault affected the entry between two times.
func (e *entry) undisturbed(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.disturbances.disjointFrom(from, to)
}

// incarnation returns the number of times the process was started.
func (e *entry) incarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts
}

// stop kills the process and does not restart it.
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
