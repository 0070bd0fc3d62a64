//go:build ignore

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const clientKey = "key-of-client"

// answer is what came of a request.
type answer struct {
	status int // 0 without a head
	text   string
	whole  bool
	err    error
	// took is the time since the last byte of the request was sent.
	took time.Duration
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer after %.2f s: %v", a.took.Seconds(), a.err)
	case !a.whole:
		return fmt.Sprintf("%d, cut after %.2f s: %v", a.status, a.took.Seconds(), a.err)
	default:
		return fmt.Sprintf("%d after %.2f s", a.status, a.took.Seconds())
	}
}

// request is a request on a channel of its own.
type request struct {
	conn net.Conn
	sent time.Time
}

// send sends a request for a path to an entry.
func send(front, method, path, id string, deadline time.Duration, headers string) (*request, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: rig.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: 0\r\n\r\n", method, path, id, deadline.Milliseconds(), clientKey, headers)
	return &request{conn: conn, sent: time.Now()}, err
}

// receive reads the answer and closes the channel.
func (q *request) receive(deadline time.Duration) (a answer) {
	defer q.conn.Close()
	_ = q.conn.SetReadDeadline(q.sent.Add(deadline + time.Second))
	defer func() { a.took = time.Since(q.sent) }()
	response, err := http.ReadResponse(bufio.NewReader(q.conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status = response.StatusCode
	text, err := io.ReadAll(response.Body)
	a.text, a.err, a.whole = string(text), err, err == nil
	return a
}
