package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A short run with a fixed seed; longer ones are made by hand.
func TestShortSoak(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	daemon := filepath.Join(dir, "greengagedockd")
	out, err := exec.Command("go", "build", "-o", daemon, "greengagedock.example/cmd/greengagedockd").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	line, problems := run(options{daemon: daemon, dir: dir, entries: 3, servers: 6, callers: 3, faultDuration: 3 * time.Second}, 1, portRanges-1)
	t.Log(line)
	c.Assert(problems, qt.HasLen, 0)
}

// Each promise that the soak watches is seen to be broken when it is.
func TestCheckerSeesBrokenPromises(t *testing.T) {
	c := qt.New(t)
	runs := map[string]int{"twice": 2, "ran": 1}
	began := time.Now()
	for want, r := range map[string]result{
		"ran twice.*":              {id: "twice", kind: kindNonIdempotent, served: true},
		"not run, though it ran.*": {id: "ran", kind: kindIdempotent, notRun: true},
		"wrong answer.*":           {id: "ran", kind: kindStream, problem: "event 3 is missing"},
		"late end.*":               {id: "ran", kind: kindNonIdempotent, undisturbed: true, timeout: time.Second, duration: 3 * time.Second},
		"not recovered: 0 of 1 .*": {id: "ran", kind: kindNonIdempotent, notRun: false},
	} {
		checker := checker{runs: func(id string) int { return runs[id] }}
		r.start = began
		checker.add(r)
		c.Assert(checker.violations(began.Add(-time.Second))[0], qt.Matches, want)
	}
	var checker checker
	checker.runs = func(string) int { return 0 }
	checker.observeVersion("entry-1/1", 3)
	checker.observeVersion("entry-1/2", 1)
	c.Assert(checker.reported, qt.HasLen, 0)
	checker.observeVersion("entry-1/1", 2)
	c.Assert(checker.reported, qt.HasLen, 1)
}

func TestSeedsOfAFile(t *testing.T) {
	c := qt.New(t)
	seeds, err := loadSeeds("regressions.txt", 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(seeds, qt.DeepEquals, []uint64{119, 121, 125, 1001})
	seeds, err = loadSeeds("", 7, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(seeds, qt.DeepEquals, []uint64{7, 8})
}
