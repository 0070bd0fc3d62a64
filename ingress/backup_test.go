package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
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
	for i := range 40 {
		events += fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 900_000))
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
