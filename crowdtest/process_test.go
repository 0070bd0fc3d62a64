package crowdtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

const (
	// awaitTimeout bounds the waiting for what happens at once on an idle machine.
	awaitTimeout = 20 * time.Second
	pollInterval = 5 * time.Millisecond
	// A process that uses no more than settledTicks of processor time in settleInterval has done
	// what there was to do.
	settleInterval = 300 * time.Millisecond
	settledTicks   = 2
	// addressSpace bounds what a process may take of the machine that runs the test.
	addressSpace = 4 << 30
	// tailLines is the number of log lines that a failed test shows.
	tailLines = 12
)

// binaries is the directory that holds the program under test.
var binaries string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "crowdtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binaries = directory
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "../cmd/greengagedockd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// process is a running entry, observed all the while.
type process struct {
	c       *qt.C
	command *exec.Cmd
	ended   chan struct{}
	stop    chan struct{}
	polling sync.WaitGroup
	// descriptors is the largest number of open descriptors that was seen.
	descriptors atomic.Int64

	mu   sync.Mutex
	tail []string
}

// startProcess starts the daemon with arguments and further variables, and observes it until
// the test ends.
func startProcess(c *qt.C, environment []string, arguments ...string) *process {
	p := &process{c: c, ended: make(chan struct{}), stop: make(chan struct{})}
	p.command = exec.Command(filepath.Join(binaries, "greengagedockd"), arguments...)
	p.command.Env = append(os.Environ(), environment...)
	out, in, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	p.command.Stdout, p.command.Stderr = in, in
	c.Assert(p.command.Start(), qt.IsNil)
	in.Close()
	c.Assert(unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_AS, &unix.Rlimit{Cur: addressSpace, Max: addressSpace}, nil), qt.IsNil)
	go p.read(out)
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	p.polling.Go(p.observe)
	c.Cleanup(func() {
		close(p.stop)
		p.polling.Wait()
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

// read keeps the last lines of the log.
func (p *process) read(log io.ReadCloser) {
	defer log.Close()
	reader := bufio.NewReader(log)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		p.mu.Lock()
		p.tail = append(p.tail, line[:min(len(line), 200)])
		p.tail = p.tail[max(0, len(p.tail)-tailLines):]
		p.mu.Unlock()
	}
}

// observe counts the descriptors.
func (p *process) observe() {
	for {
		select {
		case <-p.stop:
			return
		case <-p.ended:
			return
		case <-time.After(pollInterval):
			p.descriptors.Store(max(p.descriptors.Load(), int64(p.countDescriptors())))
		}
	}
}

func (p *process) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), name)
}

func (p *process) countDescriptors() int {
	directory, err := os.Open(p.path("fd"))
	if err != nil {
		return 0
	}
	defer directory.Close()
	names, _ := directory.Readdirnames(-1)
	return len(names)
}

// peakMemory returns the largest resident memory so far in bytes.
func (p *process) peakMemory() int64 {
	text, err := os.ReadFile(p.path("status"))
	p.c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			p.c.Assert(err, qt.IsNil)
			return kilobytes << 10
		}
	}
	p.c.Fatal("no peak memory")
	return 0
}

// ticks returns the processor time used so far, in ticks of the system's clock.
func (p *process) ticks() int64 {
	text, err := os.ReadFile(p.path("stat"))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return user + system
}

// settle waits until the process has handled what it has received: it uses hardly any processor
// time any more.
func (p *process) settle() {
	end := time.Now().Add(awaitTimeout)
	for last := p.ticks(); time.Now().Before(end) && p.lives(); {
		time.Sleep(settleInterval)
		now := p.ticks()
		if now-last <= settledTicks {
			return
		}
		last = now
	}
}

func (p *process) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// bounds are the memory in bytes and the descriptors that a process may have.
type bounds struct {
	memory      int64
	descriptors int
}

// check checks that the process lives and has stayed within the bounds.
func (p *process) check(b bounds) {
	p.mu.Lock()
	tail := strings.Join(p.tail, "")
	p.mu.Unlock()
	if !p.lives() {
		p.c.Fatalf("the process has ended: %v\n%s", p.command.ProcessState, tail)
	}
	memory, descriptors := p.peakMemory(), int(p.descriptors.Load())
	p.c.Logf("peak memory %d MB of %d MB, descriptors %d of %d", memory>>20, b.memory>>20, descriptors, b.descriptors)
	p.c.Check(memory <= b.memory, qt.IsTrue, qt.Commentf("peak memory %d MB, the bound is %d MB", memory>>20, b.memory>>20))
	p.c.Check(descriptors <= b.descriptors, qt.IsTrue, qt.Commentf("%d descriptors, the bound is %d", descriptors, b.descriptors))
}

// await waits until a condition holds.
func await(c *qt.C, what string, holds func() error) {
	c.Helper()
	end := time.Now().Add(awaitTimeout)
	for {
		err := holds()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			c.Fatalf("%s: %v", what, err)
		}
		time.Sleep(20 * pollInterval)
	}
}

// play has a crowd come to a listener of a process and leave, and checks all the while that
// ordinary requests are answered: by served, which answers one, and beside a crowd that holds
// no servers too.
func (p *process) play(crowd crowd, address string, b bounds, served func() error) {
	c := p.c
	own := ownDescriptors()
	guests := crowd.join(address)
	p.settle()
	if !crowd.servers {
		await(c, "an ordinary request beside the crowd", served)
	}
	guests.leave()
	await(c, "an ordinary request after the crowd", served)
	p.settle()
	p.check(b)
	await(c, "own descriptors", func() error {
		if now := ownDescriptors(); now > own+50 {
			return fmt.Errorf("%d descriptors of the test are open", now)
		}
		return nil
	})
}

// loopback returns a loopback address with a port.
func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
