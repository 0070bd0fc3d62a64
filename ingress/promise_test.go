package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
)

// promises are the statuses with which callers are promised that a request has not run and
// never will.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Guards against REFUSED and TWICE: a call that may run once, and that a server has run and
// answers with a status that promises the opposite, is not answered with that status; the
// caller would send it again.
func TestServersOwnFailureIsNoPromise(t *testing.T) {
	c := qt.New(t)
	for _, status := range promises {
		for name, step := range map[string]string{
			"short":    fullResponse(status, "overloaded"),
			"long":     fullResponse(status, strings.Repeat("x", maxBufferedBytes+1)),
			"unframed": fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\nSeal: s\r\nRetry-After: 1\r\nConnection: close\r\n\r\noverloaded", status),
			"cut off":  strings.TrimSuffix(fullResponse(status, "overloaded"), "loaded"),
			"reset":    fullResponse(status, "overloaded") + reset,
		} {
			comment := qt.Commentf("%d, %s", status, name)
			for _, path := range []string{"/once/", "/stream/fixed/"} {
				first, second := newBackend(c, step), newBackend(c, fullResponse(http.StatusOK, "again"))
				b := newTestbed(t, first, second)
				response, _, err := b.do(b.request(http.MethodPost, path, "x"))
				c.Assert(err, qt.IsNil, comment)
				c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway, comment)
				c.Assert(response.Header.Get("Seal"), qt.Equals, "", comment) // the server gave another status
				c.Assert(response.Header.Get("Retry-After"), qt.Equals, "", comment)
				c.Assert(first.seen(), qt.HasLen, 1, comment)
				c.Assert(second.seen(), qt.HasLen, 0, comment)
			}
		}
	}
}

// Guards against REFUSED: the same after another server refused the call before it ran.
func TestServersOwnFailureAfterRefusalIsNoPromise(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, newBackend(c, refused), newBackend(c, fullResponse(http.StatusServiceUnavailable, "ran")))
	response, _, err := b.do(b.request(http.MethodPost, "/once/", "x"))
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(b.scheduler.ended(), qt.DeepEquals, []dispatch.Outcome{dispatch.OutcomeRejected, dispatch.OutcomeServerError})
}

// Guards against a false "not run" for calls that may be repeated: another server is asked,
// and without one the answer is that the call may have run.
func TestServersOwnFailureIsRetriedElsewhere(t *testing.T) {
	c := qt.New(t)
	for _, status := range promises {
		for path, whole := range map[string]string{"/again/": fullResponse(http.StatusOK, "whole"), "/stream/": streamResponse(threeEvents, true)} {
			own := fullResponse(status, "overloaded")
			b := newTestbed(t, newBackend(c, own), newBackend(c, whole))
			response, _, err := b.do(b.request(http.MethodPost, path, "x"))
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%d %s", status, path))
			b = newTestbed(t, newBackend(c, own), newBackend(c, own))
			response, _, err = b.do(b.request(http.MethodPost, path, "x"))
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%d %s", status, path))
		}
	}
}

// Other failures of a server stay its own.
func TestServersOwnFailureStaysUnchanged(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		path   string
		status int
	}{{"/once/", 500}, {"/once/", 502}, {"/once/", 504}, {"/once/", 404}, {"/again/", 500}, {"/again/", 504}, {"/again/", 404}} {
		step := fullResponse(test.status, "own")
		b := newTestbed(t, newBackend(c, step), newBackend(c, step))
		response, body, err := b.do(b.request(http.MethodPost, test.path, "x"))
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, test.status, qt.Commentf("%+v", test))
		c.Assert(response.Header.Get("Seal"), qt.Equals, "s", qt.Commentf("%+v", test))
		c.Assert(body, qt.Equals, "own", qt.Commentf("%+v", test))
	}
}
