package backend

import (
	"strconv"
	"strings"
)

// Separators within an attempt's id: request "." number "@" entry "/" incarnation.
const (
	numberSeparator      = "."
	ownerSeparator       = "@"
	incarnationSeparator = "/"
	fullIDMark           = "="
	incarnationBase      = 36
	incarnationBits      = 64
)

// AttemptID returns the id of a request's attempt. It contains the owner, so
// that anyone who finds the attempt's stream on a backend server can tell
// whether its owner still exists.
func AttemptID(owner Owner, request string, number int) string {
	return request + numberSeparator + strconv.Itoa(number) + ownerSuffix(owner)
}

// AttemptRequestID returns the request's part of an attempt id, which all
// attempts of the request share.
func AttemptRequestID(attempt string) string {
	if at := strings.LastIndex(attempt, ownerSeparator); at >= 0 {
		attempt = attempt[:at]
	}
	if number := strings.LastIndex(attempt, numberSeparator); number >= 0 {
		return attempt[:number]
	}
	return attempt
}

// AttemptOwner returns the owner that an attempt id contains, false if it
// contains none.
func AttemptOwner(attempt string) (Owner, bool) {
	at := strings.LastIndex(attempt, ownerSeparator)
	if at < 0 {
		return Owner{}, false
	}
	entry, text, found := strings.Cut(attempt[at+1:], incarnationSeparator)
	if !found || entry == "" {
		return Owner{}, false
	}
	incarnation, err := strconv.ParseUint(text, incarnationBase, incarnationBits)
	if err != nil {
		return Owner{}, false
	}
	return Owner{entry: entry, incarnation: incarnation}, true
}

// ShortAttemptID returns an attempt id without its owner, for messages whose
// owner is known. An id of another owner is kept in full and marked so.
func ShortAttemptID(owner Owner, attempt string) string {
	short, own := strings.CutSuffix(attempt, ownerSuffix(owner))
	if !own || strings.HasPrefix(short, fullIDMark) {
		return fullIDMark + attempt
	}
	return short
}

// FullAttemptID reverses ShortAttemptID for the same owner.
func FullAttemptID(owner Owner, short string) string {
	if whole, marked := strings.CutPrefix(short, fullIDMark); marked {
		return whole
	}
	return short + ownerSuffix(owner)
}

func ownerSuffix(owner Owner) string {
	return ownerSeparator + owner.entry +
		incarnationSeparator + strconv.FormatUint(owner.incarnation, incarnationBase)
}
