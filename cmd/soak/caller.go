package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"greengagedock.example/platform/platformtest"
)

const (
	// meanRequestInterval is the mean time between two requests of a caller.
	meanRequestInterval = 40 * time.Millisecond
	// addressTTL is how long a caller keeps an answer of the directory.
	addressTTL = 2 * time.Second
	// shortTokens and longTokens are the lengths of prompts; the long one needs
	// more than one engine's memory, and three seconds of six engines.
	shortTokens = 3000
	longTokens  = 430_000
)

// caller sends requests to the entries that the directory names, over kept connections.
type caller struct {
	fleet  *fleet
	client http.Client
	random *rand.Rand
	number int

	addresses  []string
	resolvedAt time.Time
}

var requestCount atomic.Int64

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	c.client.Transport = &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		select {
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(meanRequestInterval))):
		case <-ctx.Done():
			return
		}
		if e := c.pickEntry(ctx); e != nil {
			c.send(e)
		}
	}
}

// pickEntry returns an entry that the directory names.
func (c *caller) pickEntry(ctx context.Context) *entry {
	if time.Since(c.resolvedAt) > addressTTL || len(c.addresses) == 0 {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		asked := c.fleet.entries[c.random.IntN(len(c.fleet.entries))]
		if known, err := platformtest.Resolve(ctx, &c.client, asked.directoryAddress); err == nil {
			c.addresses, c.resolvedAt = known, time.Now()
		}
	}
	if len(c.addresses) == 0 {
		return nil
	}
	return c.fleet.byAddress(c.addresses[c.random.IntN(len(c.addresses))])
}

// send sends one request and has what came of it checked.
func (c *caller) send(e *entry) {
	r := result{entry: e.name, start: time.Now(), timeout: 1500 * time.Millisecond}
	r.id = fmt.Sprintf("a%d-%d", c.number, requestCount.Add(1))
	method, path, tokens := http.MethodPost, "/stream/x", shortTokens
	switch draw := c.random.IntN(1000); {
	case draw < 300:
		r.kind, path, tokens = kindNonIdempotent, "/once/x", 0
	case draw < 600:
		r.kind, method, path, tokens = kindIdempotent, http.MethodGet, "/again/x", 0
	case draw < 997:
		r.kind, r.timeout = kindStream, 4*time.Second
	default:
		r.kind, r.timeout, path, tokens = kindLongStream, 4*time.Second, "/long/stream/x", longTokens
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout+4*time.Second)
	defer cancel()
	q, err := platformtest.NewRequest(ctx, e.callerProxy.address(), method, path, r.id, tokens, r.timeout)
	if err != nil {
		c.fleet.checker.report("request: %v", err)
		return
	}
	answer, err := c.client.Do(q)
	if err == nil {
		c.checkResponse(answer, &r)
		answer.Body.Close()
	}
	r.duration = time.Since(r.start)
	r.undisturbed = e.undisturbed(r.start, r.start.Add(r.duration))
	if err != nil && r.undisturbed && !errors.Is(err, syscall.ECONNREFUSED) && c.fleet.runs.Count(r.id) > 0 {
		c.fleet.checker.report("cut: %s %s at %s had run and got no answer: %v", r.kind, r.id, r.entry, err)
	}
	c.fleet.checker.add(r)
}

// checkResponse reads an answer and notes what it says.
func (c *caller) checkResponse(answer *http.Response, r *result) {
	switch {
	case answer.StatusCode == http.StatusOK && !platformtest.FromServer(answer):
		r.problem = "success without a server's seal"
	case answer.StatusCode == http.StatusOK && (r.kind == kindStream || r.kind == kindLongStream):
		problem, err := platformtest.CheckStream(answer.Body, r.id)
		r.problem = problem
		r.served = err == nil && problem == ""
	case answer.StatusCode == http.StatusOK:
		body, err := io.ReadAll(answer.Body)
		if err == nil && string(body) != platformtest.ResponseBody(r.id) {
			r.problem = fmt.Sprintf("body %q", body)
		}
		r.served = err == nil && r.problem == ""
	case platformtest.GuaranteesNotRun(answer):
		r.notRun = true
	}
}
