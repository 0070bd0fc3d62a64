package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
)

const (
	testStall = 150 * time.Millisecond
	// silenceTime is longer than a few stall timeouts.
	silenceTime = 4 * testStall
)

// silentEngine returns an engine that is silent for a time before event number at of its
// response, and then goes on.
func silentEngine(tokens, at int, silence time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/cancel" {
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
		w.Header().Set("X-Request-Id", id)
		for n, event := range strings.SplitAfter(fakeStream(id, from, tokens), "\n\n") {
			if n == at {
				select {
				case <-time.After(silence):
				case <-r.Context().Done():
					return
				}
			}
			io.WriteString(w, event)
			w.(http.Flusher).Flush()
		}
	}
}

// secondServers are servers that fail to take over from a silent one.
var secondServers = map[string]http.HandlerFunc{
	"refuses": respondWith(http.StatusTooManyRequests, nil, func(string) string { return "" }),
	"fails":   respondWith(http.StatusInternalServerError, nil, func(string) string { return "" }),
	"rejects": respondWith(http.StatusBadRequest, nil, func(string) string { return "" }),
	"is cut off": func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	},
	"is silent": silentEngine(3, 0, time.Hour),
}

// Guards against a stream that is ended with an error although its server, silent for a
// short time, would have gone on, and no other server exists.
func TestStreamOutlivesShortSilence(t *testing.T) {
	t.Parallel()
	for at := range 5 {
		t.Run(fmt.Sprintf("before event %d", at), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := newTestEntry(t, Limits{}.WithStallTimeouts(0, testStall), newFakeServer(t, "engine-1", "strip", silentEngine(3, at, silenceTime)))
			_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine", "X-Time-Left", (silenceTime * 3 / 2).String())
			c.Assert(text, qt.Equals, fakeStream("mine", 0, 3))
			c.Assert(e.slots.waitReleased(t, 1), qt.DeepEquals, []string{"engine-1 finished"})
		})
	}
}

// Guards against the same when the server that is to take over fails or is silent too.
func TestStreamOutlivesShortSilenceBesideFailedBackup(t *testing.T) {
	t.Parallel()
	for name, second := range secondServers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := newTestEntry(t, Limits{}.WithStallTimeouts(0, testStall),
				newFakeServer(t, "engine-1", "strip", silentEngine(3, 1, silenceTime)), newFakeServer(t, "engine-2", "strip", second))
			_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine")
			c.Assert(text, qt.Equals, fakeStream("mine", 0, 3))
			released := e.slots.waitReleased(t, 2)
			c.Assert(released, qt.HasLen, 2)
			c.Assert(released, qt.Contains, "engine-1 finished")
		})
	}
}

// Guards against an unstreamed completion that fails although its server, silent for a
// short time within the body, would have gone on.
func TestCompletionOutlivesShortSilence(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	halves := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/cancel" {
			return
		}
		id := r.Header.Get("X-Request-Id")
		text := fmt.Sprintf(`{"id":%q,"usage":{"completion_tokens":1}}`, id)
		w.Header().Set("X-Request-Id", id)
		io.WriteString(w, text[:9])
		w.(http.Flusher).Flush()
		time.Sleep(silenceTime)
		io.WriteString(w, text[9:])
	}
	e := newTestEntry(t, Limits{}.WithStallTimeouts(0, testStall), newFakeServer(t, "engine-1", "strip", halves))
	response, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, strings.Replace(streamed, "true", "false", 1), "X-Request-Id", "mine")
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(text, qt.Equals, `{"id":"mine","usage":{"completion_tokens":1}}`)
}

// A response whose server is silent for good comes from another server, once.
func TestSilentServerIsReplaced(t *testing.T) {
	t.Parallel()
	whole := &fakeEngine{tokens: 3}
	for at := range 5 {
		t.Run(fmt.Sprintf("before event %d", at), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := newTestEntry(t, Limits{}.WithStallTimeouts(0, testStall),
				newFakeServer(t, "engine-1", "strip", silentEngine(3, at, time.Hour)), newFakeServer(t, "engine-2", "strip", whole.serve))
			_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine", "X-Time-Left", "2s")
			c.Assert(text, qt.Equals, fakeStream("mine", 0, 3))
			c.Assert(e.slots.waitReleased(t, 2), qt.ContentEquals, []string{"engine-1 cancelled", "engine-2 finished"})
		})
	}
}

