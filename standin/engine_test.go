package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// result is the outcome of one call, as seen by its caller.
type result struct {
	status  int
	header  http.Header
	body    string
	aborted bool
}

// send calls a handler directly; headers alternates names and values.
func send(h http.Handler, method, target, body string, headers ...string) (res result) {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return do(h, r)
}

func do(h http.Handler, r *http.Request) (res result) {
	w := httptest.NewRecorder()
	defer func() {
		if err := recover(); err != nil && err != http.ErrAbortHandler {
			panic(err)
		} else if err != nil {
			res.aborted = true
		}
	}()
	h.ServeHTTP(w, r)
	body, _ := io.ReadAll(w.Result().Body)
	return result{status: w.Code, header: w.Header(), body: string(body)}
}

func completion(prompt string, tokens int) string {
	body, err := json.Marshal(completionBody{Model: "strip-1", Prompt: prompt, MaxTokens: tokens, Stream: true})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// background sends a completion request in a new goroutine.
func background(h http.Handler, id, prompt string, tokens int) <-chan result {
	done := make(chan result, 1)
	go func() {
		done <- send(h, "POST", "/v1/completions", completion(prompt, tokens), "X-Request-Id", id)
	}()
	return done
}

// A stream that waits for the next step when a report is taken must be in the next
// report, one lag after it was admitted: keepers take a stream that a report leaves
// out for one that has ended.
func TestReportShowsStreamAdmittedAfterLastReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := NewEngine("engine-1", WithReportLag(20*time.Millisecond))
		done := background(e, "e1-1.1", strings.Repeat("word", 1000), 10)
		time.Sleep(25 * time.Millisecond) // the first report is taken after 20 ms, the first step after 30 ms
		c.Assert(send(e, "GET", "/v1/load", "").body, qt.Contains, `"waiting":1`)
		time.Sleep(30 * time.Millisecond)
		c.Assert(send(e, "GET", "/v1/load", "").body, qt.Contains, `"held":[{"id":"e1-1.1"`)
		<-done
	})
}

func TestEngineStreamsAnswerOfPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := NewEngine("engine-1")
		prompt := strings.Repeat("word", 1000)
		start := time.Now()
		res := <-background(e, "e1-1.1", prompt, 3)
		// Two prefill steps of 600 tokens each; the second one also generates the first token.
		c.Assert(time.Since(start), qt.Equals, 4*30*time.Millisecond)
		sum := Sum(prompt)
		c.Assert(res.body, qt.Equals, fmt.Sprintf(`data: {"id":"e1-1.1","index":0,"choices":[{"text":"%s"}]}

data: {"id":"e1-1.1","index":1,"choices":[{"text":"%s"}]}

data: {"id":"e1-1.1","index":2,"choices":[{"text":"%s"}]}

data: {"id":"e1-1.1","index":3,"choices":[{"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":1000,"completion_tokens":3}}

data: [DONE]

`, sum.Token(0), sum.Token(1), sum.Token(2)))
		c.Assert(e.Stats().UsedTokens(), qt.Equals, 0)
		c.Assert(e.Stats().Requests(), qt.Equals, 0)

		res = send(e, "POST", "/v1/completions", completion(prompt, 3), "X-Request-Id", "e1-1.2", "X-Resume-From", "2")
		c.Assert(strings.HasPrefix(res.body, `data: {"id":"e1-1.2","index":2,`), qt.IsTrue)
		c.Assert(e.Stats().ReusedTokens(), qt.Equals, blockTokens)
	})
}

