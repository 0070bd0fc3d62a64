package ingress

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/routing"
)

const (
	// crashingRequests is the number of requests with a crashing part in a test.
	crashingRequests = 30
	// maxCrashes is the number of servers that may end before the part is known, and of
	// requests that may reach one afterwards.
	maxCrashes = 5 + 3
	// crashInterval is the time between two of these requests: servers that end at the
	// same moment are evidence once.
	crashInterval = 70 * time.Millisecond
)

// newCrashingBackends returns servers that end at a request with the part "bad" and
// answer others.
func newCrashingBackends(c *qt.C, n int) []*backend {
	var out []*backend
	for range n {
		b := newBackend(c, slices.Repeat([]string{streamResponse(threeEvents, true)}, crashingRequests)...)
		b.crashingPart = "bad"
		out = append(out, b)
	}
	return out
}

// newScheduledTestbed returns a testbed whose requests are placed by the scheduler that
// entries use.
func newScheduledTestbed(c *qt.C, backends ...*backend) *testbed {
	b := newTestbedOn(c, backends...)
	servers := make(map[string]routing.Server)
	for i, backend := range backends {
		id := fmt.Sprint("s", i)
		servers[id] = routing.NewServer(id, "desk", backend.address, "a", 6)
	}
	b.view.Store(routing.NewView(routing.NewRevision(0, 2), testTable(), servers, nil))
	b.server.scheduler = newLocalScheduler(b.view.Load())
	return b
}

// Guards against BUDGET: requests that share a part of their prompt crash server after
// server, each at two of them.
func TestPromptPartThatCrashesServersIsRefused(t *testing.T) {
	c := qt.New(t)
	backends := newCrashingBackends(c, 4*crashingRequests)
	b := newScheduledTestbed(c, backends...)
	refused := 0
	for i := range crashingRequests {
		time.Sleep(crashInterval)
		r := b.request(http.MethodPost, "/stream/", "")
		r.Header.Set("Id", fmt.Sprint("bad-", i))
		r.Header.Set("Parts", "shared,bad")
		response, _, err := b.do(r)
		c.Assert(err, qt.IsNil)
		if response.StatusCode == http.StatusServiceUnavailable {
			c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			refused++
		}
		r = b.request(http.MethodPost, "/stream/", "")
		r.Header.Set("Id", fmt.Sprint("sound-", i))
		r.Header.Set("Parts", "shared,other")
		response, _, err = b.do(r)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	}
	reached := 0
	for _, backend := range backends {
		backend.mu.Lock()
		for _, parts := range backend.parts {
			if strings.Contains(parts, "bad") {
				reached++
			}
		}
		backend.mu.Unlock()
	}
	c.Assert(reached <= maxCrashes, qt.IsTrue, qt.Commentf("%d requests reached servers", reached))
	c.Assert(refused >= crashingRequests-maxCrashes, qt.IsTrue, qt.Commentf("%d refused", refused))
}

const (
	// repeats is how often a caller sends the request that crashes servers in a test.
	repeats = 12
	// maxRepeats is the number of servers that may end before the request is known, and of
	// retries that may reach one afterwards.
	maxRepeats = 3 + 3
)

// Guards against BUDGET: a caller sends a request again and again that crashes each server
// that begins to run it, whatever its prompt.
func TestRepeatedRequestThatCrashesServersIsRefused(t *testing.T) {
	for _, path := range []string{"/once/x", "/again/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			answer := fullResponse(http.StatusOK, "sound")
			if strings.HasPrefix(path, "/stream/") {
				answer = streamResponse(threeEvents, true)
			}
			var backends []*backend
			for range 3 * repeats {
				b := newBackend(c, slices.Repeat([]string{answer}, 2*repeats)...)
				b.crashingBody = "bad"
				backends = append(backends, b)
			}
			b := newScheduledTestbed(c, backends...)
			refused := 0
			for i := range repeats {
				time.Sleep(crashInterval)
				for _, body := range []string{"bad", fmt.Sprint("sound ", i)} {
					r := b.request(http.MethodPost, path, body)
					r.Header.Set("Id", fmt.Sprint(body, " ", i))
					response, _, err := b.do(r)
					c.Assert(err, qt.IsNil)
					switch {
					case body != "bad":
						c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
					case response.StatusCode == http.StatusServiceUnavailable:
						c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
						refused++
					}
				}
			}
			reached := 0
			for _, backend := range backends {
				for _, seen := range backend.seen() {
					if strings.HasSuffix(seen, "body=bad") {
						reached++
					}
				}
			}
			c.Assert(reached <= maxRepeats, qt.IsTrue, qt.Commentf("%d requests reached servers", reached))
			c.Assert(refused >= repeats-maxRepeats, qt.IsTrue, qt.Commentf("%d refused", refused))
		})
	}
}

// Prompts may come beside the body of a request: while servers end under one prompt and no
// request settles, requests with others on the same path are no repeats of it.
func TestRequestsWithOtherPromptsAreServed(t *testing.T) {
	c := qt.New(t)
	backends := newCrashingBackends(c, 24)
	b := newScheduledTestbed(c, backends...)
	for i := range 4 {
		time.Sleep(crashInterval)
		r := b.request(http.MethodPost, "/stream/", "")
		r.Header.Set("Id", fmt.Sprint("bad-", i))
		r.Header.Set("Parts", fmt.Sprintf("shared,bad,own-%d", i))
		_, _, err := b.do(r)
		c.Assert(err, qt.IsNil)
	}
	r := b.request(http.MethodPost, "/stream/", "")
	r.Header.Set("Parts", "shared,other")
	response, _, err := b.do(r)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}
