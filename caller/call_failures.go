package caller

import "net/http"

// Failures of non-idempotent calls, returned by the owner or by another entry
// in its place.
var (
	unknownCall = newFailure(http.StatusNotFound, OutcomeNotRun, ReasonNotFound, "the service has no such call")
	idNeeded    = newFailure(http.StatusBadRequest, OutcomeNotRun, ReasonIDNeeded,
		"this call may not be repeated: it needs an X-Request-Id that begins with request_id_prefix of GET /v1/address")
	ownerLost = newFailure(http.StatusBadGateway, OutcomeUnknown, ReasonOwnerLost,
		"the entry that this id names has been replaced; nobody can say whether the call ran")
	ownerUnreachable = newFailure(http.StatusBadGateway, OutcomeUnknown, ReasonOwnerUnreachable,
		"the entry that this id names did not answer; ask again with the same id")
	ownerSilent = newFailure(http.StatusBadGateway, OutcomeUnknown, ReasonOwnerUnreachable,
		"the entry that this id names is not heard any more; ask again with the same id")
	idExpired = newFailure(http.StatusGone, OutcomeUnknown, ReasonIDExpired,
		"the id is older than its prefix is valid, or was never minted; nobody can say whether the call ran")
	ownerFull = newFailure(http.StatusServiceUnavailable, OutcomeNotRun, ReasonOwnerFull,
		"no room to remember more calls; this id never runs: ask for a new prefix when you come back")
	responseNotStored = newFailure(http.StatusConflict, OutcomeRan, ReasonIDUsed,
		"the call ran and its answer is no longer kept")
	stillRunning = newFailure(http.StatusGatewayTimeout, OutcomeUnknown, ReasonDeadline,
		"the call had not ended at its deadline")
)

// idConsumed returns the failure with a note that its ID is used up, if the
// call has not run: an ID that was refused once never runs.
func idConsumed(f *Failure) *Failure {
	if f.outcome != OutcomeNotRun {
		return f
	}
	changed := *f
	changed.message += "; this id is used up: call again with a new one"
	return &changed
}
