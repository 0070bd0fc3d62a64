package mesh

import (
	"bytes"
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
)

// Eight megabytes of nested arrays overflowed the stack of the process that read them.
func TestDeeplyNestedMessageEndsOnlyItsConnection(t *testing.T) {
	c := qt.New(t)
	address, _ := serve(c, func(kind string, _ []byte) (any, error) { return kind, nil })
	nested := bytes.Repeat([]byte{0x91}, maxMessageBytes-100)
	c.Assert(CheckNesting(nested), qt.ErrorIs, ErrMalformed)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, _ = conn.Write(append([]byte{0x94, 0x01, 0xa1, 'k', 0xa0}, nested...)) // fails once the server has closed it
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	var client Client
	var reply string
	c.Assert(client.Call(context.Background(), address, "any", 1, &reply), qt.IsNil)
}

// Values are read to their end, whichever their kinds are.
func TestReadValueFindsItsEnd(t *testing.T) {
	c := qt.New(t)
	for _, value := range []any{
		1, -1, 1 << 40, 1.5, "", "short", string(make([]byte, 300)), string(make([]byte, 70_000)), []byte{1}, make([]byte, 70_000), nil, true,
		[]int{}, make([]int, 20), make([]int, 70_000), map[string]any{"a": []any{1, map[string]int{"b": 2}}},
	} {
		encoded, err := msgpack.Marshal(value)
		c.Assert(err, qt.IsNil)
		var copied bytes.Buffer
		from := bytes.NewReader(append(encoded, 0xc0))
		c.Assert(readValue(from, &copied), qt.IsNil)
		c.Assert(bytes.Equal(copied.Bytes(), encoded), qt.IsTrue, qt.Commentf("%T", value))
		c.Assert(from.Len(), qt.Equals, 1, qt.Commentf("%T", value))
		c.Assert(CheckNesting(encoded), qt.IsNil)
		if len(encoded) > 1 {
			c.Assert(CheckNesting(encoded[:len(encoded)-1]), qt.ErrorIs, ErrMalformed, qt.Commentf("%T", value))
		}
	}
}
