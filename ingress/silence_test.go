package ingress

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
)

// silentStream is a stream whose server is silent after its first event.
func silentStream() string {
	first := "id: 1\ndata: a\n\n"
	head, _, _ := strings.Cut(streamResponse("", false), "0\r\n")
	chunk := func(text string) string { return strings.TrimPrefix(streamResponse(text, false), head) }
	return head + chunk(first) + silence + chunk(strings.TrimPrefix(threeEvents, first)) + "0\r\n\r\n"
}

// Guards against LOST: a sound server that is silent for a second or so goes on with its
// stream, and no other server takes the request meanwhile.
func TestStreamOutlivesShortSilence(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, silentStream()))
	_, body, err := b.do(b.request("POST", "/stream/patient/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
	c.Assert(b.scheduler.outcomes, qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeComplete})
}

// Guards against LOST: the server that takes over a silent one's stream fails, refuses
// or is silent itself, and the first server goes on.
func TestStreamOutlivesShortSilenceBesideFailedRetry(t *testing.T) {
	t.Parallel()
	for name, second := range map[string]string{"no answer": "", "cut before an event": streamResponse("id: 2\nda", false), "refused": refused, "silent": hang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := newTestbed(t, newBackend(c, silentStream()), newBackend(c, second))
			_, body, err := b.do(b.request("POST", "/stream/patient/", ""))
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, threeEvents)
		})
	}
}

// Guards against LOST: a server that is silent before its first byte answers, while no
// other server takes the request.
func TestAnswerOutlivesShortSilence(t *testing.T) {
	t.Parallel()
	for path, step := range map[string]string{"/stream/": streamResponse(threeEvents, true), "/again/": fullResponse(200, "late")} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := newTestbed(t, newBackend(c, silence+step))
			response, _, err := b.do(b.request("POST", path, ""))
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

// A stream whose server is silent for good goes on at another one.
func TestStreamOfSilentServerResumesElsewhere(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	first := newBackend(c, silentStream())
	first.silenceTime = 10 * time.Second // beyond the route's timeout
	second := newBackend(c, streamResponse(threeEvents[strings.Index(threeEvents, "id: 2"):], true))
	b := newTestbed(t, first, second)
	_, body, err := b.do(b.request("POST", "/stream/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
	c.Assert(second.seen()[0], qt.Contains, "after=1")
}
