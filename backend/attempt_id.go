package backend

import (
	"strconv"
	"strings"
)

// Separators within an attempt's id: request "." number "@" entry "/" incarnation.
const (
	attemptNumberMark   = "."
	attemptOwnerMark    = "@"
	attemptIncarnation  = "/"
	attemptWholeMark    = "="
	attemptIncarnBase   = 36
	attemptIncarnBitLen = 64
)

// AttemptID returns the id of a request's attempt. It names the owner, so that
// whoever finds a stream of it on a backend server can tell whether anybody
// still waits for it.
func AttemptID(owner Owner, request string, number int) string {
	return request + attemptNumberMark + strconv.Itoa(number) + ownerSuffix(owner)
}

// AttemptRequestID returns the part of an attempt's id that all attempts of its request share.
func AttemptRequestID(attempt string) string {
	if at := strings.LastIndex(attempt, attemptOwnerMark); at >= 0 {
		attempt = attempt[:at]
	}
	if number := strings.LastIndex(attempt, attemptNumberMark); number >= 0 {
		return attempt[:number]
	}
	return attempt
}

// AttemptOwner returns the owner that an attempt's id names.
func AttemptOwner(attempt string) (Owner, bool) {
	at := strings.LastIndex(attempt, attemptOwnerMark)
	if at < 0 {
		return Owner{}, false
	}
	entry, text, found := strings.Cut(attempt[at+1:], attemptIncarnation)
	if !found || entry == "" {
		return Owner{}, false
	}
	incarnation, err := strconv.ParseUint(text, attemptIncarnBase, attemptIncarnBitLen)
	if err != nil {
		return Owner{}, false
	}
	return Owner{entry: entry, incarnation: incarnation}, true
}

// ShortAttemptID returns an attempt's id without the owner that it names, for
// messages whose owner is known; an id of another owner stays whole, marked.
func ShortAttemptID(owner Owner, attempt string) string {
	short, own := strings.CutSuffix(attempt, ownerSuffix(owner))
	if !own || strings.HasPrefix(short, attemptWholeMark) {
		return attemptWholeMark + attempt
	}
	return short
}

// FullAttemptID returns the id of an owner's attempt that ShortAttemptID shortened.
func FullAttemptID(owner Owner, short string) string {
	if whole, marked := strings.CutPrefix(short, attemptWholeMark); marked {
		return whole
	}
	return short + ownerSuffix(owner)
}

func ownerSuffix(owner Owner) string {
	return attemptOwnerMark + owner.entry +
		attemptIncarnation + strconv.FormatUint(owner.incarnation, attemptIncarnBase)
}
