package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// ErrResponseHead is wrapped by the errors of responses whose head is malformed.
var ErrResponseHead = errors.New("http1: malformed head of a response")

// Statuses of RFC 9110, section 15. Others are invalid.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
	statusDigits   = 3
)

// ResponseHead checks the head of a response line by line, before net/http decides by it where
// the body ends: net/http takes any number of three digits for a status, and blanks in names. The
// zero value expects the status line.
type ResponseHead struct {
	status  int
	minor   int
	started bool
}

// Interim reports whether the head is that of an interim response, which another one follows.
func (h *ResponseHead) Interim() bool { return h.status < minFinalStatus }

// Add checks the next line, with or without its end, and reports whether it ends the head. The
// error wraps ErrResponseHead.
func (h *ResponseHead) Add(line []byte) (ended bool, err error) {
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	if !h.started {
		h.started = true
		return false, h.checkStatus(line)
	}
	if len(line) == 0 {
		return true, nil
	}
	return false, h.checkField(line)
}

// checkStatus checks a status line. A request never asks for another protocol, so none is
// switched to.
func (h *ResponseHead) checkStatus(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	major, minor, ok := http.ParseHTTPVersion(string(version))
	if !ok || major != 1 {
		return fmt.Errorf("%w: version %.20q", ErrResponseHead, version)
	}
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != statusDigits || status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %.20q", ErrResponseHead, code)
	}
	h.status, h.minor = status, minor
	return nil
}

// checkField checks a field line: net/http takes a name with a blank as that of another field,
// and a line that begins with a blank as the rest of the line before it, so that a length or an
// encoding is lost. It ignores an encoding in a version that has none, in which the end of the
// body can't be told (RFC 9112, section 6.1).
func (h *ResponseHead) checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || bytes.ContainsFunc(name, func(r rune) bool { return !isTokenRune(r) }) {
		return fmt.Errorf("%w: field name %.40q", ErrResponseHead, name)
	}
	if h.minor == 0 && strings.EqualFold(string(name), "Transfer-Encoding") {
		return fmt.Errorf("%w: %s in HTTP/1.0", ErrResponseHead, name)
	}
	return nil
}

// isTokenRune reports whether a name may contain a character (RFC 9110, section 5.6.2).
func isTokenRune(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
