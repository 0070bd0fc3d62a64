package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/brokentest"
	"greengagedock.example/relaytest"
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

// uploadBytes is the length of a request's body that is written beside the reading of its answer.
const uploadBytes = 500_000

// wayToServer is how a request reaches its server.
type wayToServer struct {
	relayed bool
	reused  bool
}

// waysToServer are all of them.
var waysToServer = []wayToServer{{false, false}, {false, true}, {true, false}, {true, true}}

func (w wayToServer) String() string {
	return fmt.Sprintf("relayed=%v,reused=%v", w.relayed, w.reused)
}

// withLength returns a sound answer whose connection is kept.
func withLength(body string) brokentest.Answer {
	return brokentest.NewAnswer(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: sound\r\nContent-Length: %d\r\n\r\n%s", len(body), body), brokentest.Keep)
}

// brokenBed is an entry with a server that sends one answer, and another one that sends a sound
// answer to a request that is sent again.
type brokenBed struct {
	*testbed
	way wayToServer
}

// newBrokenBed returns a bed whose entry, or the one through which its requests are passed on,
// reaches the servers through a network.
func newBrokenBed(c *qt.C, way wayToServer, network upstream.Network, answer brokentest.Answer, repeated string) brokenBed {
	var requests atomic.Int64
	first := brokentest.Serve(c, withID(func() brokentest.Answer {
		if way.reused && requests.Add(1) == 1 {
			return withLength("earlier")
		}
		return answer
	}))
	second := brokentest.Serve(c, withID(func() brokentest.Answer { return withLength(repeated) }))
	atFirst, atSecond := &backend{address: first.Address()}, &backend{address: second.Address()}
	table := testTableWithin(routing.NewLimits(2000, 1<<20, 0, 0))
	b := brokenBed{newTestbedWithTable(c, table, atFirst, atFirst, atSecond), way}
	b.scheduler.ids = []string{"s1", "s1", "s3"}
	if way.relayed {
		network = relaytest.Serve(c, network)
	}
	b.server.client.SetNetwork(network)
	if !way.reused {
		b.scheduler.next = 1
		return b
	}
	response, body, err := b.do(b.request(http.MethodPost, "/once/", "x"))
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, "earlier")
	return b
}

// withID returns a function for brokentest.Serve whose answers carry the id of their request.
func withID(answer func() brokentest.Answer) func(r *http.Request) brokentest.Answer {
	return func(r *http.Request) brokentest.Answer { return answer().WithID(r.Header.Get("Id")) }
}

// ask sends a request, and checks that it took the way it should.
func (b brokenBed) ask(path, body string) (*http.Response, string, error) {
	b.c.Helper()
	r := b.request(http.MethodPost, path, body)
	r.Header.Set("Id", "a2")
	response, text, err := b.do(r)
	b.c.Assert(b.server.client.ConnectionsReused() == 1, qt.Equals, b.way.reused)
	return response, text, err
}

// checkBroken asks on a route, and checks that the caller gets nothing of the broken answer: an
// answer of another server if the request may be repeated, and else a failure that leaves open
// whether it ran.
func (b brokenBed) checkBroken(path, body, repeated string) {
	b.c.Helper()
	response, text, err := b.ask(path, body)
	b.c.Check(err, qt.IsNil)
	if path == "/once/" {
		b.c.Check(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%q", text))
		b.c.Check(response.Header.Get("Seal"), qt.Equals, "")
		return
	}
	b.c.Check(response.StatusCode, qt.Equals, http.StatusOK)
	b.c.Check(response.Header.Get("Seal"), qt.Equals, "sound")
	b.c.Check(text, qt.Equals, repeated)
}

// unframedHead is the head of an answer that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: broken\r\n\r\n"

// Guards against MIXED and ORDER: a server answers a long upload early, without a length, and
// resets the connection while the upload is being written. The part must not look whole, neither
// if the reset is reported to the writing of the request alone.
func TestPartBeforeResetOfUploadIsNotWhole(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	for _, way := range waysToServer {
		for _, end := range []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
			for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
				network := brokentest.NewNetwork(end, delay)
				for path, part := range map[string]string{"/once/": "part", "/again/": "part", "/stream/": "id: 1\ndata: 1\n\n"} {
					t.Run(fmt.Sprint(way, ",", end, ",", delay, path), func(t *testing.T) {
						answer := brokentest.NewAnswer(unframedHead+part, brokentest.Reset).Early()
						b := newBrokenBed(qt.New(t), way, network, answer, "whole")
						if path != "/stream/" {
							b.checkBroken(path, upload, "whole")
							return
						}
						_, _, err := b.ask(path, upload)
						b.c.Check(err, qt.IsNotNil)
					})
				}
			}
		}
	}
}

// Guards against MIXED: of a long answer a part is forwarded before the reset of its connection.
func TestLongPartBeforeResetOfUploadIsTruncated(t *testing.T) {
	upload, part := strings.Repeat("x", uploadBytes), strings.Repeat("y", maxBufferedBytes+50_000)
	for _, way := range waysToServer {
		t.Run(way.String(), func(t *testing.T) {
			c := qt.New(t)
			answer := brokentest.NewAnswer(unframedHead+part, brokentest.Reset).Early()
			b := newBrokenBed(c, way, brokentest.NewNetwork(syscall.ECONNRESET, 0), answer, "")
			response, text, err := b.ask("/once/", upload)
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
			c.Assert(err, qt.IsNotNil)
			c.Assert(strings.HasPrefix(part, text), qt.IsTrue)
		})
	}
}

