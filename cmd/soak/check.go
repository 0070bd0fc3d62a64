package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// answerSlack is how much later than the caller's own time an answer may come.
	answerSlack = 1200 * time.Millisecond
	// calmServed is the part of the requests that must be served in the calm at the end.
	calmServed = 0.95
)

// kind says what a request is.
type kind string

// The kinds.
const (
	kindOnce   kind = "once"
	kindAgain  kind = "again"
	kindStream kind = "stream"
	kindLong   kind = "long"
)

// result is what a caller saw of one request.
type result struct {
	id    string
	kind  kind
	entry string
	began time.Time
	took  time.Duration
	wait  time.Duration
	// calm tells that nothing disturbed the entry meanwhile.
	calm    bool
	served  bool
	notRun  bool
	problem string
}

// checker gathers what callers saw and what the promises say of it.
type checker struct {
	runs func(id string) int

	mu       sync.Mutex
	results  []result
	problems []string
	// versions holds the newest configuration that an entry's incarnation served.
	versions map[string]int
}

func (c *checker) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// version takes the newest version that an entry's incarnation was seen to serve.
func (c *checker) version(incarnation string, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.versions == nil {
		c.versions = make(map[string]int)
	}
	if number < c.versions[incarnation] {
		c.problems = append(c.problems, fmt.Sprintf("configuration reverted: %s served version %d, then only %d", incarnation, c.versions[incarnation], number))
		return
	}
	c.versions[incarnation] = number
}

// verdict returns all broken promises; requests after calmFrom must be served.
func (c *checker) verdict(calmFrom time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.problems
	calm, served := 0, 0
	for _, r := range c.results {
		out = append(out, c.judge(r)...)
		if r.began.After(calmFrom) {
			calm++
			if r.served {
				served++
			}
		}
	}
	if calm == 0 || float64(served) < calmServed*float64(calm) {
		out = append(out, fmt.Sprintf("not recovered: %d of %d served in the calm", served, calm))
	}
	return out
}

// judge returns what is wrong with one request.
func (c *checker) judge(r result) []string {
	var out []string
	runs := c.runs(r.id)
	if r.problem != "" {
		out = append(out, fmt.Sprintf("wrong answer: %s %s at %s: %s", r.kind, r.id, r.entry, r.problem))
	}
	if r.kind == kindOnce && runs > 1 {
		out = append(out, fmt.Sprintf("ran twice: %s %s at %s: %d runs", r.kind, r.id, r.entry, runs))
	}
	if r.notRun && runs > 0 {
		out = append(out, fmt.Sprintf("not run, though it ran: %s %s at %s: %d runs", r.kind, r.id, r.entry, runs))
	}
	if r.calm && r.took > r.wait+answerSlack {
		out = append(out, fmt.Sprintf("late end: %s %s at %s after %v of %v", r.kind, r.id, r.entry, r.took, r.wait))
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
