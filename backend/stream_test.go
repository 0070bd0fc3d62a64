package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/registry"
)

func testSlot(id, address string, startBy time.Time) Slot {
	location := registry.NewLocation("scl", "scl-a")
	server := NewServer(registry.NewServer("engine-1", registry.KindEngine, location, registry.StateLive, address, "strip"), Capacity{})
	request := NewSlotRequest(id, NewOwner("e1", 7), "agency", NewWorkload("strip", "strip-1"), NewCost(10, 10), startBy)
	return NewSlot(request, "e1", server, "b81f", startBy)
}

// testStream returns the stream of a response with the given body.
func testStream(body io.Reader, resumeFrom int) *Stream {
	_, cancel := context.WithCancelCause(context.Background())
	request, _ := http.NewRequest(http.MethodPost, "http://engine", nil)
	response := &Response{
		client:       new(Client),
		attempt:      Attempt{slot: testSlot("r1.2", "", time.Time{})}.ResumingFrom(resumeFrom),
		httpResponse: &http.Response{Body: io.NopCloser(body), Request: request, Header: make(http.Header)},
		cancel:       cancel,
		watchdog:     newWatchdog(func() { cancel(ErrStalled) }),
	}
	return response.Stream(func() error { return nil })
}

func testEvent(id string, index int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"index\":%d,\"choices\":[{\"text\":\"w%d \\\"\"}]}\n\n", id, index, index)
}

func lastEvent(id string, index, tokens int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"index\":%d,\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],"+
		"\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d}}\n\n", id, index, tokens)
}

const doneText = "data: [DONE]\n\n"

// drain reads the stream to its end and returns the events that passed, with
// their id replaced.
func drain(stream *Stream) (string, error) {
	var passed []byte
	for {
		event, err := stream.Next()
		if err != nil {
			return string(passed), err
		}
		passed = event.AppendWithID(passed, "r1")
	}
}

func TestStreamClassifiesFaults(t *testing.T) {
	own := testEvent("r1.2", 0) + testEvent("r1.2", 1)
	end := lastEvent("r1.2", 2, 2) + doneText
	whole := testEvent("r1", 0) + testEvent("r1", 1) + lastEvent("r1", 2, 2)
	tests := []struct {
		name    string
		text    string
		passed  string
		fault   Fault
		dropped Fault
	}{
		{name: "whole", text: own + end, passed: whole},
		{name: "comments and other fields", text: ": hello\nevent: token\n" + own + end, passed: whole},
		{name: "late event dropped", text: testEvent("r1.1", 0) + own + end, passed: whole, dropped: FaultLate},
		{name: "late event with its owner dropped", text: testEvent("r1.1@e.1/7", 0) + own + end, passed: whole, dropped: FaultLate},
		{name: "crossed event dropped", text: own + testEvent("r9.1", 2) + end, passed: whole, dropped: FaultCrossed},
		{name: "repeated event dropped", text: own + testEvent("r1.2", 1) + end, passed: whole, dropped: FaultRepeated},
		{name: "repeated last event dropped", text: own + lastEvent("r1.2", 2, 2) + end, passed: whole, dropped: FaultRepeated},
		{name: "gap", text: testEvent("r1.2", 0) + testEvent("r1.2", 2), passed: testEvent("r1", 0), fault: FaultGap},
		{name: "first token missing", text: testEvent("r1.2", 1), fault: FaultGap},
		{name: "length differs", text: own + lastEvent("r1.2", 2, 3), passed: testEvent("r1", 0) + testEvent("r1", 1), fault: FaultTruncated},
		{name: "no end marker", text: own + lastEvent("r1.2", 2, 2), passed: whole, fault: FaultTruncated},
		{name: "empty", fault: FaultTruncated},
		{name: "no id", text: "data: {\"index\":0}\n\n", fault: FaultMalformed},
		{name: "no index", text: "data: {\"id\":\"r1.2\"}\n\n", fault: FaultMalformed},
		{name: "negative index", text: "data: {\"id\":\"r1.2\",\"index\":-1}\n\n", fault: FaultMalformed},
		{name: "not JSON", text: "data: {\"id\":\"r1.2\",\n\n", fault: FaultMalformed},
		{name: "too large", text: "data: " + strings.Repeat("x", maxEventBytes), fault: FaultTooLarge},
		{name: "overlap", text: testEvent("r1.2", 0) + "data: {\"id\":\"r1.2\",\"index\":0,\"tokens\":2}\n\n", passed: testEvent("r1", 0), fault: FaultMalformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			stream := testStream(iotest.OneByteReader(strings.NewReader(test.text)), 0)
			passed, err := drain(stream)
			c.Assert(passed, qt.Equals, test.passed)
			if test.fault == "" {
				c.Assert(err, qt.Equals, io.EOF)
			} else {
				fault, ok := errors.AsType[*FaultError](err)
				c.Assert(ok, qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(fault.Fault(), qt.Equals, test.fault)
			}
			if test.dropped != "" {
				c.Assert(stream.response.client.Faults().Get(string(test.dropped)).String(), qt.Equals, "1")
			}
		})
	}
}

