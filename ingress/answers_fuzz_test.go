package ingress

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagedock.example/dispatch"
	"greengagedock.example/flagtest"
)

// fuzzEvents is the number of events of a whole stream in the fuzz test.
const fuzzEvents = 4

// fuzzedAnswer is a backend server's response on one connection, and what a caller
// may see of it.
type fuzzedAnswer struct {
	text string
	// seal identifies the server; status and body are those of its response.
	seal   string
	status int
	body   string
	// whole is whether the response is complete and the caller's own.
	whole bool
	// cleanEnd is the number of events after which an unframed stream ends that can't be
	// told from a whole one, -1 if it does not.
	cleanEnd int
}

// framings are the ways in which a response states where its body ends.
var framings = []string{"length", "chunks", "none"}

// framedAnswer returns a response in a framing, without the status line.
func framedAnswer(framing, header, body string) string {
	switch framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	case "chunks":
		middle := len(body) / 2
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", header, middle, body[:middle], len(body)-middle, body[middle:])
	default:
		return header + "\r\n" + body
	}
}

// streamBody returns the events of a stream after the given one.
func streamBody(from int) string {
	out := ""
	for i := from + 1; i <= fuzzEvents; i++ {
		out += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	return out
}

// drawAnswer draws the response of the server with a number, in any framing: whole,
// failed, refused, closed early or reset anywhere, silent for a while, with more bytes
// after its end, of another request, behind a stray one, or no response at all.
func drawAnswer(t *rapid.T, number int, stream bool) fuzzedAnswer {
	a := fuzzedAnswer{seal: fmt.Sprint("seal-", number), status: http.StatusOK, body: fmt.Sprint("body of ", number)}
	if stream {
		a.body = streamBody(0)
	}
	if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
		a.status, a.body = http.StatusInternalServerError, fmt.Sprint("failure of ", number)
	}
	header := fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\nSeal: %s\r\nConnection: close\r\n", a.status, a.seal)
	framing := rapid.SampledFrom(framings).Draw(t, "framing")
	a.text = framedAnswer(framing, header, a.body)
	a.whole, a.cleanEnd = true, -1
	unframed := framing == "none"
	switch rapid.SampledFrom([]string{"whole", "closed", "reset", "silent", "trailing", "other", "stray", "refused", "empty", "garbage"}).Draw(t, "fault") {
	case "closed":
		a.text, a.whole = a.text[:rapid.IntRange(0, len(a.text)-1).Draw(t, "bytes")], false
		if _, body, ok := strings.Cut(a.text, "\r\n\r\n"); ok && unframed {
			a.whole, a.body = true, body // can't be told from a whole one, except within an event
			if events := strings.Count(body, "\n\n"); stream && a.status == http.StatusOK && body == eventsUpTo(events) {
				a.cleanEnd = events
			}
		}
	case "reset":
		sent := rapid.IntRange(0, len(a.text)).Draw(t, "bytes")
		a.whole = sent == len(a.text) && !unframed
		a.text = a.text[:sent] + reset
	case "silent":
		at := rapid.IntRange(0, len(a.text)).Draw(t, "bytes")
		a.text = a.text[:at] + silence + a.text[at:]
	case "trailing":
		if !unframed { // else they belong to the body
			a.text += rapid.SampledFrom([]string{"more", "\r\n\r\n", a.text, "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: trailing\r\nContent-Length: 4\r\n\r\nmore"}).Draw(t, "more")
		}
	case "other":
		a.text, a.whole = strings.Replace(a.text, "Id: ID", "Id: other", 1), false
	case "stray":
		a.text = "HTTP/1.1 200 OK\r\nId: earlier\r\nSeal: stray\r\nContent-Length: 5\r\n\r\nstray" + a.text
	case "refused":
		a.text, a.whole = refused, false
	case "empty":
		a.text, a.whole = "", false
	case "garbage":
		a.text, a.whole = "no response\r\n\r\n", false
	}
	return a
}

// eventsUpTo returns the first n events of a stream.
func eventsUpTo(n int) string {
	return strings.TrimSuffix(streamBody(0), streamBody(n))
}

