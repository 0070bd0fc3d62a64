package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
	"greengagedock.example/standin"
)

// groupSlots allocates the memory of a few engines to whoever asks first. Its
// leases are not exclusive, as in a network partition.
type groupSlots struct {
	mu      sync.Mutex
	servers []backend.Server
	used    map[string]int
	held    map[string]int // tokens by attempt
	random  *rand.Rand
}

// groupMemory is the KV memory of each engine in tokens.
const groupMemory = 1600

func (s *groupSlots) Acquire(ctx context.Context, request backend.SlotRequest) (backend.Slot, error) {
	for {
		if slot, ok := s.try(request); ok {
			return slot, nil
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return backend.Slot{}, ctx.Err()
		}
	}
}

func (s *groupSlots) try(request backend.SlotRequest) (backend.Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	startBy := time.Now().Add(backend.StartWindow)
	if request.Workload().IsGroupLease() {
		s.held[request.ID()] = 0
		return backend.NewSlot(request, "e1", backend.Server{}, "", startBy), true
	}
	for _, i := range s.random.Perm(len(s.servers)) {
		server := s.servers[i]
		after := s.used[server.ID()] + request.Cost().Tokens()
		if after <= groupMemory && !slices.Contains(request.Avoid(), server.ID()) {
			s.used[server.ID()] = after
			s.held[request.ID()] = request.Cost().Tokens()
			return backend.NewSlot(request, "e1", server, "", startBy), true
		}
	}
	return backend.Slot{}, false
}

func (s *groupSlots) Crashed(backend.Slot) {}

func (s *groupSlots) Settled(backend.Slot) {}

func (s *groupSlots) Refused(backend.Slot, time.Duration) {}

func (s *groupSlots) Release(slot backend.Slot, _ backend.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, held := s.held[slot.ID()]
	if !held {
		panic("released twice: " + slot.ID())
	}
	delete(s.held, slot.ID())
	s.used[slot.Server()] -= tokens
}

// heldSlots returns the number of slots held.
func (s *groupSlots) heldSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// groupCluster is an entry in front of engines that share one slot allocator.
type groupCluster struct {
	slots   *groupSlots
	engines []*standin.Engine
	entry   *testEntry
}

func newGroupCluster(c testing.TB, limits Limits, engines int) *groupCluster {
	f := &groupCluster{slots: &groupSlots{
		used: make(map[string]int), held: make(map[string]int), random: rand.New(rand.NewPCG(1, 2)),
	}}
	for i := range engines {
		engine := standin.NewEngine(fmt.Sprint(i), standin.WithKVTokens(groupMemory), standin.WithTimeScale(20))
		f.engines = append(f.engines, engine)
		f.slots.servers = append(f.slots.servers, newFakeServer(c, fmt.Sprint(i), "strip", engine.ServeHTTP))
	}
	f.entry = newTestEntry(c, limits, f.slots.servers...)
	f.entry.Server.slots = f.slots
	f.entry.snapshot.documents = []*registry.Document{groupDocument(c)}
	return f
}

// groupDocument returns a document with an account that may send prompts larger
// than one engine's memory.
func groupDocument(c testing.TB) *registry.Document {
	document, err := registry.ParseDocument("test", []byte(`{
		"service": "strip", "team": "vineta", "version": 3, "priority": 5,
		"accounts": [{"name": "agency", "key_sha256": "`+hashOf(agencyKey)+`"}],
		"models": [{"name": "strip-1", "prompt_tokens": 4000, "answer_tokens": 100, "deadline": "20s"}],
		"backend_servers": {"cold": {"requests": 1, "tokens": 1600}, "warm": {"requests": 9, "tokens": 1600}, "warm_after": 2},
	}`))
	if err != nil {
		c.Fatal(err)
	}
	return document
}

// complete sends a prompt that needs two engines, and returns the response and
// the token that it must contain.
func (f *groupCluster) complete(name, timeLeft string) (status int, text, want string, err error) {
	prompt := name + strings.Repeat(" word", 2000)
	body := fmt.Sprintf(`{"model": "strip-1", "prompt": %q, "max_tokens": 20, "stream": true}`, prompt)
	response, text, err := f.entry.do("POST", "/v1/completions", agencyKey, body, "X-Time-Left", timeLeft)
	if err != nil {
		return 0, "", "", err
	}
	return response.StatusCode, text, standin.Sum(prompt).Token(19), nil
}

