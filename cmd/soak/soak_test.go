package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// One short run with a fixed seed; longer runs are started by hand.
func TestShortSoak(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	daemon := filepath.Join(dir, "greengagedockd")
	out, err := exec.Command("go", "build", "-o", daemon, "greengagedock.example/cmd/greengagedockd").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	summary, violations := run(options{daemon: daemon, dir: dir, entries: 3, servers: 6, callers: 3, faultDuration: 3 * time.Second}, 1, portRanges-1)
	t.Log(summary)
	c.Assert(violations, qt.HasLen, 0)
}

// The checker reports each kind of violation that it can tell from the results
// of requests and from the served configuration versions.
func TestCheckerReportsViolations(t *testing.T) {
	c := qt.New(t)
	runs := map[string]int{"twice": 2, "ran": 1}
	start := time.Now()
	for want, r := range map[string]result{
		"ran twice.*":                    {id: "twice", kind: kindNonIdempotent, served: true},
		"reported as not run, but ran.*": {id: "ran", kind: kindIdempotent, notRun: true},
		"wrong response.*":               {id: "ran", kind: kindStream, problem: "event 3 is missing"},
		"ended late.*":                   {id: "ran", kind: kindNonIdempotent, undisturbed: true, timeout: time.Second, duration: 3 * time.Second},
		"not recovered: 0 of 1 .*":       {id: "ran", kind: kindNonIdempotent, notRun: false},
	} {
		checker := checker{runs: func(id string) int { return runs[id] }}
		r.start = start
		checker.add(r)
		c.Assert(checker.violations(start.Add(-time.Second))[0], qt.Matches, want)
	}
	var checker checker
	checker.runs = func(string) int { return 0 }
	checker.observeVersion("entry-1/1", 3)
	checker.observeVersion("entry-1/2", 1)
	c.Assert(checker.reported, qt.HasLen, 0)
	checker.observeVersion("entry-1/1", 2)
	c.Assert(checker.reported, qt.HasLen, 1)
}

func TestLoadSeeds(t *testing.T) {
	c := qt.New(t)
	seeds, err := loadSeeds("regressions.txt", 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(seeds, qt.DeepEquals, []uint64{119, 121, 125, 1001})
	seeds, err = loadSeeds("", 7, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(seeds, qt.DeepEquals, []uint64{7, 8})
}

// A fleet that can't be started leaves nothing running: here a directory has the name
// of the second entry's log.
func TestFailedStartStopsEntries(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	c.Assert(os.Mkdir(filepath.Join(dir, "entry-1.log"), 0o700), qt.IsNil)
	before := runtime.NumGoroutine()
	_, err := startFleet(dir, "/bin/false", 1, 3, 3, firstPort+portsPerRun*(portRanges-1))
	c.Assert(err, qt.ErrorMatches, ".*entry-1.log.*")
	for deadline := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before+10; {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d goroutines, %d before", runtime.NumGoroutine(), before))
		time.Sleep(10 * time.Millisecond)
	}
}