// Whatever backend servers send, a caller gets a success only with one server's seal
// and its whole body, a seal only with that server's status, and events without a gap
// or a repetition; a complete stream has all of them.
func TestAnswersAreNeverMixed(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "1")
	flagtest.SetDefault(t, "rapid.checks", "500")
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{"/once/", "/again/", "/stream/", "/stream/fixed/"}).Draw(t, "path")
		stream := strings.HasPrefix(path, "/stream/")
		var answers []fuzzedAnswer
		var backends []*backend
		for number := range rapid.IntRange(1, 3).Draw(t, "servers") {
			answer := drawAnswer(t, number, stream)
			answers = append(answers, answer)
			server := newBackend(c, answer.text)
			server.silenceTime = maxFuzzSilence
			backends = append(backends, server)
		}
		b := newTestbedOn(c, backends...)
		response, err := http.DefaultClient.Do(b.request(http.MethodPost, path, "x"))
		if err != nil {
			return // the connection is closed without an answer, which claims nothing
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		seal := response.Header.Get("Seal")
		if response.StatusCode == http.StatusOK && seal == "" {
			t.Fatalf("success without a seal: %q", body)
		}
		if seal == "" {
			return
		}
		number, parseErr := strconv.Atoi(strings.TrimPrefix(seal, "seal-"))
		if parseErr != nil || number >= len(answers) {
			t.Fatalf("seal %q of no server that was asked", seal)
		}
		sealed := answers[number]
		if response.StatusCode != sealed.status {
			t.Fatalf("status %d with the seal of a server that answered %d", response.StatusCode, sealed.status)
		}
		if stream && sealed.status == http.StatusOK {
			checkFuzzedStream(t, string(body), err == nil, answers...)
			return
		}
		if !sealed.whole {
			t.Fatalf("seal of a response that is not whole: %q", body)
		}
		if err == nil && string(body) != sealed.body {
			t.Fatalf("body %q, want %q", body, sealed.body)
		}
	})
}

const (
	// fuzzSilenceTimeout is the time after which a server counts as silent in the fuzz
	// test of silences, and fuzzTokenInterval the objective that adds to it in a stream.
	fuzzSilenceTimeout = 4 * time.Millisecond
	fuzzTokenInterval  = 2 * time.Millisecond
	// maxFuzzSilence is the longest silence of a server.
	maxFuzzSilence = 12 * time.Millisecond
)

// drawSilences inserts silences between the bytes of a response.
func drawSilences(t *rapid.T, text string) string {
	places := rapid.SliceOfN(rapid.IntRange(0, len(text)), 0, 3).Draw(t, "silences")
	slices.Sort(places)
	for _, at := range slices.Backward(places) {
		text = text[:at] + silence + text[at:]
	}
	return text
}

// Guards against LOST: whatever other servers send and however long they take, a request
// whose first server is only silent at times gets one whole response, without a gap or
// a repetition, unless a server that took over from the first one breaks off.
func TestSilentServersNeverLoseAnswers(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "1")
	flagtest.SetDefault(t, "rapid.checks", "200")
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		header := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: seal-0\r\nConnection: close\r\n"
		answers := []fuzzedAnswer{{cleanEnd: -1}}
		head, text, _ := strings.Cut(framedAnswer(rapid.SampledFrom(framings).Draw(t, "first framing"), header, streamBody(0)), "\r\n\r\n")
		head += "\r\n\r\n"
		backends := []*backend{newBackend(c, head+drawSilences(t, text))}
		if rapid.Bool().Draw(t, "silent before the header") {
			backends[0] = newBackend(c, silence+head+text)
		}
		for number := range rapid.IntRange(0, 2).Draw(t, "others") {
			answer := drawAnswer(t, number+1, true)
			answers = append(answers, answer)
			text, end := strings.CutSuffix(answer.text, reset)
			text = drawSilences(t, text)
			if end {
				text += reset
			}
			backends = append(backends, newBackend(c, text))
		}
		for _, backend := range backends {
			backend.silenceTime = time.Duration(rapid.Int64Range(1, int64(maxFuzzSilence)).Draw(t, "silence"))
		}
		b := newTestbedOn(c, backends...)
		b.server.minSilence = fuzzSilenceTimeout
		response, err := http.DefaultClient.Do(b.request(http.MethodPost, "/stream/quick/", "x"))
		outcomes := b.scheduler.ended()
		if err != nil { // broken off before any event was flushed
			if !slices.Contains(outcomes, dispatch.OutcomeStalled) || !slices.Contains(outcomes, dispatch.OutcomeBroken) {
				t.Fatalf("no response: %v, outcomes %v", err, outcomes)
			}
			return
		}
		defer response.Body.Close()
		raw, err := io.ReadAll(response.Body)
		body := string(raw)
		outcomes = b.scheduler.ended()
		brokeOff := slices.Contains(outcomes, dispatch.OutcomeStalled) && slices.Contains(outcomes, dispatch.OutcomeBroken)
		if brokeOff && response.StatusCode == http.StatusOK {
			checkFuzzedStream(t, body, err == nil, answers...)
			return
		}
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("status %d, body %q, error %v, outcomes %v", response.StatusCode, body, err, outcomes)
		}
		checkFuzzedStream(t, body, true, answers...)
	})
}

// checkFuzzedStream checks that the events are the first ones of the stream, and all
// of them if it ended as complete, as far as one can tell from the answers.
func checkFuzzedStream(t *rapid.T, body string, complete bool, answers ...fuzzedAnswer) {
	if !strings.HasPrefix(streamBody(0), body) {
		t.Fatalf("stream with events %q", body)
	}
	events := strings.Count(body, "\n\n")
	if !complete || events == fuzzEvents {
		return
	}
	if body == eventsUpTo(events) && slices.ContainsFunc(answers, func(a fuzzedAnswer) bool { return a.cleanEnd >= 0 && a.cleanEnd <= events }) {
		return
	}
	t.Fatalf("stream ended as complete with events %q", body)
}
