package caller

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against callers that keep all others out by connections on which they send nothing, or
// a part of a request, and against more connections than the limit.
func TestSilentCallersMakeRoom(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := newTestEntry(t, Limits{}.WithConnections(2, time.Minute))
	for _, text := range []string{"", "GET / HT", "", "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + agencyKey + "\r\nContent-Length: 9\r\n\r\n{"} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
	}
	for range 3 {
		status, _, err := e.do(http.MethodGet, "/v1/models", agencyKey, "")
		c.Assert(err, qt.IsNil)
		c.Assert(status.StatusCode, qt.Equals, http.StatusOK)
	}
	open, _ := e.clients.Open()
	c.Assert(open <= 2, qt.IsTrue)
	c.Assert(e.clients.Counts().Evicted() > 0, qt.IsTrue)
}
