package operator

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// Guards against operators who are kept out by connections on which nothing is sent, and against
// descriptors that these take without end.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	c := qt.New(t)
	entry := &fakeEntry{}
	server := NewServer(entry, entry, &DecisionLog{}, hclog.NewNullLogger())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }() // ends with Close
	c.Cleanup(func() { server.http.Close() })
	for range maxConnections + 20 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	_, err = NewClient(listener.Addr().String()).Status(t.Context())
	c.Assert(err, qt.IsNil)
	open, _ := server.clients.Open()
	c.Assert(open <= maxConnections, qt.IsTrue)
	c.Assert(server.clients.Counts().Evicted() > 0, qt.IsTrue)
}
