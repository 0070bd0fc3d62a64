package ingress

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against MIXED and LOST: bytes that a server sends after a complete answer are no
// part of the next one on the connection, nor do they cost the next request its answer.
func TestTrailingBytesBelongToNoRequest(t *testing.T) {
	c := qt.New(t)
	header := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"
	for name, more := range map[string]string{
		"none":             "",
		"text":             "more",
		"blank lines":      "\r\n\r\n",
		"no answer":        "more\r\n\r\n",
		"answer again":     framedAnswer("length", header, "again"),
		"unframed answer":  framedAnswer("none", header, "again"),
		"answer without":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore",
		"part of a header": "HTTP/1.1 200 OK\r\nId: ",
		"a little later":   silence + "more\r\n\r\n",
	} {
		for _, framing := range []string{"length", "chunks"} {
			server := newBackend(c, framedAnswer(framing, header, "body of ID")+more, framedAnswer(framing, header, "body of ID"))
			server.keeps, server.silenceTime = true, 5*time.Millisecond
			b := newTestbedOn(c, server, server)
			b.scheduler.ids = []string{"s1", "s1"}
			for i, id := range []string{"a1", "a2"} {
				r := b.request(http.MethodPost, "/once/", "x")
				r.Header.Set("Id", id)
				response, body, err := b.do(r)
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s, %s, %s", framing, name, id))
				c.Assert(body, qt.Equals, "body of "+id, qt.Commentf("%s, %s", framing, name))
				for len(b.scheduler.ended()) <= i { // the connection is then idle
					time.Sleep(time.Millisecond)
				}
				if strings.Contains(more, silence) {
					time.Sleep(20 * server.silenceTime)
				}
			}
			wanted := int64(0)
			if more == "" {
				wanted = 1
			}
			c.Assert(b.server.client.ConnectionsReused(), qt.Equals, wanted, qt.Commentf("%s, %s", framing, name))
		}
	}
}
