package gateway

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/dispatch"
	"greengagedock.example/quarantine"
)

// encode encodes a message as package mesh does, with structs as arrays.
func encode(c *qt.C, message any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	c.Assert(encoder.Encode(message), qt.IsNil)
	return buffer.Bytes()
}

// originalPlacement is a placement call of a version without further fields.
type originalPlacement struct {
	Entry         string
	Incarnation   uint64
	ID            string
	Service       string
	Domain        string
	PromptTokens  int
	AnswerTokens  int
	Priority      int
	Age           time.Duration
	ToObjective   time.Duration
	ToDeadline    time.Duration
	ToFirstToken  time.Duration
	TokenInterval time.Duration
	Exclude       []string
}

// While the entries of a fleet are updated, versions with and without further fields
// understand each other.
func TestVersionsUnderstandEachOther(t *testing.T) {
	c := qt.New(t)
	old := originalPlacement{Entry: "e1", Incarnation: 7, ID: "r", Service: "llm", PromptTokens: 900, Age: time.Millisecond, Exclude: []string{"s1"}}
	plain := placementMessage{Entry: "e1", Incarnation: 7, ID: "r", Service: "llm", PromptTokens: 900, Age: time.Millisecond, Exclude: []string{"s1"}}
	c.Assert(encode(c, plain), qt.DeepEquals, encode(c, old))
	extended := plain
	extended.Parts, extended.Resumed = []quarantine.Part{5}, true

	var decoded originalPlacement
	c.Assert(msgpack.Unmarshal(encode(c, extended), &decoded), qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, old)
	for _, message := range []placementMessage{plain, extended} {
		var decoded placementMessage
		c.Assert(msgpack.Unmarshal(encode(c, message), &decoded), qt.IsNil)
		c.Assert(decoded, qt.DeepEquals, message)
	}
}

// The number of fields of what is encoded as an array must not change.
func TestMessagesKeepTheirFields(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		message any
		fields  int
	}{
		{heartbeatMessage{}, 9}, {placementMessage{}, 14}, {eventsMessage{}, 6}, {runningMessage{}, 8},
		{itemsMessage{}, 1}, {itemsReply{}, 4}, {itemMessage{}, 5}, {memberMessage{}, 8}, {placementReply{}, 8},
		{prefillWorkerMessage{}, 3}, {endMessage{}, 2}, {faultMessage{}, 3},
	} {
		n, err := msgpack.NewDecoder(bytes.NewReader(encode(c, test.message))).DecodeArrayLen()
		c.Assert(err, qt.IsNil)
		c.Check(n, qt.Equals, test.fields, qt.Commentf("%T", test.message))
	}
}

// A heartbeat is encoded as by versions without eras while nothing is kept, and otherwise
// in a form in which they skip what is.
func TestKeptHeartbeatEncoding(t *testing.T) {
	c := qt.New(t)
	plain := heartbeatMessage{From: memberMessage{ID: "e1", Heartbeats: 7}, Revision: inEra(2, 5).Packed(), Schedules: []string{"llm"}}
	full := plain
	full.KeptDigest, full.Baseline = 9, 8
	full.Kept = []keptMessage{{Item: itemMessage{Key: "k", Revision: 3}, Remaining: time.Second}}
	for _, message := range []heartbeatMessage{plain, full} {
		var decoded heartbeatMessage
		c.Assert(msgpack.Unmarshal(encode(c, message), &decoded), qt.IsNil)
		c.Assert(decoded, qt.DeepEquals, message)
	}
	var without struct {
		From      memberMessage
		Revision  int64
		StoreAge  time.Duration
		Schedules []string
	}
	c.Assert(msgpack.Unmarshal(encode(c, full), &without), qt.IsNil)
	c.Assert(without.From, qt.DeepEquals, plain.From)
	c.Assert(without.Revision, qt.Equals, plain.Revision)
	c.Assert(without.Schedules, qt.DeepEquals, plain.Schedules)
}

// Fields that a version does not know are skipped in either form.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	c := qt.New(t)
	later := struct {
		Entry       string
		Incarnation uint64
		Started     []string
		Ended       []endMessage
		Faults      []faultMessage
		Withdrawn   []string
		Notices     []noticeMessage
		Loads       []loadMessage
		More        map[string]int
	}{Entry: "e1", Started: []string{"r"}, Loads: []loadMessage{{Service: "llm", Server: "s1", Running: 3}}, More: map[string]int{"x": 1}}
	var decoded eventsMessage
	c.Assert(msgpack.Unmarshal(encode(c, later), &decoded), qt.IsNil)
	c.Assert(decoded.Started, qt.DeepEquals, later.Started)
	c.Assert(decoded.Loads, qt.DeepEquals, later.Loads)
	byName, err := msgpack.Marshal(later)
	c.Assert(err, qt.IsNil)
	decoded = eventsMessage{}
	c.Assert(msgpack.Unmarshal(byName, &decoded), qt.IsNil)
	c.Assert(decoded.Started, qt.DeepEquals, later.Started)
}

// originalRunning is a running request of a version without its account.
type originalRunning struct {
	ID             string
	Service        string
	Server         string
	PrefillWorkers []string
	PromptTokens   int
	AnswerTokens   int
	TokenInterval  time.Duration
	Started        bool
}

// Heartbeats with running requests must be understood by versions with and without
// accounts, or a successor would not know what runs while a fleet is updated.
func TestRunningRequestsOfBothVersions(t *testing.T) {
	c := qt.New(t)
	old := originalRunning{ID: "r", Service: "llm", Server: "s1", PrefillWorkers: []string{"s2"}, PromptTokens: 900, Started: true}
	plain := runningMessage{ID: "r", Service: "llm", Server: "s1", PrefillWorkers: []string{"s2"}, PromptTokens: 900, Started: true}
	c.Assert(encode(c, plain), qt.DeepEquals, encode(c, old))
	extended := plain
	extended.Account = "a"
	for _, message := range []runningMessage{plain, extended} {
		var byOld struct {
			From      memberMessage
			Revision  int64
			StoreAge  time.Duration
			Schedules []string
			Running   []originalRunning
		}
		heartbeat := heartbeatMessage{Running: []runningMessage{message, message}, SuspicionsDigest: 1}
		c.Assert(msgpack.Unmarshal(encode(c, heartbeat), &byOld), qt.IsNil)
		c.Assert(byOld.Running, qt.DeepEquals, []originalRunning{old, old})
		var decoded heartbeatMessage
		c.Assert(msgpack.Unmarshal(encode(c, heartbeat), &decoded), qt.IsNil)
		c.Assert(decoded, qt.DeepEquals, heartbeat)
		c.Assert(encodeRunning(message.decode()), qt.DeepEquals, message)
	}
}

// The account of a request and the standing of a refused one must reach the other entry.
func TestAccountsAreEncoded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	request := dispatch.NewRequest("r", "llm").WithAccount("a")
	_, decoded := encodeRequest(dispatch.NewOwner("e1", 1), request, now).decode(now)
	c.Assert(decoded.Account(), qt.Equals, "a")
	refused := dispatch.NewRefused("r", dispatch.ReasonBusy, time.Second).WithExplanation("usage 5ms, share 3ms, yields to b")
	c.Assert(encodeDecision(refused).decode("r"), qt.Equals, refused)
}
