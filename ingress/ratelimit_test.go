package ingress

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

// Guards against LIMIT: what the answers of a server state of its rate limit, in any order
// in which they arrive.
func TestRateLimitFollowsAnswers(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c))
	server := routing.NewIncarnation("s1", 0)
	limit := func() float64 { return b.server.views.View().RateLimit(server).PerSecond() }
	answer := func(sentAt time.Time, metadata upstream.ResponseMetadata) {
		b.server.noteResponse("r", "desk", server, metadata)
		b.server.noteUnlimited("r", "desk", server, sentAt, metadata)
	}
	var none upstream.ResponseMetadata
	early := time.Now()
	time.Sleep(2 * time.Millisecond)
	answer(early, none.WithRateLimit(2))
	c.Assert(limit(), qt.Equals, 2.0)
	answer(early, none) // of a request sent before
	c.Assert(limit(), qt.Equals, 2.0)
	late := time.Now().Add(time.Millisecond)
	answer(late, none.WithRateLimitProblem("no number"))
	c.Assert(limit(), qt.Equals, 2.0)
	answer(late, none.WithNotRun(true, ""))
	c.Assert(limit(), qt.Equals, 2.0) // of another incarnation
	time.Sleep(2 * time.Millisecond)
	answer(late, none.WithRateLimit(3.5))
	c.Assert(limit(), qt.Equals, 3.5)
	answer(time.Now().Add(time.Millisecond), none)
	c.Assert(limit(), qt.Equals, 0.0)
	time.Sleep(2 * time.Millisecond)
	answer(time.Now(), none.WithRateLimit(0))
	c.Assert(limit() > 0 && limit() < 1, qt.IsTrue)
}

// Guards against LIMIT: a failure, a refusal, a stream and the answer to an order state a
// limit as well as a plain answer does.
func TestEveryAnswerStatesTheRateLimit(t *testing.T) {
	c := qt.New(t)
	const line = "Limit: 2"
	for name, test := range map[string]struct{ path, step string }{
		"plain":   {"/once/", withHeader(fullResponse(http.StatusOK, "a"), line)},
		"failure": {"/once/", withHeader(fullResponse(http.StatusInternalServerError, "a"), line)},
		"refusal": {"/once/", withHeader(refused, line)},
		"stream":  {"/stream/", withHeader(streamResponse(streamBody(0), true), line)},
		"cut off": {"/stream/", withHeader(streamResponse("id: 1\ndata: 1\n\n", false), line)},
	} {
		b := newTestbed(t, newBackend(c, test.step))
		_, _, _ = b.do(b.request(http.MethodPost, test.path, "x"))
		c.Assert(b.server.views.View().RateLimit(routing.NewIncarnation("s1", 0)).PerSecond(), qt.Equals, 2.0, qt.Commentf(name))
	}
}
