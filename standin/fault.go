package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Fault is something that goes wrong with a stand-in from now on.
type Fault interface {
	isFault()
}

type (
	cleared   struct{}
	frozen    struct{}
	killed    struct{}
	newlyCold struct{}
	leaving   struct{}
	down      struct{}
	slow      struct{ factor float64 }
	stale     struct{ revision int64 }
	crossed   struct{ times int }
	truncated struct{ tokens, times int }
	late      struct {
		by    time.Duration
		times int
	}
)

func (cleared) isFault()   {}
func (frozen) isFault()    {}
func (killed) isFault()    {}
func (newlyCold) isFault() {}
func (leaving) isFault()   {}
func (down) isFault()      {}
func (slow) isFault()      {}
func (stale) isFault()     {}
func (crossed) isFault()   {}
func (truncated) isFault() {}
func (late) isFault()      {}

// Cleared ends every fault: a frozen stand-in thaws, a killed one starts anew, a leaving one is live.
func Cleared() Fault { return cleared{} }

// Frozen makes a stand-in accept requests and never answer until it is cleared.
func Frozen() Fault { return frozen{} }

// Killed cuts every connection, now and until the stand-in is cleared; its memory is lost.
func Killed() Fault { return killed{} }

// Restarted restarts a backend server with a new incarnation; running work is cut.
func Restarted() Fault { return newlyCold{} }

// Draining makes a backend server refuse new work and finish what runs.
func Draining() Fault { return leaving{} }

// Down makes a platform replica cut every connection until it is cleared.
func Down() Fault { return down{} }

// Slow makes a backend server take factor times as long.
func Slow(factor float64) Fault { return slow{factor: factor} }

// Stale makes a platform replica answer with its state at the revision, 0 for the present one.
func Stale(revision int64) Fault { return stale{revision: revision} }

// Misdelivered puts another request's events into the next answers, 0 times for all until cleared.
func Misdelivered(times int) Fault { return crossed{times: times} }

// Truncated ends the next answers after some tokens, or bytes of a plain
// service's answer, without their end mark, 0 times for all until cleared.
func Truncated(tokens, times int) Fault { return truncated{tokens: tokens, times: times} }

// Delayed holds the next answers back by a time, 0 times for all until cleared.
func Delayed(by time.Duration, times int) Fault { return late{by: by, times: times} }

type faultBody struct {
	Fault    string  `json:"fault"`
	Factor   float64 `json:"factor"`
	Revision int64   `json:"revision"`
	Tokens   int     `json:"tokens"`
	Times    int     `json:"times"`
	By       string  `json:"by"`
}

func (b faultBody) parse() (Fault, error) {
	by, err := time.ParseDuration(b.By)
	if b.By != "" && err != nil {
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
		return Delayed(by, b.Times), nil
	}
	return nil, fmt.Errorf("standin: fault: %q is not known", b.Fault)
}

// serveFault answers POST /fault by passing the fault in the body to inject.
func serveFault(inject func(Fault)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body faultBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			refuse(w, http.StatusBadRequest, err.Error())
			return
		}
		fault, err := body.parse()
		if err != nil {
			refuse(w, http.StatusBadRequest, err.Error())
			return
		}
		inject(fault)
		answer(w, struct{}{})
	}
}

type errorBody struct {
	Error errorReason `json:"error"`
}

type errorReason struct {
	Reason string `json:"reason"`
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(errorBody{Error: errorReason{Reason: reason}})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}
