package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// replaceTimeout is how long an entry may take from the signal to stop until the fleet is
	// whole again: it serves for 2.5 s more, ends what is open, and starts.
	replaceTimeout = 20 * time.Second
)

// replaceEntries replaces the entries one by one by another build, and back again, under load.
// Servers crash and state limits from the beginning on; in between an entry is restarted by a
// planned stop and the configuration changes. It returns a line for each step.
func (f *fleet) replaceEntries(ctx context.Context, daemon, other string) []string {
	var steps []string
	start := time.Now()
	step := func(format string, args ...any) {
		steps = append(steps, fmt.Sprintf("%.2fs ", time.Since(start).Seconds())+fmt.Sprintf(format, args...))
	}
	starts := make(map[*entry]int)
	replace := func(e *entry, daemon string) {
		step("%s replaced by %s", e.name, daemon)
		e.setDaemon(daemon)
		if !f.unready { // else reported, and nothing is gained by going on
			starts[e]++
			f.restart(ctx, e)
		}
	}
	for i, e := range f.entries {
		replace(e, other)
		if i == len(f.entries)/2 {
			f.publishConfig()
			step("version %d", f.newestVersion())
		}
	}
	replace(f.randomEntry(), other)
	f.publishConfig()
	step("version %d", f.newestVersion())
	for _, e := range f.entries {
		replace(e, daemon)
	}
	for _, e := range f.entries {
		if n := e.incarnation() - 1; n != starts[e] {
			f.checker.report("entry ended by itself: %s started %d times again, %d planned", e.name, n, starts[e])
		}
	}
	return steps
}

// restart stops an entry as planned, with a request open, and waits until it has started
// again and all entries know each other.
func (f *fleet) restart(ctx context.Context, e *entry) {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	ended := e.processEnd()
	f.stopWithOpenRequest(e)
	select {
	case <-ended:
	case <-ctx.Done():
		f.checker.report("planned stop without end: %s", e.name)
		e.signal(syscall.SIGKILL)
		return
	}
	time.Sleep(restartDelay)
	if err := f.waitReady(ctx); err != nil {
		f.unready = true
		f.checker.report("replaced entry not ready: %s: %v", e.name, err)
	}
}

// checkRefusedMessages reports what entries logged of messages between them that the other
// build could not decode.
func (f *fleet) checkRefusedMessages() {
	for _, e := range f.entries {
		log, err := os.Open(e.log.Name())
		if err != nil {
			f.checker.report("log of %s: %v", e.name, err)
			continue
		}
		lines := bufio.NewScanner(log)
		for lines.Scan() {
			if strings.Contains(lines.Text(), "call refused") && strings.Contains(lines.Text(), "msgpack") {
				f.checker.report("message refused: %s: %s", e.name, lines.Text())
				break
			}
		}
		log.Close()
	}
}
