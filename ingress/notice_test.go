package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

// withHeader returns a response with another header line.
func withHeader(response, line string) string {
	return strings.Replace(response, "\r\n", "\r\n"+line+"\r\n", 1)
}

const leaving = "Leaving: 1"

// Guards against DRAIN: after any answer with which a server says that it leaves, no
// placement sends it another request, though the published list still has it as ready.
func TestLeavingServerGetsNoMoreRequests(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name, path, first string
	}{
		{"plain answer", "/again/", withHeader(fullResponse(200, "a"), leaving)},
		{"failure", "/once/", withHeader(fullResponse(500, "a"), leaving)},
		{"stream head", "/stream/", withHeader(streamResponse(streamBody(0), true), leaving)},
		{"refusal", "/once/", withHeader(refused, leaving)},
		{"stream that breaks off", "/stream/", withHeader(streamResponse("id: 1\ndata: 1\n\n", false), leaving)},
	} {
		c.Run(test.name, func(c *qt.C) {
			leaver := newBackend(c, test.first, fullResponse(200, "late"), fullResponse(200, "late"))
			answer := fullResponse(200, "other")
			if strings.HasPrefix(test.path, "/stream/") {
				answer = streamResponse(streamBody(0), true)
			}
			other := newBackend(c, answer, answer)
			b := newTestbedOn(c, leaver, leaver, other, leaver, other)
			b.scheduler.ids = []string{"s1", "s1", "s2", "s1", "s2"}
			for range 2 {
				response, _, err := b.do(b.request(http.MethodPost, test.path, "x"))
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode == http.StatusOK || response.StatusCode == http.StatusInternalServerError, qt.IsTrue)
			}
			c.Assert(leaver.seen(), qt.HasLen, 1)
		})
	}
}

// Guards against DRAIN: the answers to orders count as well, and a placement is made anew
// that was granted before the answer to its own order.
func TestLeavingPrefillWorkerIsReplaced(t *testing.T) {
	c := qt.New(t)
	first, second := newBackend(c, fullResponse(200, "first")), newBackend(c, fullResponse(200, "second"))
	b := newTestbedOn(c, first, second)
	b.scheduler.ids = []string{"s1", "s1"}
	b.scheduler.workers = []dispatch.PrefillWorker{dispatch.NewPrefillWorker("s2", "10.0.0.1:1", 5000)}
	b.reserver.response = upstream.ResponseMetadata{}.WithLeaving(true)
	b.scheduler.workersOnce = true
	response, body, _ := b.do(b.request(http.MethodPost, "/once/", "x"))
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, "second")
	c.Assert(first.seen(), qt.HasLen, 0)
	c.Assert(b.scheduler.ended()[0], qt.Equals, dispatch.OutcomeWithdrawn)
	c.Assert(b.scheduler.excluded, qt.DeepEquals, []string{"s2"}) // not the sound server
	for i := 0; b.reserver.count() > 0 && i < 100; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(b.reserver.count(), qt.Equals, 0)
}

// Guards against cutting off running requests: the stream of a server that leaves goes
// on to its end.
func TestLeavingServerFinishesItsStream(t *testing.T) {
	c := qt.New(t)
	text := streamBody(0)
	whole := withHeader(streamResponse(text, true), leaving)
	at := strings.Index(whole, "id: 3")
	server := newBackend(c, whole[:at]+silence+whole[at:])
	server.silenceTime = 100 * time.Millisecond
	b := newTestbedOn(c, server)
	_, body, err := b.do(b.request(http.MethodPost, "/stream/", "x"))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, text)
}

// Guards against a sound server that is not used: another incarnation that answers at the
// address says nothing about the one that was asked, nor an earlier one about a later.
func TestOnlyTheServerThatAnsweredIsLeaving(t *testing.T) {
	c := qt.New(t)
	b := newTestbedOn(c, newBackend(c))
	metadata := upstream.ResponseMetadata{}.WithLeaving(true)
	s1 := routing.NewIncarnation("s1", 0)
	b.server.noteResponse("a1", "desk", s1, metadata.WithNotRun(true, ""))
	c.Assert(b.view.Load().Usable("s1"), qt.IsTrue)
	b.server.noteResponse("a1", "desk", routing.NewIncarnation("s1", 7), metadata)
	c.Assert(b.view.Load().Usable("s1"), qt.IsTrue)
	b.server.noteResponse("a1", "desk", s1, metadata)
	c.Assert(b.view.Load().Usable("s1"), qt.IsFalse)
}