func TestEngineFreesMemory(t *testing.T) {
	prompt := strings.Repeat("word", 10_000)
	tests := []struct {
		name string
		end  func(e *Engine)
	}{
		{"cancelled", func(e *Engine) { send(e, "POST", "/v1/cancel", `{"id":"e1-1.1"}`) }},
		{"frozen and cancelled", func(e *Engine) {
			e.Inject(Frozen())
			time.Sleep(time.Second)
			e.Inject(Cleared())
			send(e, "POST", "/v1/cancel", `{"id":"e1-1.1"}`)
		}},
		{"restarted", func(e *Engine) { e.Inject(Restarted()) }},
		{"exported and freed", func(e *Engine) {
			var export handleBody
			json.Unmarshal([]byte(send(e, "POST", "/v1/kv/export", `{"id":"e1-1.1"}`).body), &export)
			send(e, "POST", "/v1/cancel", `{"id":"e1-1.1"}`)
			if got := e.Stats().UsedTokens(); got != export.Tokens || got == 0 {
				panic(fmt.Sprintf("an export of %d tokens holds %d", export.Tokens, got))
			}
			send(e, "POST", "/v1/kv/free", `{"handle":"`+export.Handle+`"}`)
		}},
		{"exported and expired", func(e *Engine) {
			send(e, "POST", "/v1/kv/export", `{"id":"e1-1.1","expires":"1s"}`)
			send(e, "POST", "/v1/cancel", `{"id":"e1-1.1"}`)
			time.Sleep(time.Second)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e := NewEngine("engine-1")
				done := background(e, "e1-1.1", prompt, 1000)
				time.Sleep(time.Second)
				c.Assert(e.Stats().UsedTokens(), qt.Equals, 11_000)
				test.end(e)
				synctest.Wait()
				c.Assert(e.Stats().UsedTokens(), qt.Equals, 0)
				c.Assert(e.Stats().Requests(), qt.Equals, 0)
				c.Assert(strings.Contains((<-done).body, "[DONE]"), qt.IsFalse)
				time.Sleep(time.Second)
				c.Assert(send(e, "GET", "/v1/load", "").body, qt.Contains, `"used_tokens":0,"running":0,"waiting":0`)
			})
		})
	}
}

func TestEngineWithoutDisconnectDetectionHoldsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := NewEngine("engine-1", WithoutDisconnectDetection())
		ctx, cancel := context.WithCancel(t.Context())
		r := httptest.NewRequestWithContext(ctx, "POST", "/v1/completions", strings.NewReader(completion("one", 99)))
		r.Header.Set("X-Request-Id", "e1-1.1")
		time.AfterFunc(time.Second, cancel)
		c.Assert(do(e, r).aborted, qt.IsTrue)
		time.Sleep(time.Hour)
		c.Assert(e.Stats().UsedTokens(), qt.Equals, 100)
		c.Assert(send(e, "GET", "/v1/load", "").body, qt.Contains, `"held":[{"id":"e1-1.1","tokens":100}]`)
		send(e, "POST", "/v1/cancel", `{"id":"e1-1.1"}`)
		c.Assert(e.Stats().UsedTokens(), qt.Equals, 0)
	})
}

func TestEngineCrashesWhenOverloadedCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := NewEngine("engine-1", WithColdLimit(NewLoad(2, 0), 1), WithDowntime(5*time.Second))
		before := e.Incarnation()
		first, second := background(e, "e1-1.1", "one", 100), background(e, "e1-2.1", "two", 100)
		time.Sleep(100 * time.Millisecond)
		c.Assert(e.Stats().Overloads(), qt.Equals, 0)
		third := background(e, "e1-3.1", "three", 100)
		for _, done := range []<-chan result{first, second, third} {
			c.Assert((<-done).aborted, qt.IsTrue)
		}
		c.Assert(e.Stats().Overloads(), qt.Equals, 1)
		c.Assert(e.Stats().ColdPeak().Requests(), qt.Equals, 3)
		c.Assert(e.Incarnation(), qt.Not(qt.Equals), before)
		c.Assert(send(e, "GET", "/v1/load", "").aborted, qt.IsTrue)
		time.Sleep(5 * time.Second)
		res := send(e, "POST", "/v1/completions", completion("one", 1), "X-Incarnation", before)
		c.Assert(res.status, qt.Equals, http.StatusConflict)
		c.Assert((<-background(e, "e1-4.1", "four", 1)).body, qt.Contains, "[DONE]")

		// One completed answer makes the engine warm.
		var all []<-chan result
		for i := range 3 {
			all = append(all, background(e, fmt.Sprint("e1-5.", i), "five", 10))
		}
		for _, done := range all {
			c.Assert((<-done).body, qt.Contains, "[DONE]")
		}
		c.Assert(e.Stats().Overloads(), qt.Equals, 1)
	})
}

