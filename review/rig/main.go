// Command rig plays one case of the review: it starts entries as processes, between stand-ins
// of the clients, the runners and the store, and checks one rule.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// maxDuration ends a case that hangs.
const maxDuration = 110 * time.Second

// init keeps the main goroutine, which starts the entries, on the main thread: they are killed
// when the thread that started them ends.
func init() { runtime.LockOSThread() }

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

const (
	host         = "clients.example"
	apiKey       = "key-of-the-tenant"
	modelService = "log-reader"
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	started    = time.Now()
	// cleanups end what the case started.
	cleanups []func()
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f s  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	record("could not run: "+format, args...)
	exit(statusFailed)
}

func exit(status int) {
	for _, cleanup := range cleanups {
		cleanup()
	}
	fmt.Println("status", status)
	os.Exit(status)
}

// finish ends a case with whether its rule was broken.
func finish(broken int, of string) {
	if broken > 0 {
		record("BROKEN: %d %s", broken, of)
		exit(statusBroken)
	}
	record("held: 0 %s", of)
	exit(statusHeld)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD, in the repository's root")
		os.Exit(statusFailed)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusFailed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, trouble %v", os.Args[1], trouble)
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	if os.Getenv("KEEP") == "" {
		cleanups = append(cleanups, func() { os.RemoveAll(dir) })
	} else {
		fmt.Println("files in", dir)
	}
	time.AfterFunc(maxDuration, func() { fail("it takes longer than %v", maxDuration) })
	switch os.Args[1] {
	case "queued":
		playQueued(dir, trouble)
	case "cold":
		playCold(dir, trouble)
	case "late":
		playLate(dir, trouble)
	case "relay":
		playRelay(dir, trouble)
	default:
		fail("unknown case %q", os.Args[1])
	}
}

// publishConfig writes a configuration with one route of streams. An event holds stride tokens
// of stepMs each.
func publishConfig(s *store, slots int, stepMs float64, stride int) {
	s.put("op/config", map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r-history", "Host": host, "Prefix": "/history/", "Kind": "stream", "TimeoutMs": 15000, "GoalMs": 3000, "Priority": 1,
			"Service": modelService, "Attempts": 2, "Public": false, "Sticky": true, "CanResume": true, "GapAimMs": 1000,
		}},
		"Services": []any{map[string]any{
			"Name": modelService, "HealthPath": "/healthz", "MaxConns": 304, "Proto": "h1", "Tls": false, "ColdS": coldFor.Seconds(), "ColdPerS": coldPerS,
			"Engine": map[string]any{
				"Slots": slots, "KvCapTokens": 405000, "Stride": stride, "Models": []any{map[string]string{"Name": "m"}}, "step_ms": stepMs,
				"per_seq_ms": 0.000917, "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048, "report_lag_ms": 200.0,
				"usual": map[string]int{"prompt": 11301, "answer": 340}, "HopMs": 0.1,
			},
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{apiKey}}},
	})
}
