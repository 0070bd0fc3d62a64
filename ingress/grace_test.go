package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
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

// Guards against LOST: requests that wait for a placement are closed without an answer at the
// end of the grace period. They are refused once they can't be finished.
func TestStopRefusesWaitingRequests(t *testing.T) {
	engine := routing.NewEngineProfile(1, 1000).WithDecode(10*time.Millisecond, 0, 0, 1)
	for _, test := range []struct {
		name   string
		answer int // in tokens
		within time.Duration
	}{
		{"long", 500, 200 * time.Millisecond},
		{"short", 20, 700 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newTestbed(t)
			conn, _ := b.listenToStop()
			b.serveEngine(engine.WithMeanAnswer(test.answer))
			b.scheduler.queues = true
			fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nLeft: 9s\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(30 * time.Millisecond) // it waits
			begun := time.Now()
			b.stopIn(300*time.Millisecond, 800*time.Millisecond)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			took := time.Since(begun)
			c.Assert(took < test.within, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// A request that is placed too late to be finished before the stop is refused, and its place
// is free again.
func TestStopRefusesPlacementThatEndsTooLate(t *testing.T) {
	c := qt.New(t)
	server := newBackend(c, fullResponse(http.StatusOK, "x"))
	b := newTestbed(t, server)
	b.scheduler.timeToFirstToken = 5 * time.Second
	conn, _ := b.listenToStop()
	b.stopIn(500*time.Millisecond, time.Second)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nLeft: 9s\r\nContent-Length: 0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(server.seen(), qt.HasLen, 0)
	c.Assert(b.scheduler.ended(), qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeCancelled})
}

// Guards against LOST: a call of a plain service is placed so late that its answer is cut off. It
// is refused when no time for an answer is left, and placed before that.
func TestStopRefusesCallPlacedTooLate(t *testing.T) {
	for _, test := range []struct {
		name   string
		queued time.Duration
		status int
	}{
		{"at once", 0, http.StatusOK},
		{"with time left", 300 * time.Millisecond, http.StatusOK},
		{"late", 850 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := newBackend(c, silence+fullResponse(http.StatusOK, "x"))
			server.silenceTime = 200 * time.Millisecond
			b := newTestbed(t, server)
			conn, _ := b.listenToStop()
			b.serve(connectionRoute.WithTimes(time.Second, 400*time.Millisecond, 0), routing.NewService("desk"))
			b.scheduler.queueTime = test.queued
			fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nLeft: 9s\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(30 * time.Millisecond) // it waits
			b.stopIn(300*time.Millisecond, 900*time.Millisecond)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, test.status)
			if test.status == http.StatusServiceUnavailable {
				c.Assert(server.seen(), qt.HasLen, 0)
			}
		})
	}
}

// Guards against LOST: a request that a server has not answered gets a final answer when the
// grace period ends, which does not say that it has not run, and a stream is truncated.
func TestStopAnswersWhatItCutsOff(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, hang))
	conn, _ := b.listenToStop()
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nLeft: 9s\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(30 * time.Millisecond)
	b.stopIn(100*time.Millisecond, 300*time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)

	b = newTestbed(t, newBackend(c, streamResponse("id: 1\n\n", false)+silence+silence))
	streaming, err := b.http.Client().Do(b.request(http.MethodPost, "/stream/patient/x", ""))
	c.Assert(err, qt.IsNil)
	defer streaming.Body.Close()
	b.stopIn(100*time.Millisecond, 300*time.Millisecond)
	body, err := io.ReadAll(streaming.Body)
	c.Assert(string(body), qt.Equals, "id: 1\n\n")
	c.Assert(err, qt.IsNotNil)
}

// serveEngine makes the server's service one of model engines.
func (b *testbed) serveEngine(engine routing.EngineProfile) {
	b.serve(connectionRoute, routing.NewService("desk").WithEngine(engine))
}

// serve makes a route to a service the only one.
func (b *testbed) serve(route routing.Route, service routing.Service) {
	view := b.view.Load()
	table := routing.NewTable(2, []routing.Route{route.WithTargets(routing.NewTarget(service.Name(), 1))}, []routing.Service{service}, nil, routing.NewLimits(0, 0, 0, 0))
	b.view.Store(routing.NewView(view.Revision(), table, view.Servers(), nil))
}
