package crowdtest

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// legalHeadBytes is the size of the heads that are legal in all tests; the limit is
	// maxHeaderBytes.
	legalHeadBytes = 15_000
	maxHeaderBytes = 16_384
	// endlessBytes is what a client sends of something without an end.
	endlessBytes = 4 << 20
	// sendTimeout bounds one write of a client; the process may never read it.
	sendTimeout = 5 * time.Second
)

// crowd is a number of clients that do the same.
type crowd struct {
	name    string
	clients int
	// send writes what the n-th client sends. A process may refuse it at any time.
	send func(conn net.Conn, n int) error
	// servers is whether the clients hold the places of all backend servers until they leave.
	servers bool
	// unread is whether the clients read none of their answers.
	unread bool
}

// present is a crowd whose clients are connected.
type present struct {
	mu      sync.Mutex
	conns   []net.Conn
	readers sync.WaitGroup
}

// join connects all clients of the crowd to an address and returns once each has sent what it
// sends, or was refused.
func (c crowd) join(address string) *present {
	p := &present{}
	var sent sync.WaitGroup
	for n := range c.clients {
		sent.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, conn)
			p.mu.Unlock()
			if !c.unread {
				p.readers.Go(func() { _, _ = io.Copy(io.Discard, conn) })
			}
			_ = c.send(timedConn{conn}, n)
		})
	}
	sent.Wait()
	return p
}

// leave closes the connections of all clients.
func (p *present) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.readers.Wait()
}

// timedConn bounds each write.
type timedConn struct{ net.Conn }

// Write writes p within sendTimeout.
func (c timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// lineKind is the form of the header lines of which a head is made.
type lineKind string

const (
	lineShort    lineKind = "short"    // names that differ, no values
	lineValued   lineKind = "valued"   // names that differ, values of one byte
	lineRepeated lineKind = "repeated" // one name again and again
	lineFew      lineKind = "few"      // three long values
)

var lineKinds = []lineKind{lineShort, lineValued, lineRepeated, lineFew}

// lines returns header lines of a kind with so many bytes, or a few less.
func lines(kind lineKind, bytes int) string {
	if kind == lineFew {
		return strings.Repeat("Long: "+strings.Repeat("v", bytes/3-8)+"\r\n", 3)
	}
	form := "%c%c%c:\r\n"
	if kind == lineValued {
		form = "%c%c%c: v\r\n"
	}
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var out strings.Builder
	for n := 0; out.Len() < bytes-8; n++ {
		if kind == lineRepeated {
			out.WriteString("a:\r\n")
			continue
		}
		fmt.Fprintf(&out, form, digits[n/len(digits)/len(digits)%len(digits)], digits[n/len(digits)%len(digits)], digits[n%len(digits)])
	}
	return out.String()
}

// legalHead returns the head of a request without the empty line at its end: legalHeadBytes of
// which all but the given lines are of a kind.
func legalHead(kind lineKind, method, path string, fields ...string) string {
	head := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head + lines(kind, legalHeadBytes-len(head))
}

// repeat writes a text again and again, so many bytes in all.
func repeat(conn net.Conn, text string, bytes int) error {
	block := []byte(strings.Repeat(text, max(1, 8192/len(text))))
	for sent := 0; sent < bytes; sent += len(block) {
		if _, err := conn.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// write writes texts.
func write(conn net.Conn, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	return nil
}

// headCrowds returns the crowds whose heads cost memory at any listener for HTTP. The path is
// one of an ordinary request there, and fields are further header lines of it.
func headCrowds(clients int, path string, fields func(n int) []string) []crowd {
	withBody := func(n int, more ...string) []string { return append(fields(n), more...) }
	var out []crowd
	for _, kind := range lineKinds {
		out = append(out,
			crowd{name: string(kind) + "_lines_body_awaited", clients: clients, send: func(conn net.Conn, n int) error {
				return write(conn, legalHead(kind, "POST", path, withBody(n, "Content-Length: 10")...), "\r\n")
			}},
			crowd{name: string(kind) + "_lines_head_awaited", clients: clients, send: func(conn net.Conn, n int) error {
				return write(conn, legalHead(kind, "GET", path, fields(n)...))
			}},
		)
	}
	return append(out,
		crowd{name: "head_over_limit", clients: clients, send: func(conn net.Conn, n int) error {
			return write(conn, legalHead(lineShort, "GET", path, fields(n)...), lines(lineShort, 3*maxHeaderBytes), "\r\n")
		}},
		crowd{name: "head_over_limit_awaited", clients: clients, send: func(conn net.Conn, n int) error {
			return write(conn, legalHead(lineShort, "GET", path, fields(n)...), lines(lineShort, 3*maxHeaderBytes))
		}},
		crowd{name: "head_without_end", clients: clients, send: func(conn net.Conn, n int) error {
			return errorsOf(write(conn, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\n"), repeat(conn, "a:\r\n", endlessBytes))
		}},
		crowd{name: "line_without_end", clients: clients, send: func(conn net.Conn, n int) error {
			return errorsOf(write(conn, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\nA: "), repeat(conn, "v", endlessBytes))
		}},
		crowd{name: "request_line_without_end", clients: clients, send: func(conn net.Conn, n int) error {
			return errorsOf(write(conn, "GET "+path), repeat(conn, "x", endlessBytes))
		}},
		crowd{name: "empty_lines_without_end", clients: clients, send: func(conn net.Conn, n int) error {
			return repeat(conn, "\r\n", endlessBytes)
		}},
		crowd{name: "empty_lines_after_request", clients: clients, send: func(conn net.Conn, n int) error {
			head := "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 0\r\n" + strings.Join(append(fields(n), ""), "\r\n") + "\r\n"
			return errorsOf(write(conn, head), repeat(conn, "\r\n", endlessBytes))
		}},
	)
}

// errorsOf returns the first error.
func errorsOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// silentCrowd returns a crowd whose clients send nothing.
func silentCrowd(clients int) crowd {
	return crowd{name: "silent", clients: clients, send: func(net.Conn, int) error { return nil }}
}

// ownDescriptors returns how many descriptors this process has open.
func ownDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}
