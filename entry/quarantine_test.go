package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/registry"
	"greengagedock.example/standin"
)

const (
	// crashingServers is the number of servers that end at a request in a test.
	crashingServers = 12
	// crashRepeats is how often callers send it, at each entry in turn.
	crashRepeats = 24
	// maxCrashing is the number of servers that may end before the request is known, and of
	// retries that may reach one afterwards.
	maxCrashing = 3 + 3
)

// crashingBody is the body of the request at which servers end.
const crashingBody = `{"strip": "bad"}`

// crashing closes the connection of each request with crashingBody without an answer.
type crashing struct {
	http.Handler
	ended atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *crashing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil && string(body) == crashingBody {
		s.ended.Add(1)
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	s.Handler.ServeHTTP(w, r)
}

// grant calls the plain service at an entry.
func (f *fleet) grant(entry *Process, method, body string) (status int, response string) {
	id := ""
	if method == http.MethodPost {
		_, text, err := f.call(f.c.Context(), entry, http.MethodGet, "/v1/address", "", "")
		f.c.Assert(err, qt.IsNil)
		var address struct {
			Prefix string `json:"request_id_prefix"`
		}
		f.c.Assert(json.Unmarshal([]byte(text), &address), qt.IsNil)
		id = fmt.Sprint(address.Prefix, "call-", f.callIDs.Add(1))
	}
	status, response, err := f.call(f.c.Context(), entry, method, "/v1/services/licensing/grants", id, body)
	f.c.Assert(err, qt.IsNil)
	return status, response
}

// Guards against BUDGET: a caller sends a call again and again, to any entry, that crashes
// each server that begins to run it.
func TestRepeatedCallThatCrashesServersIsRefused(t *testing.T) {
	f := newFleet(t, 0)
	var servers []*crashing
	for i := range crashingServers {
		id := fmt.Sprintf("crashing-%d", i)
		server := &crashing{Handler: standin.NewService(id)}
		servers = append(servers, server)
		f.publishServer(id, registry.KindService, i, f.serve(server), "licensing")
	}
	f.start(3)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		refused, reached := 0, 0
		for i := range crashRepeats {
			time.Sleep(100 * time.Millisecond)
			entry := f.entries[i%len(f.entries)]
			status, body := f.grant(entry, method, crashingBody)
			if status == http.StatusServiceUnavailable && strings.Contains(body, "quarantined") {
				refused++
			}
			status, body = f.grant(entry, method, fmt.Sprintf(`{"strip": "sound %d"}`, i))
			f.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", method, body))
		}
		for _, server := range servers {
			reached += int(server.ended.Swap(0))
		}
		f.c.Check(reached <= maxCrashing, qt.IsTrue, qt.Commentf("%s: %d requests reached servers", method, reached))
		f.c.Check(refused >= crashRepeats-maxCrashing, qt.IsTrue, qt.Commentf("%s: %d refused", method, refused))
	}
}
