package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"greengagedock.example/platform/platformtest"
)

const (
	// meanRequestInterval is the mean time between two requests of a caller.
	meanRequestInterval = 40 * time.Millisecond
	// addressTTL is how long a caller uses the addresses that the directory returned.
	addressTTL = 2 * time.Second
	// shortTokens and longTokens are the lengths of the prompts. The long one
	// needs more memory than one engine has, and three seconds of six engines.
	shortTokens = 3000
	longTokens  = 430_000
)

// caller sends requests to the entries that the directory lists, over keep-alive connections.
type caller struct {
	fleet  *fleet
	client http.Client
	random *rand.Rand
	number int
	// account is the number of the caller's client account. If floods is set, the caller sends
	// only short prompts.
	account int
	floods  bool

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
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(c.meanInterval()))):
		case <-ctx.Done():
			return
		}
		if e := c.pickEntry(ctx); e != nil {
			c.send(e)
		}
	}
}

// meanInterval returns the mean time between two requests of the caller.
func (c *caller) meanInterval() time.Duration {
	if c.floods {
		return floodInterval
	}
	return meanRequestInterval
}

// pickEntry returns a random entry that the directory lists, or nil if it lists none.
func (c *caller) pickEntry(ctx context.Context) *entry {
	if time.Since(c.resolvedAt) > addressTTL || len(c.addresses) == 0 {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		resolver := c.fleet.entries[c.random.IntN(len(c.fleet.entries))]
		if addresses, err := platformtest.Resolve(ctx, &c.client, resolver.directoryAddress); err == nil {
			c.addresses, c.resolvedAt = addresses, time.Now()
		}
	}
	if len(c.addresses) == 0 {
		return nil
	}
	return c.fleet.byAddress(c.addresses[c.random.IntN(len(c.addresses))])
}

// send sends one request and adds its result to the checker.
func (c *caller) send(e *entry) {
	r := result{entry: e.name, account: c.account, start: time.Now(), timeout: 1500 * time.Millisecond}
	r.id = fmt.Sprintf("a%d-%d", c.number, requestCount.Add(1))
	method, path, tokens := http.MethodPost, "/stream/x", shortTokens
	switch draw := c.random.IntN(1000); {
	case c.floods:
		r.kind, r.timeout, tokens = kindStream, 4*time.Second, shortTokens
	case draw < 300:
		r.kind, path, tokens = kindNonIdempotent, "/once/x", 0
	case draw < 600:
		r.kind, method, path, tokens = kindIdempotent, http.MethodGet, "/again/x", 0
	case draw < 997:
		r.kind, r.timeout = kindStream, 4*time.Second
	default:
		r.kind, r.timeout, path, tokens = kindLongStream, 4*time.Second, "/long/stream/x", longTokens
	}
	if r.kind == kindIdempotent {
		path, r.harmful = c.crashingCall(path)
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout+4*time.Second)
	defer cancel()
	q, err := platformtest.NewRequest(ctx, e.callerProxy.address(), method, path, r.id, tokens, r.timeout)
	if err != nil {
		c.fleet.checker.report("creating request: %v", err)
		return
	}
	platformtest.SetAccount(q, c.account)
	if tokens > 0 {
		r.parts, r.harmful = c.parts()
		platformtest.SetParts(q, tokens, r.parts...)
	}
	response, err := c.client.Do(q)
	r.incomplete = err
	if err == nil {
		c.checkResponse(response, &r)
		response.Body.Close()
	}
	r.duration = time.Since(r.start)
	r.undisturbed = e.undisturbed(r.start, r.start.Add(r.duration))
	r.passedOn, r.cut = c.fleet.delivery(r.id)
	c.fleet.checker.add(r)
}

// checkResponse reads a response and records its outcome in r.
func (c *caller) checkResponse(response *http.Response, r *result) {
	switch {
	case response.StatusCode == http.StatusOK && !platformtest.FromServer(response):
		r.problem = "status 200 without the header of a backend server"
	case response.StatusCode == http.StatusOK && (r.kind == kindStream || r.kind == kindLongStream):
		r.problem, r.incomplete = platformtest.CheckStream(response.Body, r.id)
		r.served = r.incomplete == nil && r.problem == ""
	case response.StatusCode == http.StatusOK:
		var body []byte
		body, r.incomplete = io.ReadAll(response.Body)
		if r.incomplete == nil && string(body) != platformtest.ResponseBody(r.id) {
			r.problem = fmt.Sprintf("body %q", body)
		}
		r.served = r.incomplete == nil && r.problem == ""
	default:
		r.notRun = platformtest.GuaranteesNotRun(response)
		if r.harmful && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
			r.problem = "refused without a time after which to try again"
		}
		_, r.incomplete = io.Copy(io.Discard, response.Body)
	}
}