// Guards against sound answers that are taken for broken: one without a length is whole if the
// request was written to its end, also if the answer came before that.
func TestAnswerWithoutLengthIsWholeOnceRequestIsWritten(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	for _, way := range waysToServer {
		for _, end := range []brokentest.End{brokentest.Close, brokentest.HalfClose} {
			for _, early := range []bool{false, true} {
				for path, body := range map[string]string{"/once/": "whole", "/again/": "whole", "/stream/": threeEvents} {
					t.Run(fmt.Sprint(way, ",", end, ",early=", early, path), func(t *testing.T) {
						c := qt.New(t)
						answer := brokentest.NewAnswer(strings.ReplaceAll(unframedHead, "broken", "sound")+body, end)
						if early {
							answer = answer.Early()
						}
						b := newBrokenBed(c, way, brokentest.NewNetwork(syscall.ECONNRESET, 0), answer, "repeated")
						response, text, err := b.ask(path, upload)
						c.Assert(err, qt.IsNil)
						c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
						c.Assert(text, qt.Equals, body)
					})
				}
			}
		}
	}
}

// maxBrokenTime is the time after which a caller knows of a broken answer: far less than its
// deadline.
const maxBrokenTime = 700 * time.Millisecond

// brokenLines are the lines in the head of each broken answer.
const brokenLines = "Id: ID\r\nSeal: broken\r\n"

// checkAllBroken checks that answers reach no caller, and that their callers wait for nothing,
// on each way and on routes of each kind.
func checkAllBroken(t *testing.T, answers map[string]string, end brokentest.End) {
	for name, text := range answers {
		for _, way := range waysToServer {
			for path, repeated := range map[string]string{"/once/": "", "/again/": "whole", "/stream/": threeEvents} {
				t.Run(fmt.Sprint(name, ",", way, path), func(t *testing.T) {
					c := qt.New(t)
					b := newBrokenBed(c, way, upstream.Dialer{}, brokentest.NewAnswer(text, end), repeated)
					start := time.Now()
					b.checkBroken(path, "x", repeated)
					c.Assert(time.Since(start) < maxBrokenTime, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				})
			}
		}
	}
}

// Guards against MIXED: an invalid status, or one that switches to another protocol, is taken for
// that of an interim answer, and the bytes behind it for the answer to the caller.
func TestAnswerWithInvalidStatusIsBroken(t *testing.T) {
	checkAllBroken(t, brokentest.InvalidStatuses(brokenLines), brokentest.Keep)
}

// Guards against sound answers that are taken for broken: interim answers may come before one,
// and a server may choose any status but those that promise that the request has not run.
func TestAnswerWithValidStatusIsForwarded(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 199 X\r\n\r\n"
	for _, way := range waysToServer {
		for _, status := range []int{200, 201, 204, 299, 302, 404, 500, 599} {
			for _, before := range []string{"", interim} {
				t.Run(fmt.Sprint(way, ",", status, ",", len(before)), func(t *testing.T) {
					c := qt.New(t)
					body, text := "whole", before
					if status == http.StatusNoContent {
						body = ""
						text += "HTTP/1.1 204 X\r\nId: ID\r\nSeal: sound\r\n\r\n"
					} else {
						text += fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\nSeal: sound\r\nContent-Length: 5\r\n\r\nwhole", status)
					}
					b := newBrokenBed(c, way, upstream.Dialer{}, brokentest.NewAnswer(text, brokentest.Keep), "")
					response, got, err := b.ask("/once/", "x")
					c.Assert(err, qt.IsNil)
					c.Assert(response.StatusCode, qt.Equals, status)
					c.Assert(response.Header.Get("Seal"), qt.Equals, "sound")
					c.Assert(got, qt.Equals, body)
				})
			}
		}
	}
}

// Guards against MIXED: a field with an invalid name is passed on, or the length or the encoding
// that it states is lost and the caller gets another body than the server's.
func TestAnswerWithInvalidFieldNameIsBroken(t *testing.T) {
	checkAllBroken(t, brokentest.InvalidFields(brokenLines), brokentest.Close)
}

// Guards against MIXED, the sizes of chunks as a part of the body: HTTP/1.0 has no encodings.
func TestAnswerOfHTTP10InChunksIsBroken(t *testing.T) {
	checkAllBroken(t, brokentest.EncodingsOfHTTP10(brokenLines), brokentest.Close)
}

// Guards against sound answers of HTTP/1.0 that are taken for broken, and against trailers that
// are passed on, of which a client may take one with a blank in its name for another.
func TestOtherFramingsAreForwarded(t *testing.T) {
	const fields = "200 OK\r\nId: ID\r\nSeal: sound\r\n"
	for name, text := range map[string]string{
		"1.0, length":    "HTTP/1.0 " + fields + "Content-Length: 5\r\n\r\nwhole",
		"1.0, no length": "HTTP/1.0 " + fields + "\r\nwhole",
		"trailers":       "HTTP/1.1 " + fields + "Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX: 1\r\nX Y: 1\r\nSeal : 2\r\n\r\n",
	} {
		for _, way := range waysToServer {
			t.Run(fmt.Sprint(name, ",", way), func(t *testing.T) {
				c := qt.New(t)
				b := newBrokenBed(c, way, upstream.Dialer{}, brokentest.NewAnswer(text, brokentest.Close), "")
				response, body, err := b.ask("/once/", "x")
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
				c.Assert(response.Header.Get("Seal"), qt.Equals, "sound")
				c.Assert(response.Trailer, qt.HasLen, 0)
				c.Assert(body, qt.Equals, "whole")
			})
		}
	}
}

// Guards against MIXED and ORDER: a server stops within the head of its answer and closes the
// connection. The caller must not get an empty or short answer that looks whole.
func TestAnswerCutInItsHeadIsBroken(t *testing.T) {
	checkAllBroken(t, brokentest.CutHeads(brokenLines), brokentest.Close)
}
