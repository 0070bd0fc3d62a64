package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	status  int // 0 if no answer began
	header  http.Header
	body    string
	whole   bool // the body is complete by the rules of HTTP
	err     error
}

func (r result) String() string {
	text := fmt.Sprintf("request %s: %.3f s after it was sent: ", r.id, r.endedAt.Sub(r.sentAt).Seconds())
	switch {
	case r.status == 0:
		return text + fmt.Sprintf("channel closed with no answer (%v)", r.err)
	case !r.whole:
		return text + fmt.Sprintf("%d, cut in the answer after %d bytes (%v)", r.status, len(r.body), r.err)
	default:
		return text + fmt.Sprintf("%d, whole answer of %d bytes, seal %q, Retry-After %q", r.status, len(r.body), r.header.Get("Runner-Seal"), r.header.Get("Retry-After"))
	}
}

// request sends a request on a new channel and reads the answer to its end.
func request(address, method, path, id string, deadline time.Duration, header map[string]string, body string) result {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return result{id: id, sentAt: time.Now(), endedAt: time.Now(), err: err}
	}
	return requestOn(conn, method, path, id, deadline, header, body)
}

// requestOn sends a request on an open channel, reads the answer to its end and closes the channel.
func requestOn(conn net.Conn, method, path, id string, deadline time.Duration, header map[string]string, body string) result {
	r := result{id: id}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, host, id, deadline.Milliseconds(), apiKey)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n" + body)
	r.sentAt = time.Now()
	if _, err := io.WriteString(conn, b.String()); err != nil {
		r.err, r.endedAt = err, time.Now()
		return r
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		r.err, r.endedAt = err, time.Now()
		return r
	}
	text, err := io.ReadAll(response.Body)
	r.status, r.header, r.body, r.err, r.endedAt = response.StatusCode, response.Header, string(text), err, time.Now()
	r.whole = err == nil
	return r
}
