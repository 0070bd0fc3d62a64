package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// responseSlack is how much later than the caller's own time an answer may come.
	responseSlack = 1200 * time.Millisecond
	// minServedShare is the part of the requests that must be served in the calm at the end.
	minServedShare = 0.95
)

// requestKind says what a request is.
type requestKind string

// The kinds.
const (
	kindNonIdempotent requestKind = "once"
	kindIdempotent    requestKind = "again"
	kindStream        requestKind = "stream"
	kindLongStream    requestKind = "long"
)

// result is what a caller saw of one request.
type result struct {
	id       string
	kind     requestKind
	entry    string
	start    time.Time
	duration time.Duration
	timeout  time.Duration
	// undisturbed tells that nothing disturbed the entry meanwhile.
	undisturbed bool
	served      bool
	notRun      bool
	problem     string
}

// checker gathers what callers saw and what the promises say of it.
type checker struct {
	runs func(id string) int

	mu       sync.Mutex
	results  []result
	reported []string
	// servedVersions holds the newest configuration that an entry's incarnation served.
	servedVersions map[string]int
}

func (c *checker) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = append(c.reported, fmt.Sprintf(format, args...))
}

// observeVersion takes the newest observeVersion that an entry's incarnation was seen to serve.
func (c *checker) observeVersion(incarnation string, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servedVersions == nil {
		c.servedVersions = make(map[string]int)
	}
	if number < c.servedVersions[incarnation] {
		c.reported = append(c.reported, fmt.Sprintf("configuration reverted: %s served version %d, then only %d", incarnation, c.servedVersions[incarnation], number))
		return
	}
	c.servedVersions[incarnation] = number
}

// violations returns all broken promises; requests after calmFrom must be served.
func (c *checker) violations(calmFrom time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.reported
	calm, served := 0, 0
	for _, r := range c.results {
		out = append(out, c.checkResult(r)...)
		if r.start.After(calmFrom) {
			calm++
			if r.served {
				served++
			}
		}
	}
	if calm == 0 || float64(served) < minServedShare*float64(calm) {
		out = append(out, fmt.Sprintf("not recovered: %d of %d served in the calm", served, calm))
	}
	return out
}

// checkResult returns what is wrong with one request.
func (c *checker) checkResult(r result) []string {
	var out []string
	runs := c.runs(r.id)
	if r.problem != "" {
		out = append(out, fmt.Sprintf("wrong answer: %s %s at %s: %s", r.kind, r.id, r.entry, r.problem))
	}
	if r.kind == kindNonIdempotent && runs > 1 {
		out = append(out, fmt.Sprintf("ran twice: %s %s at %s: %d runs", r.kind, r.id, r.entry, runs))
	}
	if r.notRun && runs > 0 {
		out = append(out, fmt.Sprintf("not run, though it ran: %s %s at %s: %d runs", r.kind, r.id, r.entry, runs))
	}
	if r.undisturbed && r.duration > r.timeout+responseSlack {
		out = append(out, fmt.Sprintf("late end: %s %s at %s after %v of %v", r.kind, r.id, r.entry, r.duration, r.timeout))
	}
	return out
}

// summary returns how many requests were sent and served.
func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, refused := 0, 0
	for _, r := range c.results {
		if r.served {
			served++
		}
		if r.notRun {
			refused++
		}
	}
	return fmt.Sprintf("%d requests, %d served, %d refused", len(c.results), served, refused)
}
