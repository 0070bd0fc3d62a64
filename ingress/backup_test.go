package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagedock.example/dispatch"
	"greengagedock.example/flagtest"
)

// Guards against BUDGET: the servers that run one request, the silent one included, stay
// within the two attempts of the route when backups fail.
func TestFailedBackupsStayWithinAttempts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	first := newBackend(c, silentStream())
	first.silenceTime = 200 * time.Millisecond
	backends := []*backend{first}
	for range 3 {
		backends = append(backends, newBackend(c, streamResponse("id: 2\nda", false)))
	}
	b := newTestbed(t, backends...)
	b.server.minSilence = fuzzSilenceTimeout
	_, body, err := b.do(b.request("POST", "/stream/quick/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
	ran := 0
	for _, backend := range backends {
		ran += len(backend.seen())
	}
	c.Assert(ran, qt.Equals, 2)
}

// Guards against MIXED: a response over maxBufferedBytes that is cut off after a part of
// it was forwarded is not continued with the bytes of another server.
func TestLongResponseIsNotContinuedByAnotherServer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const length, missing = maxBufferedBytes + 40_000, 20_000
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", length)
	first := newBackend(c, head+strings.Repeat("a", length-missing))
	second := newBackend(c, fullResponse(http.StatusOK, strings.Repeat("b", missing)))
	b := newTestbed(t, first, second)
	_, body, err := b.do(b.request("POST", "/again/", ""))
	c.Assert(err, qt.IsNotNil)
	c.Assert(strings.Contains(body, "b"), qt.IsFalse)
	c.Assert(second.seen(), qt.HasLen, 0)
}

// A caller that reads slowly does not make its server look silent.
func TestSlowCallerIsNoSilence(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	events := ""
	for i := range 180 {
		events += fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 200_000))
	}
	second := newBackend(c, streamResponse(threeEvents, true))
	b := newTestbed(t, newBackend(c, streamResponse(events, true)), second)
	b.server.minSilence = 50 * time.Millisecond
	response, err := http.DefaultClient.Do(b.request("POST", "/stream/quick/", ""))
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	time.Sleep(600 * time.Millisecond)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(second.seen(), qt.HasLen, 0)
	c.Assert(b.scheduler.ended(), qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeComplete})
}

