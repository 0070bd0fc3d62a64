package standin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// reserve reserves tokens at an engine under an ID.
func reserve(e *Engine, id string, tokens int, expires time.Duration, headers ...string) result {
	body := fmt.Sprintf(`{"tokens": %d, "expires": %q}`, tokens, expires)
	return send(e, "POST", "/v1/kv/reserve", body, append(headers, "X-Request-Id", id)...)
}

func TestReservationEnds(t *testing.T) {
	tests := []struct {
		name    string
		headers []string
		end     func(e *Engine)
	}{
		{name: "expired", end: func(*Engine) { time.Sleep(10*time.Second + time.Millisecond) }},
		{name: "out of time", headers: []string{"X-Time-Left", "2s"}, end: func(*Engine) { time.Sleep(2*time.Second + time.Millisecond) }},
		{name: "cancelled", end: func(e *Engine) { send(e, "POST", "/v1/cancel", `{"id": "a"}`) }},
		{name: "freed", end: func(e *Engine) { send(e, "POST", "/v1/kv/free", `{"handle": "a"}`) }},
		{name: "restarted", end: func(e *Engine) { e.Inject(Restarted()) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e := NewEngine("engine-1")
				c.Assert(reserve(e, "a", 1000, 10*time.Second, test.headers...).status, qt.Equals, 200)
				c.Assert(e.Stats().UsedTokens(), qt.Equals, 1000)
				c.Assert(e.Stats().Requests(), qt.Equals, 1)
				test.end(e)
				synctest.Wait()
				c.Assert(e.Stats().UsedTokens(), qt.Equals, 0)
				c.Assert(e.Stats().Requests(), qt.Equals, 0)
			})
		})
	}
}

func TestReservationIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := NewEngine("engine-1")
		reserve(e, "a", 1000, 10*time.Second)
		for range 5 {
			time.Sleep(6 * time.Second)
			c.Assert(send(e, "POST", "/v1/kv/renew", `{"handle": "a", "expires": "10s"}`).status, qt.Equals, 200)
		}
		time.Sleep(11 * time.Second)
		c.Assert(send(e, "POST", "/v1/kv/renew", `{"handle": "a", "expires": "10s"}`).status, qt.Equals, 404)
		c.Assert(e.Stats().UsedTokens(), qt.Equals, 0)
	})
}

func TestReservationIsRefused(t *testing.T) {
	c := qt.New(t)
	e := NewEngine("engine-1", WithWarmLimit(NewLoad(2, 5000)), WithKVTokens(6000))
	tests := []struct {
		id      string
		tokens  int
		headers []string
		status  int
	}{
		{id: "a", tokens: 6001, status: http.StatusBadRequest},
		{id: "a", tokens: 5001, status: http.StatusTooManyRequests},
		{id: "a", tokens: 100, headers: []string{"X-Incarnation", "other"}, status: http.StatusConflict},
		{id: "a", tokens: 100, headers: []string{"X-Not-After", "-1ms"}, status: http.StatusTooManyRequests},
		{id: "a", tokens: 3000, status: http.StatusOK},
		{id: "a", tokens: 100, status: http.StatusConflict},
		{id: "b", tokens: 3000, status: http.StatusTooManyRequests},
	}
	for _, test := range tests {
		c.Check(reserve(e, test.id, test.tokens, time.Minute, test.headers...).status, qt.Equals, test.status, qt.Commentf("%+v", test))
	}
	c.Assert(e.Stats().UsedTokens(), qt.Equals, 3000)
	e.Inject(Draining())
	c.Assert(reserve(e, "c", 100, time.Minute).status, qt.Equals, http.StatusServiceUnavailable)
}

// Two parts produce the answer of the undivided prompt, as long as both are held.
func TestParts(t *testing.T) {
	c := qt.New(t)
	first, second := NewEngine("engine-1", WithTimeScale(50)), NewEngine("engine-2", WithTimeScale(50))
	server := httptest.NewServer(first)
	defer server.Close()
	one, two := strings.Repeat("one ", 2000), strings.Repeat("two ", 2000)
	parts := "a;" + server.Listener.Addr().String()
	last := func() result {
		return send(second, "POST", "/v1/completions", completion(two, 4), "X-Request-Id", "b", "X-Part", "2/2", "X-Parts", parts)
	}
	c.Assert(send(first, "POST", "/v1/completions", completion(one, 4), "X-Request-Id", "a", "X-Part", "1/2").status, qt.Equals, 409)
	reserve(first, "a", 2000, time.Minute)
	reserve(second, "b", 2004, time.Minute)
	c.Assert(last().status, qt.Equals, http.StatusFailedDependency) // Reserved, not yet prefilled.
	got := send(first, "POST", "/v1/completions", completion(one, 4), "X-Request-Id", "a", "X-Part", "1/2")
	c.Assert(got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	c.Assert(got.body, qt.JSONEquals, map[string]any{"handle": "a", "tokens": 2000})
	got = last()
	c.Assert(got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	c.Assert(got.body, qt.Contains, Sum(one+two).Token(3))
	c.Assert(got.body, qt.Contains, `"prompt_tokens":4000`)
	send(first, "POST", "/v1/cancel", `{"id": "a"}`)
	c.Assert(last().status, qt.Equals, http.StatusFailedDependency)
	send(second, "POST", "/v1/cancel", `{"id": "b"}`)
	c.Assert(first.Stats().UsedTokens()+second.Stats().UsedTokens(), qt.Equals, 0)
}
