package caller

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against answers of servers that use up the memory of an entry together: what is reserved
// while one is read is bounded, given back, and not needed for a small one.
func TestMemoryOfAnswersThatAreReadIsBounded(t *testing.T) {
	c := qt.New(t)
	size := 0
	server := newFakeServer(t, "service-1", "repairs", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		for range size / 1000 {
			_, _ = w.Write([]byte(strings.Repeat("x", 1000))) // the entry may have left
		}
	})
	e := newTestEntry(t, Limits{}.WithMaxBodyMemory(200_000).WithBody(1000, 0), server)
	for _, test := range []struct {
		size, taken int
		status      int
	}{
		{60_000, 0, http.StatusOK},
		{150_000, 0, http.StatusOK},
		{150_000, 90_000, http.StatusBadGateway},
		{60_000, 90_000, http.StatusOK},
		{300_000, 0, http.StatusBadGateway},
	} {
		size = test.size
		c.Assert(e.answerMemory.reserve(int64(test.taken), e.limits), qt.IsTrue)
		response, body := e.mustDo(t, "GET", recordsPath+"/x", agencyKey, "")
		c.Check(response.StatusCode, qt.Equals, test.status, qt.Commentf("%+v", test))
		if test.status == http.StatusOK {
			c.Check(body, qt.HasLen, test.size)
		}
		e.answerMemory.release(int64(test.taken))
		c.Check(e.answerMemory.reserved.Load(), qt.Equals, int64(0))
	}
}