// Guards against LOST: a silent server that ends its stream within an event does not end
// the backup beside it.
func TestBackupOutlivesPartialEvent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	head, _, _ := strings.Cut(streamResponse("", false), "0\r\n")
	chunk := func(text string) string { return strings.TrimPrefix(streamResponse(text, false), head) }
	first := newBackend(c, head+chunk("id: 1\ndata: a\n\n")+silence+chunk("id: 2\nda")+"0\r\n\r\n")
	first.silenceTime = 100 * time.Millisecond
	second := newBackend(c, silence+streamResponse(threeEvents[strings.Index(threeEvents, "id: 2"):], true))
	second.silenceTime = 200 * time.Millisecond
	b := newTestbed(t, first, second)
	b.server.minSilence = 20 * time.Millisecond
	_, body, err := b.do(b.request("POST", "/stream/quick/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
}

// panickingScheduler panics at the placement of a backup.
type panickingScheduler struct {
	*fakeScheduler
	calls atomic.Int64
}

func (s *panickingScheduler) Acquire(ctx context.Context, request dispatch.Request) (dispatch.Grant, error) {
	if s.calls.Add(1) > 1 {
		panic("backup")
	}
	return s.fakeScheduler.Acquire(ctx, request)
}

// A panic in a backup, which runs beside the handler's goroutine, ends that backup alone.
func TestPanicInBackupIsContained(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	first := newBackend(c, silentStream())
	first.silenceTime = 100 * time.Millisecond
	b := newTestbed(t, first)
	b.server.scheduler = &panickingScheduler{fakeScheduler: b.scheduler}
	b.server.minSilence = 20 * time.Millisecond
	_, body, err := b.do(b.request("POST", "/stream/quick/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
}

// retriesCounted returns how many sends the retry budget counts.
func (l *retryLimiter) retriesCounted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, usage := range l.services {
		for _, retries := range usage.retries {
			n += retries
		}
	}
	return n
}

// A backup that was never sent costs no retry budget: others need it while a failure
// domain is silent.
func TestUnplacedBackupsCostNoRetryBudget(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	first := newBackend(c, silentStream())
	first.silenceTime = 200 * time.Millisecond
	b := newTestbed(t, first)
	b.server.minSilence = fuzzSilenceTimeout
	_, body, err := b.do(b.request("POST", "/stream/quick/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
	c.Assert(b.server.retryLimiter.retriesCounted(), qt.Equals, 0)
}

// A backup that is sent costs one retry, and none is sent without budget.
func TestBackupsStayWithinRetryBudget(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for budget, want := range map[int]int{100: 1, 0: 0} {
		first := newBackend(c, silentStream())
		first.silenceTime = 100 * time.Millisecond
		second := newBackend(c, hang)
		b := newTestbed(t, first, second)
		b.server.retryLimiter.budget = NewRetryBudget(0, budget, 10*time.Second)
		b.server.minSilence = 20 * time.Millisecond
		_, body, err := b.do(b.request("POST", "/stream/quick/", ""))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, threeEvents)
		c.Assert(second.seen(), qt.HasLen, want)
		c.Assert(b.server.retryLimiter.retriesCounted(), qt.Equals, want)
	}
}

// Guards against LOST: a backup that is silent as well is followed by another one where the
// route allows it.
func TestSilentBackupIsFollowedByAnother(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	third := newBackend(c, streamResponse(threeEvents, true))
	b := newTestbed(t, newBackend(c, hang), newBackend(c, hang), third)
	b.server.minSilence = 50 * time.Millisecond
	response, body, err := b.do(b.request("POST", "/stream/thrice/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, threeEvents)
}

// A server that stays silent is reported to the scheduler, also while its backup waits.
func TestLastingSilenceIsReported(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	first := newBackend(c, silentStream())
	first.silenceTime = 300 * time.Millisecond
	b := newTestbed(t, first, newBackend(c, hang))
	b.server.minSilence = 20 * time.Millisecond
	_, body, err := b.do(b.request("POST", "/stream/quick/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
	b.scheduler.mu.Lock()
	defer b.scheduler.mu.Unlock()
	c.Assert(b.scheduler.faults, qt.DeepEquals, []string{first.address})
}

// Guards against TWICE: a request that must not be repeated has no backup, however long its
// server is silent.
func TestNonIdempotentRequestHasNoBackup(t *testing.T) {
	t.Parallel()
	for path, answer := range map[string]string{"/once/": fullResponse(http.StatusOK, "late"), "/stream/fixed/": streamResponse(threeEvents, true)} {
		c := qt.New(t)
		first, second := newBackend(c, silence+answer), newBackend(c, answer)
		first.silenceTime = 1300 * time.Millisecond // over half of the route's timeout
		b := newTestbed(t, first, second)
		b.server.minSilence = 20 * time.Millisecond
		r := b.request("POST", path, "")
		response, _, err := b.do(r)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(second.seen(), qt.HasLen, 0)
	}
}

// A backup that was sent may have run, also if it is given up at the deadline: the caller
// is not told that its request has not run.
func TestBackupGivenUpAtDeadlineMayHaveRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	second := newBackend(c, hang)
	b := newTestbed(t, newBackend(c, silence+refused), second)
	b.server.minSilence = 20 * time.Millisecond
	r := b.request("POST", "/again/", "")
	r.Header.Set("Left", "400ms")
	response, _, err := b.do(r)
	c.Assert(err, qt.IsNil)
	c.Assert(second.seen(), qt.HasLen, 1)
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
}

// countingScheduler counts the placements that were granted and those that ended.
type countingScheduler struct {
	*fakeScheduler
	mu             sync.Mutex
	granted, ended map[string]int
}

func (s *countingScheduler) Acquire(ctx context.Context, request dispatch.Request) (dispatch.Grant, error) {
	grant, err := s.fakeScheduler.Acquire(ctx, request)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.granted[grant.ID()]++
	}
	return grant, err
}

func (s *countingScheduler) Ended(service, id string, outcome dispatch.Outcome) {
	s.mu.Lock()
	s.ended[id]++
	s.mu.Unlock()
	s.fakeScheduler.Ended(service, id, outcome)
}

// settled reports whether each placement ended, and all memory is released.
func (b *testbed) settled(s *countingScheduler) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.granted) == len(s.ended) && b.server.OpenRequests() == 0 && b.reserver.count() == 0
}

// Whoever answers, breaks off, is silent or leaves: each placement ends once, its memory is
// released.
func TestPlacementsOfSilentServersEndOnce(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "1")
	flagtest.SetDefault(t, "rapid.checks", "200")
	c := qt.New(t)
	whole, cut := streamResponse(threeEvents, true), streamResponse("id: 1\ndata: a\n\nid: 2\nda", false)
	answers := []string{whole, silentStream(), silence + silentStream(), refused, silence + refused, "", silence, hang, cut, fullResponse(500, "no")}
	rapid.Check(t, func(t *rapid.T) {
		var backends []*backend
		for range rapid.IntRange(1, 4).Draw(t, "servers") {
			b := newBackend(c, rapid.SampledFrom(answers).Draw(t, "answer"))
			b.silenceTime = time.Duration(rapid.IntRange(1, 20).Draw(t, "silence ms")) * time.Millisecond
			backends = append(backends, b)
		}
		b := newTestbedOn(c, backends...)
		defer b.http.Close()
		b.scheduler.workers = []dispatch.PrefillWorker{dispatch.NewPrefillWorker("w", "w:1", 5)}
		s := &countingScheduler{fakeScheduler: b.scheduler, granted: make(map[string]int), ended: make(map[string]int)}
		b.server.scheduler = s
		b.server.minSilence = fuzzSilenceTimeout
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rapid.IntRange(1, 60).Draw(t, "patience ms"))*time.Millisecond)
		defer cancel()
		r := b.request("POST", "/stream/quick/", "x").WithContext(ctx)
		if rapid.Bool().Draw(t, "short time") {
			r.Header.Set("Left", "45ms")
		}
		if response, err := http.DefaultClient.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body) // may be cut off
			response.Body.Close()
		}
		cancel()
		for end := time.Now().Add(2 * time.Second); !b.settled(s) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if !b.settled(s) {
			s.mu.Lock()
			defer s.mu.Unlock()
			t.Fatalf("granted %v, ended %v, %d open, %d reserved", s.granted, s.ended, b.server.OpenRequests(), b.reserver.count())
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for id, n := range s.ended {
			if n != 1 {
				t.Fatalf("placement %s ended %d times", id, n)
			}
		}
	})
}
