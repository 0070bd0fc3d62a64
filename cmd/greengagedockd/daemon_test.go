package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/operator"
	"greengagedock.example/porttest"
)

// awaitTimeout is how long a test waits for an expected state.
const awaitTimeout = 40 * time.Second

// daemon is one entry instance as a process of its own.
type daemon struct {
	c       *qt.C
	id      string
	domain  string
	callers string
	peers   string
	admin   string
	process *exec.Cmd
	ended   chan struct{}
	started chan struct{}

	mu       sync.Mutex
	logLines []string
}

// startDaemon starts a daemon and waits until it listens. The addresses are those
// for callers, peers and operators; empty ones become free loopback ports.
func startDaemon(c *qt.C, id, domain, platform string, addresses [3]string, peers []string) *daemon {
	for i := range addresses {
		if addresses[i] == "" {
			address, err := porttest.Address() // which the next incarnation listens on again
			c.Assert(err, qt.IsNil)
			addresses[i] = address
		}
	}
	path := filepath.Join(c.TempDir(), id+".json")
	text := fmt.Sprintf(`{
		"id": %q, "region": %q, "failure_domain": %q,
		"caller_address": %q, "peer_address": %q, "admin_address": %q,
		"platform_address": %q, "shutdown_deadline": "60s", "peers": [%s],
	}`, id, region, domain, addresses[0], addresses[1], addresses[2], platform, quoted(peers))
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	d := &daemon{
		c: c, id: id, domain: domain, ended: make(chan struct{}), started: make(chan struct{}),
		process: exec.Command(program("greengagedockd"), "--settings", path),
	}
	log, err := d.process.StderrPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(d.process.Start(), qt.IsNil)
	go d.read(log)
	c.Cleanup(d.kill)
	select {
	case <-d.started:
	case <-time.After(awaitTimeout):
		c.Fatalf("%s did not start: %v", id, d.tail())
	}
	return d
}

func quoted(texts []string) string {
	var out []string
	for _, text := range texts {
		out = append(out, fmt.Sprintf("%q", text))
	}
	return strings.Join(out, ", ")
}

// read reads the daemon's log until it exits.
func (d *daemon) read(log io.Reader) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		d.mu.Lock()
		d.logLines = append(d.logLines, line)
		d.mu.Unlock()
		if strings.Contains(line, "entry started") {
			d.callers, d.peers, d.admin = valueIn(line, "callers"), valueIn(line, "peers"), valueIn(line, "admin")
			close(d.started)
		}
	}
	_ = d.process.Wait()
	close(d.ended)
}

// valueIn returns the value of a key in a log line.
func valueIn(line, key string) string {
	_, rest, _ := strings.Cut(line, key+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// logged returns the daemon's log lines that contain a text.
func (d *daemon) logged(text string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []string
	for _, line := range d.logLines {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// tail returns the daemon's last log lines.
func (d *daemon) tail() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.logLines[max(0, len(d.logLines)-20):], "\n")
}

// send sends the daemon a signal.
func (d *daemon) send(signal syscall.Signal) {
	d.c.Assert(d.process.Process.Signal(signal), qt.IsNil, qt.Commentf("%s", d.tail()))
}

// kill kills the daemon if it still runs and waits until it has exited.
func (d *daemon) kill() {
	if err := d.process.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		d.c.Log(err)
	}
	<-d.ended
}

// exit waits until the daemon has exited and returns its exit status.
func (d *daemon) exit() int {
	select {
	case <-d.ended:
	case <-time.After(awaitTimeout):
		d.c.Fatalf("%s did not exit: %s", d.id, d.tail())
	}
	return d.process.ProcessState.ExitCode()
}

// ready reports whether the daemon is ready and has full leases on all servers
// that it keeps, none of which is suspended.
func (d *daemon) ready() bool {
	client := operator.NewClient(d.admin)
	reason, err := client.Ready(context.Background())
	if err != nil || reason != "" {
		return false
	}
	status, err := client.Status(context.Background())
	if err != nil || status.ListVersion() == 0 {
		return false
	}
	servers, err := client.BackendServers(context.Background())
	for _, s := range servers {
		if s.KeeperLease() != "full" || s.SuspendedReason() != "" {
			return false
		}
	}
	return err == nil
}
