package ingress

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
	"greengagedock.example/endlesstest"
)

// newEndlessBackend returns a server that answers with a beginning and then repeats a text
// until the entry closes the connection, which ended tells.
func newEndlessBackend(c *qt.C, beginning, repeated string) (b *backend, ended <-chan struct{}) {
	server := endlesstest.Serve(c, func(r *http.Request) string { return strings.ReplaceAll(beginning, "ID", r.Header.Get("Id")) }, repeated)
	return &backend{address: server.Address()}, server.Ended()
}

// endlessHeads are answers whose head does not end, or that never come.
var endlessHeads = map[string][2]string{
	"status line":         {"HTTP/1.1 200 ", "x"},
	"header lines":        {"HTTP/1.1 200 X\r\nId: ID\r\n", "A: b\r\n"},
	"one header line":     {"HTTP/1.1 200 X\r\nId: ID\r\nA: ", "b"},
	"no protocol":         {"", "\x00"},
	"blank lines":         {"", "\r\n"},
	"informational":       {"", "HTTP/1.1 103 X\r\n\r\n"},
	"other answers":       {"", "HTTP/1.1 200 X\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
	"other answer's body": {"HTTP/1.1 200 X\r\nId: other\r\n\r\n", "x"},
	"other answer's part": {"HTTP/1.1 200 X\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
}

// endlessBodies are answers whose body does not end and is none of the protocol.
var endlessBodies = map[string][2]string{
	"chunk header":    {"HTTP/1.1 200 X\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension": {"HTTP/1.1 200 X\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailer":         {"HTTP/1.1 200 X\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
}

// endlessStreams are streams that go on without an event that is new to the caller.
var endlessStreams = map[string][2]string{
	"one event":      {"HTTP/1.1 200 X\r\nId: ID\r\n\r\nid: 1\ndata: ", "x"},
	"comments":       {"HTTP/1.1 200 X\r\nId: ID\r\n\r\n", ":\n\n"},
	"events, no ids": {"HTTP/1.1 200 X\r\nId: ID\r\n\r\nid: 1\ndata: 1\n\n", "data: x\n\n"},
	"one id":         {"HTTP/1.1 200 X\r\nId: ID\r\n\r\n", "id: 1\ndata: 1\n\n"},
	"other bytes":    {"HTTP/1.1 200 X\r\nId: ID\r\n\r\n", "\x00"},
}

const (
	// maxEndlessTime is the time after which an entry has done with a server that sends
	// without end: far less than the time of the callers.
	maxEndlessTime = 700 * time.Millisecond
	// maxEndlessAllocation is what one such answer may make an entry allocate.
	maxEndlessAllocation = 8 << 20
)

// Guards against answers without end, of which a few use up the memory of an entry: the
// connection is closed, the server is reported, a call that may be repeated is answered
// by another server and one that may not is answered at once that it may have run.
func TestAnswersWithoutEndAreEnded(t *testing.T) {
	c := qt.New(t)
	check := func(name, path string, answer [2]string, whole string, status int) {
		c.Run(name+" "+path, func(c *qt.C) {
			first, ended := newEndlessBackend(c, answer[0], answer[1])
			b := newTestbedOn(c, first, newBackend(c, whole))
			start := time.Now()
			allocated := endlesstest.Allocated(func() {
				response, _, err := b.do(b.request(http.MethodPost, path, "x"))
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, status)
				<-ended
			})
			c.Assert(time.Since(start) < maxEndlessTime, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			c.Assert(allocated < maxEndlessAllocation, qt.IsTrue, qt.Commentf("%d bytes", allocated))
			c.Assert(b.scheduler.ended()[0], qt.Equals, dispatch.OutcomeBroken)
		})
	}
	plain, stream := fullResponse(http.StatusOK, "whole"), streamResponse(threeEvents, true)
	for name, answer := range endlessHeads {
		check(name, "/once/", answer, plain, http.StatusBadGateway)
		check(name, "/again/", answer, plain, http.StatusOK)
		check(name, "/stream/", answer, stream, http.StatusOK)
	}
	for name, answer := range endlessBodies {
		check(name, "/once/", answer, plain, http.StatusBadGateway)
		check(name, "/again/", answer, plain, http.StatusOK)
	}
	for name, answer := range endlessStreams {
		check(name, "/stream/", answer, stream, http.StatusOK)
	}
}

// Guards against callers that wait for the body of a refusal, and against refusals whose
// body does not end.
func TestBodyOfRefusalIsNotAwaited(t *testing.T) {
	c := qt.New(t)
	const head = "HTTP/1.1 503 X\r\nId: ID\r\nRefused: 1\r\n"
	for name, answer := range map[string][2]string{
		"endless":  {head + "\r\n", "x"},
		"chunked":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"unframed": {head + "\r\nsome", ""},
		"partly":   {head + "Content-Length: 100\r\n\r\nsome", ""},
	} {
		c.Run(name, func(c *qt.C) {
			var first *backend
			var ended <-chan struct{}
			if answer[1] != "" {
				first, ended = newEndlessBackend(c, answer[0], answer[1])
			} else {
				first = newBackend(c, answer[0]+silence)
				first.silenceTime = time.Second
			}
			b := newTestbedOn(c, first, newBackend(c, fullResponse(http.StatusOK, "whole")))
			start := time.Now()
			response, _, err := b.do(b.request(http.MethodPost, "/once/", "x"))
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
			if ended != nil {
				<-ended
			}
			c.Assert(time.Since(start) < maxEndlessTime, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		})
	}
}

// Guards against a connection that is held by a plain answer of a service that goes on
// without end: the caller's answer is cut off.
func TestLongestAnswerWithoutLengthIsCutOff(t *testing.T) {
	c := qt.New(t)
	first, ended := newEndlessBackend(c, "HTTP/1.1 200 X\r\nId: ID\r\n\r\n", "x")
	b := newTestbedOn(c, first)
	_, body, err := b.do(b.request(http.MethodPost, "/again/", "x"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(len(body) <= maxUnframedBytes, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
	<-ended
	c.Assert(b.scheduler.ended(), qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeBroken})
}