func TestStreamIsTruncatedAtEveryByte(t *testing.T) {
	c := qt.New(t)
	text := testEvent("r1.2", 0) + testEvent("r1.2", 1) + lastEvent("r1.2", 2, 2) + strings.TrimSuffix(doneText, "\n\n")
	for n := range len(text) + 1 {
		passed, err := drain(testStream(strings.NewReader(text[:n]), 0))
		fault, ok := errors.AsType[*FaultError](err)
		c.Assert(ok, qt.IsTrue, qt.Commentf("cut at byte %d: %v", n, err))
		c.Assert(fault.Fault(), qt.Equals, FaultTruncated, qt.Commentf("cut at byte %d", n))
		c.Assert(strings.HasSuffix(passed, "\n\n") || passed == "", qt.IsTrue)
	}
}

func TestStreamResumes(t *testing.T) {
	for _, stated := range []int{3, 1} {
		c := qt.New(t)
		stream := testStream(strings.NewReader(testEvent("r1.2", 2)+lastEvent("r1.2", 3, stated)+doneText), 2)
		passed, err := drain(stream)
		c.Assert(err, qt.Equals, io.EOF)
		c.Assert(passed, qt.Equals, testEvent("r1", 2)+lastEvent("r1", 3, stated))
		c.Assert(stream.Tokens(), qt.Equals, 3)
	}
}

// beforeRead must be called before the stream waits for the server, so that
// the caller can flush what it has buffered.
func TestStreamCallsBeforeRead(t *testing.T) {
	c := qt.New(t)
	whole := testEvent("r1.2", 0) + testEvent("r1.2", 1)
	reads := io.MultiReader(strings.NewReader(whole+": note\n"+testEvent("r9.1", 2)), strings.NewReader(doneText))
	stream := testStream(reads, 0)
	passed := 0
	var waits []int
	stream.beforeRead = func() error {
		waits = append(waits, passed)
		return nil
	}
	for {
		if _, err := stream.Next(); err != nil {
			c.Assert(err, qt.Equals, io.EOF)
			break
		}
		passed++
	}
	c.Assert(waits[0], qt.Equals, 0)
	c.Assert(waits[1], qt.Equals, 2)
	stop := errors.New("stop")
	stream.beforeRead = func() error { return stop }
	_, err := stream.Next()
	c.Assert(err, qt.Equals, stop)
}

func TestStreamEndsAfterTooManyDroppedEvents(t *testing.T) {
	c := qt.New(t)
	_, err := drain(testStream(strings.NewReader(strings.Repeat(testEvent("r9.1", 0), maxDroppedEvents+1)), 0))
	fault, ok := errors.AsType[*FaultError](err)
	c.Assert(ok, qt.IsTrue)
	c.Assert(fault.Fault(), qt.Equals, FaultCrossed)
}

func TestFields(t *testing.T) {
	tests := []struct {
		text string
		want string
		bad  bool
	}{
		{text: `{}`},
		{text: ` {"a" : "x\"}" , "b":[{"c":"]"}],"d":-1.5}`, want: `a="x\"}" b=[{"c":"]"}] d=-1.5 `},
		{text: ``, bad: true},
		{text: `[]`, bad: true},
		{text: `{"a"`, bad: true},
		{text: `{"a":}`, bad: true},
		{text: `{"a":"x`, bad: true},
		{text: `{"a":"x\`, bad: true},
		{text: `{"a":[1`, bad: true, want: ``},
		{text: `{"a":1`, bad: true, want: `a=1 `},
	}
	for _, test := range tests {
		c := qt.New(t)
		var got strings.Builder
		err := Fields([]byte(test.text), func(name, value []byte) error {
			fmt.Fprintf(&got, "%s=%s ", name, value)
			return nil
		})
		c.Check(err != nil, qt.Equals, test.bad, qt.Commentf("%s", test.text))
		c.Check(got.String(), qt.Equals, test.want, qt.Commentf("%s", test.text))
	}
}
