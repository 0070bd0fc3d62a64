package ingress

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against BUDGET: the servers that run one request, the silent one included, stay
// within the two attempts of the route when backups fail.
func TestFailedBackupsStayWithinAttempts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	first := newBackend(c, silentStream())
	first.silenceTime = 200 * time.Millisecond
	backends := []*backend{first}
	for range 3 {
		backends = append(backends, newBackend(c, streamResponse("id: 2\nda", false)))
	}
	b := newTestbed(t, backends...)
	b.server.minSilence = fuzzSilenceTimeout
	_, body, err := b.do(b.request("POST", "/stream/quick/", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, threeEvents)
	ran := 0
	for _, backend := range backends {
		ran += len(backend.seen())
	}
	c.Assert(ran, qt.Equals, 2)
}
