package gateway

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/mesh/wiretest"
)

// f40363f describes the messages of commit f40363f, the first one whose messages later
// versions understand.
var f40363f = wiretest.Version{
	Fields: map[string]int{
		"memberMessage": 8, "runningMessage": 8, "heartbeatMessage": 18, "noticeMessage": 8, "suspicionMessage": 7,
		"repeatMessage": 6, "repeatEndMessage": 3, "itemsMessage": 1, "itemMessage": 5, "itemsReply": 4,
		"placementMessage": 18, "placementReply": 8, "prefillWorkerMessage": 3, "eventsMessage": 7, "endMessage": 2,
		"faultMessage": 3, "keptMessage": 2, "emptyReply": 0,
	},
	Originals: map[string]int{"heartbeatMessage": 9, "noticeMessage": 6, "placementMessage": 14, "eventsMessage": 6},
}

// messages are those of f40363f.
var messages = []any{
	memberMessage{}, runningMessage{}, heartbeatMessage{}, noticeMessage{}, suspicionMessage{}, repeatMessage{},
	repeatEndMessage{}, itemsMessage{}, itemMessage{}, itemsReply{}, placementMessage{}, placementReply{},
	prefillWorkerMessage{}, eventsMessage{}, endMessage{}, faultMessage{}, keptMessage{}, emptyReply{},
}

// Messages of f40363f are decoded, and what it knows is encoded as there. The golden file is
// written in a checkout of f40363f with this file and package wiretest, by
// GOLDEN=$PWD/gateway/testdata/f40363f.txt go test ./gateway -run MessagesOfF40363f.
func TestMessagesOfF40363fAreDecoded(t *testing.T) {
	c := qt.New(t)
	encodeMessage := func(message any) []byte { return encode(c, message) }
	if file := os.Getenv("GOLDEN"); file != "" {
		f40363f.WriteGolden(t, file, encodeMessage, messages...)
		return
	}
	f40363f.CheckGolden(t, "testdata/f40363f.txt", encodeMessage, messages...)
}

// f40363f decodes the messages of this version: it refuses an array that has not exactly its
// number of fields.
func TestMessagesAreDecodedByRulesOfF40363f(t *testing.T) {
	c := qt.New(t)
	f40363f.CheckOldRules(t, func(message any) []byte { return encode(c, message) }, messages...)
}
