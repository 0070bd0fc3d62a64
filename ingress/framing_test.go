package ingress

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against MIXED: a long answer, of which a part is forwarded before its end is
// known, looks complete only if its end arrived, in any framing.
func TestLongAnswerIsCompleteOnlyAtItsEnd(t *testing.T) {
	c := qt.New(t)
	header := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nConnection: close\r\n"
	body := strings.Repeat("0123456789abcdef", (maxBufferedBytes+100_000)/16)
	for _, framing := range framings {
		whole := framedAnswer(framing, header, body)
		early := whole[:len(whole)-50_000]
		for name, test := range map[string]struct {
			text     string
			complete bool
		}{
			"whole":           {whole, true},
			"silent":          {early + silence + whole[len(early):], true},
			"trailing":        {whole + "more", true},
			"closed early":    {early, framing == "none"}, // can't be told from a whole one
			"reset early":     {early + reset, false},
			"reset when long": {whole + silence + reset, framing != "none"},
		} {
			comment := qt.Commentf("%s, %s", framing, name)
			server := newBackend(c, test.text)
			server.silenceTime = 20 * time.Millisecond
			b := newTestbedOn(c, server)
			response, got, err := b.do(b.request(http.MethodPost, "/once/", "x"))
			if name == "reset early" && response.StatusCode == http.StatusBadGateway {
				continue // the reset overtook the start
			}
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK, comment)
			c.Assert(err == nil, qt.Equals, test.complete, comment)
			if name == "whole" || name == "silent" {
				c.Assert(got == body, qt.IsTrue, comment)
			}
			c.Assert(strings.HasPrefix(body+"more", got), qt.IsTrue, comment)
		}
	}
}

// Guards against events that are late: an event is passed on at once though the server
// stops in the middle of the next one.
func TestEventIsForwardedWhileTheNextIsIncomplete(t *testing.T) {
	c := qt.New(t)
	header := "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
	text := streamBody(0)
	at := strings.Index(text, "id: 3") + 2
	server := newBackend(c, framedAnswer("none", header, text[:at]+silence+text[at:]))
	server.silenceTime = 600 * time.Millisecond
	b := newTestbedOn(c, server)
	start := time.Now()
	response, err := http.DefaultClient.Do(b.request(http.MethodPost, "/stream/", "x"))
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	for range strings.Count(eventsUpTo(2), "\n") {
		_, err := reader.ReadString('\n')
		c.Assert(err, qt.IsNil)
	}
	c.Assert(time.Since(start) < server.silenceTime/2, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}
