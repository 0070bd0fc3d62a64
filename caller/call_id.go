package caller

import (
	"strconv"
	"strings"
	"time"

	"greengagedock.example/backend"
)

// epochLength is how long an epoch lasts. The prefix for request IDs in an
// address response names the current epoch; an ID is valid in its own epoch and
// the next.
const epochLength = 10 * time.Minute

const (
	maxRequestIDLength = 200
	maxSuffixLength    = 64
)

// callID is the request ID of a non-idempotent call, in the form
// "ENTRY.INCARNATION.EPOCH.SUFFIX". It names the owner, the only entry
// incarnation that may run the call.
type callID struct {
	owner  backend.Owner
	epoch  int64
	suffix string
}

func (id callID) String() string { return callIDPrefix(id.owner, id.epoch) + id.suffix }

func callIDPrefix(owner backend.Owner, epoch int64) string {
	incarnation := strconv.FormatUint(owner.Incarnation(), 16)
	return owner.Entry() + "." + incarnation + "." + strconv.FormatInt(epoch, 10) + "."
}

// parseCallID parses an ID made from the prefix in an address response. Only
// the entry's name may contain dots.
func parseCallID(text string) (callID, bool) {
	rest, suffix, ok := cutLast(text)
	if !ok || suffix == "" || len(suffix) > maxSuffixLength {
		return callID{}, false
	}
	rest, epochText, ok := cutLast(rest)
	if !ok {
		return callID{}, false
	}
	entry, incarnationText, ok := cutLast(rest)
	if !ok || entry == "" {
		return callID{}, false
	}
	epoch, err := strconv.ParseInt(epochText, 10, 64)
	if err != nil || epoch < 0 {
		return callID{}, false
	}
	incarnation, err := strconv.ParseUint(incarnationText, 16, 64)
	if err != nil {
		return callID{}, false
	}
	id := callID{owner: backend.NewOwner(entry, incarnation), epoch: epoch, suffix: suffix}
	return id, id.String() == text
}

func cutLast(text string) (before, after string, ok bool) {
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return text, "", false
	}
	return text[:dot], text[dot+1:], true
}

// validRequestID reports whether the ID is within the length limit and has only
// allowed characters.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	for _, r := range id {
		letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		if !letter && !strings.ContainsRune("-_.:~", r) {
			return false
		}
	}
	return true
}
