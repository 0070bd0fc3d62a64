package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// responseSlack is how long after the caller's timeout a request may end.
	responseSlack = 1200 * time.Millisecond
	// deadlineMargin is how long before a request's deadline an entry may give it up.
	deadlineMargin = 20 * time.Millisecond
	// minServedShare is the share of the requests that must be served once the
	// fleet has recovered from the faults.
	minServedShare = 0.95
)

type requestKind string

const (
	kindNonIdempotent requestKind = "once"
	kindIdempotent    requestKind = "again"
	kindStream        requestKind = "stream"
	kindLongStream    requestKind = "long"
)

// result is what a caller observed of one request.
type result struct {
	id   string
	kind requestKind
	// parts are the parts of the prompt, of which one ends servers if harmful is set.
	parts    []string
	harmful  bool
	entry    string
	account  int
	start    time.Time
	duration time.Duration
	timeout  time.Duration
	// undisturbed is whether no fault affected the entry meanwhile.
	undisturbed bool
	// passedOn is whether the request reached a backend server.
	passedOn bool
	// cut is whether a fault of backend servers or their proxies accounts for an
	// incomplete response.
	cut    bool
	served bool
	// incomplete is why the response is missing or not whole, nil if it is whole.
	incomplete error
	// notRun is whether the response guarantees that the request has not run and never will.
	notRun bool
	// problem says what is wrong with the response, empty if nothing is.
	problem string
}

// checker collects the results of all requests and the violations of what entries guarantee.
type checker struct {
	runs func(id string) int // number of runs of a request at backend servers

	mu       sync.Mutex
	results  []result
	reported []string // violations that were found while the run went on
	// servedVersions is the newest configuration version that each incarnation
	// of an entry served.
	servedVersions map[string]int
}

func (c *checker) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// all returns the results so far.
func (c *checker) all() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.results)
}

func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = append(c.reported, fmt.Sprintf(format, args...))
}

// observeVersion records the newest configuration version that an incarnation
// of an entry serves now, and reports a violation if it served a newer one before.
func (c *checker) observeVersion(incarnation string, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servedVersions == nil {
		c.servedVersions = make(map[string]int)
	}
	if version < c.servedVersions[incarnation] {
		c.reported = append(c.reported, fmt.Sprintf("configuration reverted: %s served version %d, then only %d", incarnation, c.servedVersions[incarnation], version))
		return
	}
	c.servedVersions[incarnation] = version
}

// violations returns all violations of what entries guarantee. Requests that
// started after recoveredBy count towards minServedShare.
func (c *checker) violations(recoveredBy time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.reported
	total, served := 0, 0
	for _, r := range c.results {
		out = append(out, c.checkResult(r)...)
		if r.start.After(recoveredBy) && !r.harmful {
			total++
			if r.served {
				served++
			}
		}
	}
	if total == 0 || float64(served) < minServedShare*float64(total) {
		out = append(out, fmt.Sprintf("not recovered: %d of %d requests served after the faults", served, total))
	}
	return out
}

// checkResult returns the violations that the result of one request shows.
func (c *checker) checkResult(r result) []string {
	var out []string
	runs := c.runs(r.id)
	if r.problem != "" {
		out = append(out, fmt.Sprintf("wrong response: %s %s at %s: %s", r.kind, r.id, r.entry, r.problem))
	}
	if r.kind == kindNonIdempotent && runs > 1 {
		out = append(out, fmt.Sprintf("ran twice: %s %s at %s: %d runs", r.kind, r.id, r.entry, runs))
	}
	if r.notRun && runs > 0 {
		out = append(out, fmt.Sprintf("reported as not run, but ran: %s %s at %s: %d runs", r.kind, r.id, r.entry, runs))
	}
	if r.passedOn && r.undisturbed && !r.cut && r.duration < r.timeout-deadlineMargin {
		switch unknown := !r.served && !r.notRun && r.problem == ""; {
		case r.incomplete != nil:
			out = append(out, fmt.Sprintf("response lost: %s %s at %s after %v, though no server failed: %v", r.kind, r.id, r.entry, r.duration, r.incomplete))
		case unknown && runs > 0:
			out = append(out, fmt.Sprintf("outcome unknown: %s %s at %s after %v, though no server failed", r.kind, r.id, r.entry, r.duration))
		}
	}
	if r.undisturbed && r.duration > r.timeout+responseSlack {
		out = append(out, fmt.Sprintf("ended late: %s %s at %s after %v, timeout %v", r.kind, r.id, r.entry, r.duration, r.timeout))
	}
	return out
}

// summary returns how many requests were sent, served and refused, and how many
// responses were incomplete.
func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, refused, incomplete := 0, 0, 0
	for _, r := range c.results {
		if r.served {
			served++
		}
		if r.notRun {
			refused++
		}
		if r.incomplete != nil {
			incomplete++
		}
	}
	return fmt.Sprintf("%d requests, %d served, %d refused, %d incomplete", len(c.results), served, refused, incomplete)
}