func TestEngineFaultsCorruptAnswers(t *testing.T) {
	tests := []struct {
		name  string
		fault Fault
		tail  string
		has   string
	}{
		{"truncated", Truncated(2, 1), "", `"index":1,`},
		{"misdelivered", Misdelivered(1), "data: [DONE]\n\n", `"id":"crossed-e1-1.1"`},
		{"delayed", Delayed(time.Hour, 1), "data: [DONE]\n\n", `"index":3,`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e := NewEngine("engine-1")
				e.Inject(test.fault)
				res := <-background(e, "e1-1.1", "one", 4)
				c.Assert(res.body, qt.Contains, test.has)
				c.Assert(strings.Contains(res.body, "[DONE]"), qt.Equals, test.tail != "")
				c.Assert(strings.HasSuffix(res.body, test.tail), qt.IsTrue)
				whole := <-background(e, "e1-2.1", "one", 4)
				c.Assert(strings.Count(whole.body, "data: "), qt.Equals, 6)
			})
		})
	}
}

func TestEngineServesHigherPriorityFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := NewEngine("engine-1")
		long := background(e, "e1-1.1", strings.Repeat("word", 100_000), 1)
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		send(e, "POST", "/v1/completions", completion(strings.Repeat("word", 600), 1), "X-Priority", "1")
		c.Assert(time.Since(start) < 100*time.Millisecond, qt.IsTrue)
		<-long
		c.Assert(time.Since(start) > 4*time.Second, qt.IsTrue)
	})
}

func TestEngineCommands(t *testing.T) {
	tests := []struct {
		name   string
		opts   []Option
		second int
	}{
		{"fencing", []Option{WithFencing()}, http.StatusPreconditionFailed},
		{"no fencing", nil, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e := NewEngine("engine-1", test.opts...)
				command := `{"fence":%d,"order":"load_model","model":"strip-%d"}`
				c.Assert(send(e, "POST", "/v1/orders", fmt.Sprintf(command, 7, 7)).status, qt.Equals, http.StatusOK)
				c.Assert(send(e, "POST", "/v1/orders", fmt.Sprintf(command, 6, 6)).status, qt.Equals, test.second)
				time.Sleep(time.Minute)
				load := send(e, "GET", "/v1/load", "").body
				c.Assert(strings.Contains(load, "strip-7"), qt.IsTrue)
				c.Assert(strings.Contains(load, "strip-6"), qt.Equals, test.second == http.StatusOK)
			})
		})
	}
}

func TestEngineImportsFromEngine(t *testing.T) {
	c := qt.New(t)
	prompt := strings.Repeat("word", 2_000)
	from := NewEngine("engine-1", WithStepTime(time.Millisecond), WithPrefillRate(1_000_000))
	server := httptest.NewServer(from)
	defer server.Close()
	to := NewEngine("engine-2", WithStepTime(time.Millisecond))
	done := background(from, "e1-1.1", prompt, 100_000)
	var export handleBody
	for export.Tokens <= 2_000 {
		send(from, "POST", "/v1/kv/free", `{"handle":"`+export.Handle+`"}`)
		json.Unmarshal([]byte(send(from, "POST", "/v1/kv/export", `{"id":"e1-1.1"}`).body), &export)
	}
	body, _ := json.Marshal(handleBody{Handle: export.Handle, From: strings.TrimPrefix(server.URL, "http://")})
	res := do(to, httptest.NewRequest("POST", "/v1/kv/import", bytes.NewReader(body)))
	c.Assert(res.status, qt.Equals, http.StatusOK)
	c.Assert(to.Stats().UsedTokens(), qt.Equals, export.Tokens)
	<-background(to, "e1-1.2", prompt, 1)
	c.Assert(to.Stats().ReusedTokens(), qt.Equals, 3*blockTokens)
	for _, e := range []*Engine{from, to} {
		send(e, "POST", "/v1/kv/free", string(body))
		send(e, "POST", "/v1/cancel", `{"id":"e1-1.1"}`)
		c.Assert(e.Stats().UsedTokens(), qt.Equals, 0)
	}
	<-done
}
