package gateway

import (
	"bytes"
	"testing"

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
