package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stopIn has the server stop as planned: late requests are refused after one time, and what is
// open is ended after another. It closes all connections soon after that.
func (b *testbed) stopIn(late, cut time.Duration) {
	now := time.Now()
	b.server.BeginStop(NewGrace(now.Add(late), now.Add(cut), func() time.Duration { return 50 * time.Millisecond }))
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), now.Add(cut+200*time.Millisecond))
		defer cancel()
		_ = b.server.Shutdown(ctx)
	}()
}

// Guards against LOST: a stopping server takes a request after its callers should have left,
// and cuts the answer at the end of the grace period.
func TestStopRefusesLateRequests(t *testing.T) {
	for _, test := range []struct {
		left   string // until the caller's deadline
		status int
	}{
		{"9s", http.StatusServiceUnavailable},
		{"300ms", http.StatusOK},
	} {
		t.Run(test.left, func(t *testing.T) {
			c := qt.New(t)
			server := newBackend(c, fullResponse(http.StatusOK, "x"))
			b := newTestbed(t, server)
			conn, _ := b.listenToStop()
			b.stopIn(30*time.Millisecond, 900*time.Millisecond)
			time.Sleep(60 * time.Millisecond)
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nLeft: %s\r\nContent-Length: 0\r\n\r\n", test.left)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, test.status)
			c.Assert(response.Close, qt.IsTrue)
			if test.status == http.StatusServiceUnavailable {
				c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.05")
				c.Assert(server.seen(), qt.HasLen, 0)
			}
		})
	}
}

// Guards against LOST: a body that arrives slowly, with a length or in chunks, ends so late in
// the stop that its request can't be finished. It is refused as soon as that is known.
func TestStopRefusesSlowBodies(t *testing.T) {
	for _, framing := range []string{"Content-Length: 9", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			c := qt.New(t)
			server := newBackend(c, fullResponse(http.StatusOK, "x"))
			b := newTestbed(t, server)
			conn, _ := b.listenToStop()
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nLeft: 9s\r\n%s\r\n\r\n3", framing)
			time.Sleep(30 * time.Millisecond) // the body is awaited
			b.stopIn(100*time.Millisecond, 900*time.Millisecond)
			begun := time.Now()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(time.Since(begun) < 500*time.Millisecond, qt.IsTrue)
			c.Assert(server.seen(), qt.HasLen, 0)
		})
	}
}
