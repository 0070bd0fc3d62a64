package upstream

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/timer"
)

// Guards against the memory of an entry that faulty servers use up together, with heads that are
// long or do not end: it is bounded, given back, and not needed for ordinary heads.
func TestMemoryOfLongHeadsIsBounded(t *testing.T) {
	c := qt.New(t)
	long := "Long: " + strings.Repeat("x", 100_000) + "\r\n"
	server := newRawServer(c, func(_ int, r *http.Request, _ string) string {
		more := ""
		if r.Header.Get("Wants") == "long" {
			more = long
		}
		return strings.Replace(responseText(r.Header.Get("Attempt"), "body"), "Attempt", more+"Attempt", 1)
	})
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	client.LimitHeads(300_000)
	send := func(wants string) (*Response, error) {
		r := NewRequest("a", http.MethodGet, "/", "h", http.Header{"Attempt": {"a"}, "Wants": {wants}}, nil)
		return client.Send(context.Background(), server.address, r, NewRequestMetadata("i-1", "", time.Second))
	}
	first, err := send("long")
	c.Assert(err, qt.IsNil)
	_, err = send("long")
	c.Assert(err, qt.ErrorIs, ErrNoResponse)
	ordinary, err := send("")
	c.Assert(err, qt.IsNil)
	ordinary.Close()
	first.Close()
	second, err := send("long")
	c.Assert(err, qt.IsNil)
	second.Close()
	c.Assert(client.heads.used.Load(), qt.Equals, int64(0))
}
