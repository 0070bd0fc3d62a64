package gateway

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
)

// While the entries of a fleet are replaced, versions with and without eras understand
// each other's messages: the number of fields is that of the version without.
func TestMessagesKeepTheirFields(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		message any
		fields  int
	}{
		{heartbeatMessage{}, 11}, {itemsMessage{}, 1}, {itemsReply{}, 4}, {itemMessage{}, 5}, {memberMessage{}, 8},
	} {
		encoded := encode(c, test.message)
		n, err := msgpack.NewDecoder(bytes.NewReader(encoded)).DecodeArrayLen()
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, test.fields, qt.Commentf("%T", test.message))
	}
}

// encode encodes a message as package mesh does, with structs as arrays.
func encode(c *qt.C, message any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	c.Assert(encoder.Encode(message), qt.IsNil)
	return buffer.Bytes()
}

// A heartbeat is encoded as before while nothing is kept, and by name otherwise, so that
// versions without kept items skip them.
func TestKeptHeartbeatEncoding(t *testing.T) {
	c := qt.New(t)
	plain := heartbeatMessage{From: memberMessage{ID: "e1", Heartbeats: 7}, Revision: inEra(2, 5).Packed(), Schedules: []string{"llm"}}
	c.Assert(encode(c, keptHeartbeat{heartbeatMessage: plain}), qt.DeepEquals, encode(c, plain))
	var decoded keptHeartbeat
	c.Assert(msgpack.Unmarshal(encode(c, plain), &decoded), qt.IsNil)
	c.Assert(decoded.heartbeatMessage, qt.DeepEquals, plain)
	c.Assert(decoded.KeptDigest, qt.Equals, uint64(0))

	full := keptHeartbeat{heartbeatMessage: plain, KeptDigest: 9, Baseline: 8, Kept: []keptMessage{{Item: itemMessage{Key: "k", Revision: 3}, Remaining: time.Second}}}
	encoded := encode(c, full)
	decoded = keptHeartbeat{}
	c.Assert(msgpack.Unmarshal(encoded, &decoded), qt.IsNil)
	c.Assert(decoded.heartbeatMessage, qt.DeepEquals, plain)
	c.Assert(decoded.KeptDigest, qt.Equals, full.KeptDigest)
	c.Assert(decoded.Baseline, qt.Equals, full.Baseline)
	c.Assert(decoded.Kept, qt.DeepEquals, full.Kept)
	var without heartbeatMessage
	c.Assert(msgpack.Unmarshal(encoded, &without), qt.IsNil)
	c.Assert(without, qt.DeepEquals, plain)
}
