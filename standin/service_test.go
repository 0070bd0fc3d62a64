package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestServiceRunsCallsReceivedWhileFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewService("repairs-1")
		s.Inject(Frozen())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r := httptest.NewRequestWithContext(ctx, "POST", "/repairs", strings.NewReader("stove"))
		r.Header.Set("X-Request-Id", "e1-1.1")
		c.Assert(do(s, r).aborted, qt.IsTrue)
		c.Assert(s.Stats().Runs("e1-1.1"), qt.Equals, 0)
		s.Inject(Cleared())
		c.Assert(s.Stats().Runs("e1-1.1"), qt.Equals, 1)
		send(s, "POST", "/repairs", "stove", "X-Request-Id", "e1-1.2")
		id, body := s.Stats().MaxRuns()
		c.Assert([]int{id, body}, qt.DeepEquals, []int{1, 2})
	})
}

func TestServiceRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewService("repairs-1", WithColdLimit(NewLoad(1, 0), 1))
		c.Assert(send(s, "POST", "/repairs", "stove", "X-Incarnation", "other").status, qt.Equals, http.StatusConflict)
		s.Inject(Draining())
		left := send(s, "POST", "/repairs", "stove")
		c.Assert(left.status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(left.header.Get("X-State"), qt.Equals, "leaving")
		s.Inject(Cleared())
		go send(s, "POST", "/repairs", "stove")
		synctest.Wait()
		c.Assert(send(s, "POST", "/repairs", "roof").aborted, qt.IsTrue)
		c.Assert(s.Stats().Overloads(), qt.Equals, 1)
	})
}
