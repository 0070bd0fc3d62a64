package peer

import (
	"bytes"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/mesh/wiretest"
)

// f40363f describes the messages of commit f40363f, the first one whose messages later
// versions understand.
var f40363f = wiretest.Version{
	Fields: map[string]int{
		"hello": 4, "tunnel": 2, "heartbeat": 18, "knownList": 2, "knownMember": 2, "freeCapacity": 7, "serverWarmth": 3,
		"slotRequest": 11, "slotReply": 9, "withdraw": 1, "release": 3, "slotDeclaration": 2, "declaredSlot": 6,
		"pull": 1, "items": 1, "publishedItem": 4, "repeats": 1, "knownRepeat": 8,
	},
}

// messages are those of f40363f.
var messages = []any{
	hello{}, tunnel{}, heartbeat{}, knownList{}, knownMember{}, freeCapacity{}, serverWarmth{}, slotRequest{}, slotReply{},
	withdraw{}, release{}, slotDeclaration{}, declaredSlot{}, pull{}, items{}, publishedItem{}, repeats{}, knownRepeat{},
}

// encodeMessage encodes a message as in a frame.
func encodeMessage(m any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(m); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// Messages of f40363f are decoded, and what it knows is encoded as there. The golden file is
// written in a checkout of f40363f with this file and package wiretest, by
// GOLDEN=$PWD/peer/testdata/f40363f.txt go test ./peer -run MessagesOfF40363f.
func TestMessagesOfF40363fAreDecoded(t *testing.T) {
	if file := os.Getenv("GOLDEN"); file != "" {
		f40363f.WriteGolden(t, file, encodeMessage, messages...)
		return
	}
	f40363f.CheckGolden(t, "testdata/f40363f.txt", encodeMessage, messages...)
}

// f40363f decodes the messages of this version: it refuses an array that has not exactly its
// number of fields. It knows all kinds that may be sent to an entry that states nothing.
func TestMessagesAreDecodedByRulesOfF40363f(t *testing.T) {
	f40363f.CheckOldRules(t, encodeMessage, messages...)
	c := qt.New(t)
	for _, kind := range originalKinds {
		c.Assert(newMessage(kind), qt.IsNotNil)
	}
	c.Assert(originalKinds, qt.HasLen, 11)
}
