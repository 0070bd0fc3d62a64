package caller

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/backend"
	"greengagedock.example/timer"
)

// panickingSlots panic instead of granting.
type panickingSlots struct{ fakeSlots }

func (*panickingSlots) Acquire(context.Context, backend.SlotRequest) (backend.Slot, error) {
	panic("no slots")
}

// lineWriter sends each write on the channel.
type lineWriter chan string

func (w lineWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

// Guards against a caller's connection that is closed without a response and without a
// line at the usual level of the log.
func TestPanicIsLogged(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	lines := make(lineWriter, 100)
	log := hclog.New(&hclog.LoggerOptions{Output: lines, Level: hclog.Info})
	snapshot := &fakeSnapshot{self: backend.NewOwner("entry-1", 0xab), documents: testDocuments(t)}
	server := NewServer(snapshot, new(panickingSlots), new(backend.Client), Limits{}, log, new(timer.Service))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go server.Serve(listener)
	defer server.http.Close()
	e := &testEntry{Server: server, url: "http://" + listener.Addr().String()}
	_, _, err = e.do(http.MethodPost, "/v1/completions", agencyKey, streamed)
	c.Assert(err, qt.IsNotNil)
	for {
		select {
		case line := <-lines:
			if strings.Contains(line, "no slots") {
				c.Assert(line, qt.Contains, "[ERROR]")
				return
			}
		case <-time.After(5 * time.Second):
			c.Fatal("the panic is not logged")
		}
	}
}
