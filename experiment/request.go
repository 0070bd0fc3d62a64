package experiment

import (
	"errors"
	"fmt"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/engine"
)

// result says what became of a request.
type result string

// The results; those refused have the reason added.
const (
	resultWhole    result = "whole"
	resultRefused  result = "refused"
	resultDeadline result = "deadline"
	resultLeft     result = "left"
)

// request is one caller's prompt.
type request struct {
	world  *world
	kind   Kind
	name   string
	entry  int
	prompt int
	answer int
	hint   int

	arrived time.Duration
	retries int
	// id names the present send; server is where it went, helpers who read parts.
	id      string
	sends   int
	server  string
	helpers []dispatch.PrefillWorker
	asked   bool

	// first is when the first event came, zero before.
	first  time.Duration
	last   time.Duration
	events int
	pause  time.Duration
	ended  bool
	result result
	reason dispatch.Reason
}

// send asks for a place.
func (r *request) send() {
	w := r.world
	r.sends++
	r.id = fmt.Sprintf("%s/%d", r.name, r.sends)
	r.server, r.helpers = "", nil
	w.requests[r.id] = r
	came := epoch.Add(r.arrived)
	want := dispatch.NewRequest(r.id, service).WithTokens(r.prompt, r.hint).
		WithTimes(came, came.Add(r.kind.objective), came.Add(r.kind.timeout)).
		WithFirstTokenDeadline(came.Add(r.kind.bears())).WithMaxTokenInterval(r.kind.pause)
	id := r.id
	w.AfterFunc(2*hop, func() {
		if r.ended {
			return
		}
		r.asked = true
		decision := w.placer(r.entry).Submit(w.time(), r.owner(), want)
		w.AfterFunc(hop, func() { r.decided(id, decision) })
	})
	w.AfterFunc(r.kind.bears()-(w.Now()-r.arrived), func() {
		if r.first == 0 {
			r.end(resultLeft)
		}
	})
}

func (r *request) owner() dispatch.Owner { return dispatch.NewOwner(fmt.Sprint("entry-", r.entry), 1) }

func (r *request) decided(id string, d dispatch.Decision) {
	if r.ended || r.id != id {
		return
	}
	switch d := d.(type) {
	case dispatch.Granted:
		if r.server == "" {
			r.server, r.helpers = d.Grant().Server(), d.Grant().PrefillWorkers()
			r.world.AfterFunc(hop, func() { r.submit(id) })
		}
	case dispatch.Refused:
		r.refused(d.Reason(), d.RetryAfter())
	case dispatch.Queued:
	}
}

// submit hands the prompt to its engine and to those that read parts.
func (r *request) submit(id string) {
	if r.ended || r.id != id {
		return
	}
	w := r.world
	held := 0
	for _, h := range r.helpers {
		if h.ReservedTokens() > 0 && w.engines[h.Server()].Reserve(id, h.ReservedTokens()) == nil {
			held += h.ReservedTokens()
		}
	}
	request := engine.NewRequest(id, r.prompt, r.answer).WithPrefillWorkers(len(r.helpers), held)
	if err := w.engines[r.server].Submit(w.Now(), request); err != nil {
		r.failed(err)
		return
	}
	w.arm(r.server)
	for _, h := range r.helpers {
		if err := w.engines[h.Server()].PrefillPart(w.Now(), id, r.prompt, len(r.helpers)); err != nil {
			r.failed(err)
			return
		}
		w.arm(h.Server())
	}
}

// failed takes that an engine did not take the request; it has not run.
func (r *request) failed(err error) {
	reason := dispatch.ReasonBusy
	if errors.Is(err, engine.ErrTooLarge) {
		reason = dispatch.ReasonTooLarge
	}
	r.world.report.full++
	r.leave(dispatch.OutcomeRejected)
	r.refused(reason, dispatch.TickInterval)
}

// refused has the caller come back if it still may.
func (r *request) refused(reason dispatch.Reason, comeBack time.Duration) {
	w := r.world
	delete(w.requests, r.id)
	left := r.arrived + r.kind.timeout - w.Now()
	r.reason = reason
	if r.retries >= r.kind.retries || comeBack > left/3 {
		r.end(resultRefused)
		return
	}
	r.retries++
	r.id = ""
	w.AfterFunc(comeBack+2*hop, func() {
		if !r.ended {
			r.send()
		}
	})
}

// wrote takes that the answer has grown.
func (r *request) wrote(id string, tokens int) {
	w := r.world
	if r.ended || r.id != id {
		return
	}
	if r.first == 0 {
		r.first = w.Now()
		placer := w.placer(r.entry)
		w.AfterFunc(tellTime, func() { placer.Started(w.time(), id) })
	}
	if events := 1 + tokens/r.kind.event; events > r.events {
		if r.events > 0 {
			r.pause = max(r.pause, w.Now()-r.last)
		}
		r.events, r.last = events, w.Now()
	}
	if r.pause > r.kind.bears() {
		r.end(resultLeft)
	}
}

// leave ends the present send at the engines and in the book.
func (r *request) leave(outcome dispatch.Outcome) {
	w := r.world
	id, placer := r.id, w.placer(r.entry)
	if id == "" {
		return
	}
	if r.server != "" {
		w.engines[r.server].Cancel(id)
		for _, h := range r.helpers {
			w.engines[h.Server()].Cancel(id)
			w.engines[h.Server()].Release(id)
		}
	}
	w.AfterFunc(tellTime, func() {
		placer.Withdraw(id)
		placer.Ended(w.time(), id, outcome)
	})
}

// end notes the result; only the first counts.
func (r *request) end(result result) {
	if r.ended {
		return
	}
	r.ended, r.result = true, result
	outcome := dispatch.OutcomeCancelled
	if result == resultWhole {
		outcome = dispatch.OutcomeComplete
	}
	r.leave(outcome)
	delete(r.world.requests, r.id)
}

// firstAfter returns the time from the arrival to the first event at the caller.
func (r *request) firstAfter() time.Duration { return r.first + 2*hop - r.arrived }

// onTime reports whether a whole answer came within its objectives.
func (r *request) onTime() bool {
	return r.result == resultWhole && r.firstAfter() <= r.kind.objective && r.pause <= r.kind.pause
}
