package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// errorTexts are what servers send as the body of an error: with and without blank lines, and
// with the whole head of another response.
var errorTexts = []string{
	"",
	"overloaded\n",
	"<html>\n\n<h1>Bad Gateway</h1>\n\n</html>\n",
	`{"error": {"message": "overloaded"}}` + "\n\n",
	"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 3\r\n\r\nbad\n\n",
}

// Guards against ORDER and MIXED: a stream has begun and broke off, and the next server answers
// with an error. The caller gets nothing of it, and the stream does not end as complete.
func TestErrorAfterBrokenStreamIsNoPartOfIt(t *testing.T) {
	const begun = "id: 1\n\n"
	for _, status := range []int{200, 204, 302, 400, 404, 429, 500, 502, 503, 504} {
		for _, contentType := range []string{"", "Content-Type: text/plain\r\n", "Content-Type: application/json\r\n"} {
			for i, text := range errorTexts {
				for _, framing := range []string{"length", "chunked", "none"} {
					if status == 204 && framing != "none" {
						continue
					}
					t.Run(fmt.Sprintf("%d/%s/%d/%s", status, strings.TrimSpace(contentType), i, framing), func(t *testing.T) {
						t.Parallel()
						c := qt.New(t)
						answer := fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\nConnection: close\r\n%s", status, contentType)
						switch framing {
						case "length":
							answer += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
						case "chunked":
							answer += "Transfer-Encoding: chunked\r\n\r\n"
							if text != "" {
								answer += fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
							}
							answer += "0\r\n\r\n"
						default:
							answer += "\r\n" + text
						}
						b := newTestbedOn(c, newBackend(c, streamResponse(begun, false)), newBackend(c, answer))
						response, body, err := b.do(b.request(http.MethodPost, "/stream/x", ""))
						c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
						c.Check(body, qt.Equals, begun)
						c.Check(err, qt.IsNotNil)
					})
				}
			}
		}
	}
}

// Guards against MIXED: the same where the head of an error follows in the body of the first
// server, which has no length, or in that of a resumed stream.
func TestHeadWithinStreamIsNoEvent(t *testing.T) {
	const head = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 3\r\n\r\nbad\n\n"
	unframed := "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	for name, steps := range map[string][]string{
		"first":   {unframed + "id: 1\n\n" + head, unframed + head},
		"resumed": {streamResponse("id: 1\n\n", false), unframed + head},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var backends []*backend
			for _, step := range steps {
				backends = append(backends, newBackend(c, step))
			}
			b := newTestbedOn(c, backends...)
			_, body, err := b.do(b.request(http.MethodPost, "/stream/x", ""))
			c.Check(body, qt.Equals, "id: 1\n\n")
			c.Check(err, qt.IsNotNil)
		})
	}
}