// The work of a backup is cancelled when the silent server goes on.
func TestBackupIsCancelledWhenServerGoesOn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := newTestEntry(t, Limits{}.WithStallTimeouts(0, testStall),
		newFakeServer(t, "engine-1", "strip", silentEngine(3, 1, silenceTime)), newFakeServer(t, "engine-2", "strip", silentEngine(3, 0, time.Hour)))
	_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine")
	c.Assert(text, qt.Equals, fakeStream("mine", 0, 3))
	c.Assert(e.slots.waitReleased(t, 2), qt.ContentEquals, []string{"engine-1 finished", "engine-2 cancelled"})
	c.Assert(e.slots.requests[1].Avoid(), qt.DeepEquals, []string{"engine-1"})
}

// Guards against waiting for two silent servers to the deadline, such as after the loss
// of a failure domain.
func TestBackupOfSilentBackup(t *testing.T) {
	t.Parallel()
	whole := &fakeEngine{tokens: 3}
	for at := range 2 {
		t.Run(fmt.Sprintf("before event %d", at), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := newTestEntry(t, Limits{}.WithStallTimeouts(0, testStall),
				newFakeServer(t, "engine-1", "strip", silentEngine(3, at, time.Hour)),
				newFakeServer(t, "engine-2", "strip", silentEngine(3, 0, time.Hour)),
				newFakeServer(t, "engine-3", "strip", whole.serve))
			_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine", "X-Time-Left", "4s")
			c.Assert(text, qt.Equals, fakeStream("mine", 0, 3))
			c.Assert(e.slots.waitReleased(t, 3), qt.ContentEquals, []string{"engine-1 cancelled", "engine-2 cancelled", "engine-3 finished"})
		})
	}
}

// Guards against a slot that stays taken, or a request that is not ended, when the caller
// leaves while a backup is open.
func TestCallerLeavesDuringBackup(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := newTestEntry(t, Limits{}.WithStallTimeouts(0, testStall),
		newFakeServer(t, "engine-1", "strip", silentEngine(3, 1, time.Hour)), newFakeServer(t, "engine-2", "strip", silentEngine(3, 0, time.Hour)))
	ctx, leave := context.WithTimeout(context.Background(), silenceTime)
	defer leave()
	request, err := http.NewRequestWithContext(ctx, "POST", e.url+"/v1/completions", strings.NewReader(streamed))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+agencyKey)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	c.Assert(err, qt.IsNotNil)
	c.Assert(e.slots.waitReleased(t, 2), qt.ContentEquals, []string{"engine-1 cancelled", "engine-2 cancelled"})
	c.Assert(e.OpenRequests(), qt.Equals, 0)
}

// Guards against any race between a silent server that goes on and its backups: the
// response is whole, without a missing or a repeated token, and each slot is released once.
func TestSilentServersNeverLoseTokens(t *testing.T) {
	t.Parallel()
	const tokens = 6
	for seed := range 200 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			random := rand.New(rand.NewPCG(7, uint64(seed)))
			stall := 20 * time.Millisecond
			servers := []backend.Server{newFakeServer(t, "engine-0", "strip", silentEngine(tokens, random.IntN(tokens+2), 3*stall))}
			for n := range random.IntN(4) {
				handler := silentEngine(tokens, random.IntN(tokens+2), time.Duration(random.Int64N(int64(4*stall))))
				switch random.IntN(4) {
				case 0:
					handler = (&fakeEngine{tokens: tokens, truncateAt: 1 + random.IntN(200)}).serve
				case 1:
					handler = secondServers[[]string{"refuses", "fails", "rejects", "is cut off", "is silent"}[random.IntN(5)]]
				}
				servers = append(servers, newFakeServer(t, fmt.Sprintf("engine-%d", n+1), "strip", handler))
			}
			e := newTestEntry(t, Limits{}.WithStallTimeouts(0, stall), servers...)
			_, text := e.mustDo(t, "POST", "/v1/completions", agencyKey, streamed, "X-Request-Id", "mine")
			c.Assert(text, qt.Equals, fakeStream("mine", 0, tokens))
			granted := 0
			e.slots.mu.Lock()
			for _, request := range e.slots.requests {
				if len(request.Avoid()) < len(servers) {
					granted++
				}
			}
			e.slots.mu.Unlock()
			c.Assert(e.slots.waitReleased(t, granted), qt.HasLen, granted)
		})
	}
}
