package main

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"strconv"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
)

// load is a load generator, standin load, that runs as a process of its own.
type load struct {
	c       *qt.C
	process *exec.Cmd
	out     bytes.Buffer
	ended   chan error
}

// results counts the outcomes of a load's requests.
type results struct {
	verdicts map[string]int
	reasons  map[string]int
}

// startLoad starts a mixed load of rate requests a second on the daemons.
func (s *system) startLoad(seed int, rate float64, duration time.Duration, daemons ...*daemon) *load {
	var entries []string
	for _, d := range daemons {
		entries = append(entries, d.callers)
	}
	share := "0.3"
	if s.modelsOnly {
		share = "0"
	}
	l := &load{c: s.c, ended: make(chan error, 1)}
	l.process = exec.Command(program("standin"), "load",
		"--entries", strings.Join(entries, ","), "--keys", account, "--failure-domains", strings.Join(domains, ","),
		"--service", "licensing", "--service-share", share, "--path", "/grants",
		"--rate", strconv.FormatFloat(rate, 'f', -1, 64), "--duration", duration.String(), "--time-left", "25s",
		"--seed", strconv.Itoa(seed), "--answer-tokens", "256", "--max-prompt", "60000", "--json")
	l.process.Stdout = &l.out
	s.c.Assert(l.process.Start(), qt.IsNil)
	go func() { l.ended <- l.process.Wait() }()
	s.c.Cleanup(func() { _ = l.process.Process.Kill() })
	return l
}

// wait waits for the load to end and returns the outcomes of its requests.
func (l *load) wait() results {
	select {
	case <-l.ended:
	case <-time.After(awaitTimeout):
		l.c.Fatalf("the load did not end")
	}
	var rows []struct {
		Verdicts map[string]int `json:"verdicts"`
		Reasons  map[string]int `json:"reasons"`
	}
	l.c.Assert(json.Unmarshal(l.out.Bytes(), &rows), qt.IsNil, qt.Commentf("%s", l.out.String()))
	r := results{verdicts: make(map[string]int), reasons: make(map[string]int)}
	for _, row := range rows {
		for verdict, n := range row.Verdicts {
			r.verdicts[verdict] += n
		}
		for reason, n := range row.Reasons {
			r.reasons[reason] += n
		}
	}
	l.c.Logf("load: %v %v", r.verdicts, r.reasons)
	return r
}

// checkNoFailures checks that the load got complete answers, and none that was wrong,
// cut off, lost or failed.
func (r results) checkNoFailures(c *qt.C) {
	c.Helper()
	c.Check(r.verdicts["whole"] > 0, qt.IsTrue)
	for _, bad := range []string{"wrong", "cut", "lost", "failed"} {
		c.Check(r.verdicts[bad], qt.Equals, 0, qt.Commentf("%s: %v", bad, r.reasons))
	}
}
