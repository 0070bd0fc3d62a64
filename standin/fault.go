package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Fault is a failure mode to inject into a simulated system.
type Fault interface {
	isFault()
}

type (
	cleared      struct{}
	frozen       struct{}
	killed       struct{}
	restarted    struct{}
	draining     struct{}
	down         struct{}
	slow         struct{ factor float64 }
	stale        struct{ revision int64 }
	misdelivered struct{ times int }
	truncated    struct{ tokens, times int }
	delayed      struct {
		delay time.Duration
		times int
	}
)

func (cleared) isFault()      {}
func (frozen) isFault()       {}
func (killed) isFault()       {}
func (restarted) isFault()    {}
func (draining) isFault()     {}
func (down) isFault()         {}
func (slow) isFault()         {}
func (stale) isFault()        {}
func (misdelivered) isFault() {}
func (truncated) isFault()    {}
func (delayed) isFault()      {}

// Cleared ends every fault: what is frozen resumes, killed restarts, or draining takes new work again.
func Cleared() Fault { return cleared{} }

// Frozen makes a server or replica accept requests without responding, until the fault is cleared.
func Frozen() Fault { return frozen{} }

// Killed aborts every connection until the fault is cleared; the server's memory is lost.
func Killed() Fault { return killed{} }

// Restarted restarts a backend server, cold and with a new incarnation; running requests are aborted.
func Restarted() Fault { return restarted{} }

// Draining makes a backend server refuse new requests and finish the running ones.
func Draining() Fault { return draining{} }

// Down makes a platform replica abort every connection until the fault is cleared.
func Down() Fault { return down{} }

// Slow multiplies the time that a server or replica takes by factor.
func Slow(factor float64) Fault { return slow{factor: factor} }

// Stale makes a platform replica respond with its state at the revision, 0 for the current one.
func Stale(revision int64) Fault { return stale{revision: revision} }

// Misdelivered puts another request's events or answer into the next responses;
// times 0 affects all responses until the fault is cleared.
func Misdelivered(times int) Fault { return misdelivered{times: times} }

// Truncated ends the next responses early: streams after a number of tokens, without
// the terminating event, and others after as many bytes. times 0 affects all responses
// until the fault is cleared.
func Truncated(tokens, times int) Fault { return truncated{tokens: tokens, times: times} }

// Delayed delays the next responses; times 0 affects all responses until the fault is cleared.
func Delayed(delay time.Duration, times int) Fault { return delayed{delay: delay, times: times} }

type faultBody struct {
	Fault    string  `json:"fault"`
	Factor   float64 `json:"factor"`
	Revision int64   `json:"revision"`
	Tokens   int     `json:"tokens"`
	Times    int     `json:"times"`
	Delay    string  `json:"by"`
}

func (b faultBody) parse() (Fault, error) {
	delay, err := time.ParseDuration(b.Delay)
	if b.Delay != "" && err != nil {
		return nil, fmt.Errorf("standin: fault: by: %w", err)
	}
	switch b.Fault {
	case "cleared", "thawed":
		return Cleared(), nil
	case "frozen":
		return Frozen(), nil
	case "killed":
		return Killed(), nil
	case "newly_cold":
		return Restarted(), nil
	case "leaving":
		return Draining(), nil
	case "down":
		return Down(), nil
	case "slow":
		return Slow(max(b.Factor, 1)), nil
	case "stale":
		return Stale(b.Revision), nil
	case "crossed":
		return Misdelivered(b.Times), nil
	case "truncated":
		return Truncated(b.Tokens, b.Times), nil
	case "late":
		return Delayed(delay, b.Times), nil
	}
	return nil, fmt.Errorf("standin: fault: %q is not known", b.Fault)
}

// serveFault handles POST /fault: it passes the fault in the body to inject.
func serveFault(inject func(Fault)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body faultBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		fault, err := body.parse()
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		inject(fault)
		writeJSON(w, struct{}{})
	}
}

type errorBody struct {
	Error errorReason `json:"error"`
}

type errorReason struct {
	Reason string `json:"reason"`
}

func writeError(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(errorBody{Error: errorReason{Reason: reason}})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}