// Guards against BUDGET: a server that refuses a request for a time gets nothing until
// it is over, also not as a prefill worker, and then gets requests again.
func TestRefusingServerGetsNoRequestsForItsTime(t *testing.T) {
	c := qt.New(t)
	const wait = 300 * time.Millisecond
	refusing := newBackend(c, withHeader(refused, "Wait: "+wait.String()), fullResponse(200, "again"))
	other := newBackend(c, fullResponse(200, "other"), fullResponse(200, "other"))
	b := newTestbedOn(c, refusing, refusing, other, refusing, other, refusing)
	b.scheduler.ids = []string{"s1", "s1", "s2", "s1", "s2", "s1"}
	start := time.Now()
	for range 2 {
		_, body, _ := b.do(b.request(http.MethodPost, "/once/", "x"))
		c.Assert(body, qt.Equals, "other")
	}
	c.Assert(refusing.seen(), qt.HasLen, 1)
	c.Assert(b.server.acceptsAll("s2", "s1"), qt.Equals, time.Since(start) >= wait)
	time.Sleep(wait - min(wait, time.Since(start)) + 50*time.Millisecond)
	c.Assert(b.server.acceptsAll("s2", "s1"), qt.IsTrue)
	_, body, _ := b.do(b.request(http.MethodPost, "/once/", "x"))
	c.Assert(body, qt.Equals, "again")
}

// acceptsAll reports whether the servers may get requests now.
func (s *Server) acceptsAll(ids ...string) bool {
	for _, id := range ids {
		if !s.views.View().Accepts(id, s.timers.Now()) {
			return false
		}
	}
	return true
}

// Guards against BUDGET and against callers that are held: once its only server has
// refused, callers are refused at once with the time that is left.
func TestCallersAreToldWhenServersReturn(t *testing.T) {
	c := qt.New(t)
	server := newBackend(c, withHeader(refused, "Wait: 5s"))
	b := newTestbedOn(c, server)
	view := routing.NewView(routing.NewRevision(0, 1), testTable(), map[string]routing.Server{"s1": routing.NewServer("s1", "desk", server.address, "a", 6)}, nil)
	b.view.Store(view.WithNotices(&b.scheduler.notices))
	scheduler := newLocalScheduler(view)
	scheduler.notices = &b.scheduler.notices
	b.server.scheduler = scheduler
	b.server.retryLimiter.budget = RetryBudget{} // the first request is not placed again
	for range 4 {
		response, _, _ := b.do(b.request(http.MethodPost, "/once/", "x"))
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "0.30")
		c.Assert(seconds > 4 && seconds < 8, qt.IsTrue, qt.Commentf("%v", seconds))
	}
	c.Assert(server.seen(), qt.HasLen, 1)
}

// Guards against load that is lost or counted at the wrong server: a stated load is reported
// with the server, but not that of another incarnation at its address.
func TestStatedLoadIsReported(t *testing.T) {
	c := qt.New(t)
	b := newTestbedOn(c)
	metadata := upstream.ResponseMetadata{}.WithLoad(upstream.NewServerLoad(7, 2, 12))
	s1 := routing.NewIncarnation("s1", 0)
	b.server.noteLoad("desk", s1, metadata.WithNotRun(true, ""))
	b.server.noteLoad("desk", s1, upstream.ResponseMetadata{})
	c.Assert(b.scheduler.loads, qt.HasLen, 0)
	b.server.noteLoad("desk", s1, metadata)
	c.Assert(b.scheduler.loads, qt.HasLen, 1)
	load := b.scheduler.loads[0]
	c.Assert(load, qt.Equals, dispatch.NewObservedLoad("s1", 7, 2, load.At()))
}
