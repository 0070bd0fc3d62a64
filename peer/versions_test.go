package peer

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/backend"
	"greengagedock.example/mesh"
)

// rawFrame returns a frame with a body.
func rawFrame(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// laterMessage is of a kind that this version does not know.
type laterMessage struct{ Text string }

func (*laterMessage) kind() messageKind { return "later" }

// A message of an unknown kind is skipped, and the connection goes on; a malformed one ends
// it, and nothing else. An entry of f40363f states no kinds.
func TestUnknownKindsAreSkipped(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	received := make(chan Received, 8)
	in := &acceptor{
		listener: listener, region: "r", deliver: func(e Event) { received <- e.(Received) }, log: hclog.NewNullLogger(),
		conns: make(map[net.Conn]struct{}), newest: make(map[string]net.Conn), tunnels: mesh.NewServer(refuseCalls), frames: newFrameMemory(),
	}
	go in.serve()
	defer in.close()
	for _, understands := range [][]messageKind{nil, {kindHeartbeat, "later"}} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		for _, m := range []message{&hello{Protocol: protocolVersion, Region: "r", Entry: "e1", Understands: understands}, &laterMessage{"x"}, &withdraw{ID: "1"}} {
			frame, err := encodeFrame(m)
			c.Assert(err, qt.IsNil)
			_, err = conn.Write(frame)
			c.Assert(err, qt.IsNil)
		}
		var got Received
		select {
		case got = <-received:
		case <-time.After(10 * time.Second):
			t.Fatal("the message after one of an unknown kind did not arrive")
		}
		c.Assert(got.message, qt.DeepEquals, message(&withdraw{ID: "1"}))
		c.Assert(got.understands, qt.DeepEquals, understands)
		_, err = conn.Write(rawFrame(append(encodeMessage("wd"), 0xc1)))
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorMatches, "EOF|.*reset.*")
	}
}

// A message of a later kind is sent only to an incarnation that states that it understands it.
func TestLaterKindsAreSentOnceStated(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 2, 1)
	n := sim.nodes["entry-0"].node
	sends := func() int {
		n.effects = nil
		n.send("entry-1", &laterMessage{"x"})
		return len(n.effects)
	}
	c.Assert(sends(), qt.Equals, 0)
	owner := backend.NewOwner("entry-1", 7)
	n.Step(sim.now, Received{from: owner, message: &heartbeat{Seq: 1}})
	c.Assert(sends(), qt.Equals, 0)
	n.Step(sim.now, Received{from: owner, message: &heartbeat{Seq: 2}, understands: []messageKind{"later"}})
	c.Assert(sends(), qt.Equals, 1)
	n.Step(sim.now, Received{from: backend.NewOwner("entry-1", 8), message: &heartbeat{Seq: 1}})
	c.Assert(sends(), qt.Equals, 0)
}

// The attempt ids of a message are changed on the way, and none of its other fields.
func TestShortenedIDsLeaveOtherFields(t *testing.T) {
	c := qt.New(t)
	m := &release{ID: "a", Server: "s", Outcome: "refused", RefusesForMs: 5}
	got := mapAttemptIDs(m, func(id string) string { return id + "!" })
	c.Assert(got, qt.DeepEquals, message(&release{ID: "a!", Server: "s", Outcome: "refused", RefusesForMs: 5}))
}