// waitReleased waits until no slot is held and no engine holds memory.
func (f *groupCluster) waitReleased(c *qt.C) {
	c.Helper()
	held := 0
	for range 1500 {
		held = f.slots.heldSlots()
		for _, engine := range f.engines {
			held += engine.Stats().UsedTokens() + engine.Stats().Requests()
		}
		if held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("still held: %d", held)
}

// Groups that no exclusive lease separates, as in a network partition, end in
// time with a whole response or a failure, and release all memory, even if
// engines restart or freeze.
func TestGroupsWithoutLeases(t *testing.T) {
	const timeLeft = 8 * time.Second
	for _, test := range []struct {
		name   string
		faults []standin.Fault
		whole  int // minimum number of whole responses
	}{
		{name: "no faults", whole: 1},
		{name: "restarts", faults: []standin.Fault{standin.Restarted(), standin.Restarted(), standin.Restarted()}},
		{name: "frozen", faults: []standin.Fault{standin.Frozen()}},
		{name: "truncated", faults: []standin.Fault{standin.Truncated(3, 1), standin.Truncated(3, 1)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newGroupCluster(c, Limits{}, 4)
			var sent sync.WaitGroup
			var mu sync.Mutex
			whole := 0
			for i := range 6 {
				sent.Go(func() {
					began := time.Now()
					status, text, want, err := f.complete(fmt.Sprint("archive ", i), timeLeft.String())
					c.Check(err, qt.IsNil)
					c.Check(time.Since(began) < timeLeft+2*time.Second, qt.IsTrue)
					answered := status == 200 && strings.Contains(text, "[DONE]")
					c.Check(!answered || strings.Contains(text, want), qt.IsTrue)
					c.Check(answered || strings.Contains(text, `"outcome"`), qt.IsTrue, qt.Commentf("%d %s", status, text))
					mu.Lock()
					defer mu.Unlock()
					if answered {
						whole++
					}
				})
			}
			for i, fault := range test.faults {
				time.Sleep(30 * time.Millisecond)
				f.engines[i].Inject(fault)
			}
			sent.Wait()
			for _, engine := range f.engines {
				engine.Inject(standin.Cleared())
			}
			f.waitReleased(c)
			c.Check(whole >= test.whole, qt.IsTrue)
			c.Logf("%d of 6 whole", whole)
		})
	}
}

// The messages of a chat are not split; those that no single server can hold
// are refused.
func TestChatPromptIsNotSplit(t *testing.T) {
	c := qt.New(t)
	f := newGroupCluster(c, Limits{}, 4)
	body := fmt.Sprintf(`{"model": "strip-1", "messages": [{"role": "user", "content": %q}], "max_tokens": 20}`, strings.Repeat(" word", 2000))
	response, text := f.entry.mustDo(c, "POST", "/v1/chat/completions", agencyKey, body)
	c.Assert(response.StatusCode, qt.Equals, 413)
	c.Assert(failureOf(c, text).Reason, qt.Equals, ReasonTooLarge)
	f.waitReleased(c)
}

// silentWriter is silent for a time before its nth write.
type silentWriter struct {
	http.ResponseWriter
	n int
}

func (w *silentWriter) Write(p []byte) (int, error) {
	w.n--
	if w.n == 0 {
		time.Sleep(silenceTime)
	}
	return w.ResponseWriter.Write(p)
}

func (w *silentWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *silentWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

// Guards against a group that gives up its memory, and fails for want of other servers,
// although the server of its last part, silent for a short time, would have gone on.
func TestGroupOutlivesShortSilence(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newGroupCluster(c, Limits{}.WithStallTimeouts(0, testStall), 2)
	reservations := atomic.Int32{}
	for i, engine := range f.engines {
		f.slots.servers[i] = newFakeServer(t, fmt.Sprint(i), "strip", func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/v1/kv/reserve":
				reservations.Add(1)
			case "/v1/completions":
				w = &silentWriter{w, 3}
			}
			engine.ServeHTTP(w, r)
		})
	}
	status, text, want, err := f.complete("archive", "10s")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(text, qt.Contains, "[DONE]", qt.Commentf("%s", text))
	c.Assert(text, qt.Contains, want)
	c.Assert(reservations.Load(), qt.Equals, int32(2))
	f.waitReleased(c)
}
