// Command rig3 plays the scripted cases of the third review: it starts entries as processes and
// stand-ins of the store, runners and clients in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// longest is the time after which a case is given up.
const longest = 115 * time.Second

var (
	started = time.Now()
	output  *os.File
	mu      sync.Mutex
	cleaned []func()
)

// record writes a line into the record.
func record(fields ...any) {
	mu.Lock()
	defer mu.Unlock()
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f", time.Since(started).Seconds())
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&line, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(output, line.String())
}

// cleanup has something done at the end.
func cleanup(f func()) {
	mu.Lock()
	defer mu.Unlock()
	cleaned = append(cleaned, f)
}

// finish ends all that was started and the program.
func finish(status int) {
	mu.Lock()
	list := cleaned
	mu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		list[i]()
	}
	output.Close()
	os.Exit(status)
}

// unable ends the program: the case couldn't run.
func unable(err error) {
	record("unable", err)
	fmt.Println("the case couldn't run:", err)
	finish(2)
}

// verdict ends the program with whether a rule was broken.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	record("broken", broken, "seen", text)
	fmt.Println(text)
	if broken {
		fmt.Println("the rule was broken")
		finish(1)
	}
	fmt.Println("the rule held")
	finish(0)
}

// trouble reports whether the disruption is to be made.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	var err error
	if output, err = os.Create(os.Args[2]); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stop:
		case <-time.After(longest):
		}
		unable(fmt.Errorf("stopped after %v", time.Since(started)))
	}()
	play := map[string]func(){"foreign-entry": foreignEntry, "stale-seed": staleSeed, "watch-cut": watchCut, "long-changes": longChanges, "long-entries": longEntries}[os.Args[1]]
	if play == nil {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(2)
	}
	play()
}
