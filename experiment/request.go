package experiment

import (
	"errors"
	"fmt"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/engine"
	"greengagedock.example/quarantine"
)

// result is the final state of a request.
type result string

// The results. A refused request also has a reason.
const (
	resultComplete     result = "whole"
	resultRefused      result = "refused"
	resultDeadline     result = "deadline"
	resultDisconnected result = "left"
)

// request is the state of one caller's prompt.
type request struct {
	simulation *simulation
	kind       Kind
	name       string
	account    string
	entry      int
	prompt     int
	answer     int
	answerHint int

	arrived time.Duration
	retries int
	// maxRetries is how often the caller retries.
	maxRetries int
	// received is when the caller sent the current request: at its arrival, or at its return.
	received time.Duration
	// refusals holds the times that the caller waited for each refusal.
	refusals []time.Duration
	// id, server and prefillWorkers belong to the current attempt.
	id             string
	attempts       int
	server         string
	prefillWorkers []dispatch.PrefillWorker

	// firstTokenAt is when the first event was sent, zero before.
	firstTokenAt time.Duration
	lastEventAt  time.Duration
	events       int
	maxInterval  time.Duration
	finished     bool
	result       result
	reason       dispatch.Reason
}

// attempt requests a slot from the scheduler.
func (r *request) attempt() {
	sim := r.simulation
	r.attempts++
	r.id = fmt.Sprintf("%s/%d", r.name, r.attempts)
	r.server, r.prefillWorkers = "", nil
	sim.requests[r.id] = r
	received := epoch.Add(r.received)
	req := dispatch.NewRequest(r.id, service).WithTokens(r.prompt, r.answerHint).
		WithTimes(received, received.Add(r.kind.objective), epoch.Add(r.arrived+r.kind.timeout)).
		WithFirstTokenDeadline(received.Add(r.kind.callerTimeout())).WithMaxTokenInterval(r.kind.maxTokenInterval).
		WithPriority(r.kind.priority).WithAccount(r.account).
		WithFingerprint(quarantine.NewFingerprint("", "", "", r.name, "", nil))
	id := r.id
	sim.AfterFunc(2*networkDelay, func() {
		if r.finished {
			return
		}
		decision := sim.scheduler(r.entry).Submit(sim.time(), r.owner(), req)
		sim.deliver(sim.scheduler(r.entry).Undelivered())
		sim.AfterFunc(networkDelay, func() { r.decided(id, decision) })
	})
	sim.AfterFunc(r.kind.callerTimeout()-(sim.Now()-r.received), func() {
		if r.firstTokenAt == 0 && r.id == id {
			r.finish(resultDisconnected)
		}
	})
}

func (r *request) owner() dispatch.Owner { return dispatch.NewOwner(fmt.Sprint("entry-", r.entry), 1) }

func (r *request) decided(id string, d dispatch.Decision) {
	if r.finished || r.id != id {
		return
	}
	switch d := d.(type) {
	case dispatch.Granted:
		if r.server == "" {
			r.server, r.prefillWorkers = d.Grant().Server(), d.Grant().PrefillWorkers()
			r.simulation.AfterFunc(networkDelay, func() { r.submit(id) })
		}
	case dispatch.Refused:
		r.refusals = append(r.refusals, r.simulation.Now()-r.received)
		r.retry(d.Reason(), d.RetryAfter(), true)
	case dispatch.Queued:
	}
}

// submit submits the prompt to its engine and its parts to the prefill workers.
func (r *request) submit(id string) {
	if r.finished || r.id != id {
		return
	}
	sim := r.simulation
	heldElsewhere := 0
	for _, worker := range r.prefillWorkers {
		if worker.ReservedTokens() > 0 && sim.engines[worker.Server()].Reserve(id, worker.ReservedTokens()) == nil {
			heldElsewhere += worker.ReservedTokens()
		}
	}
	request := engine.NewRequest(id, r.prompt, r.answer).WithPrefillWorkers(len(r.prefillWorkers), heldElsewhere)
	if err := sim.engines[r.server].Submit(sim.Now(), request); err != nil {
		r.rejected(err)
		return
	}
	sim.schedulePass(r.server)
	for _, worker := range r.prefillWorkers {
		if err := sim.engines[worker.Server()].PrefillPart(sim.Now(), id, r.prompt, len(r.prefillWorkers)); err != nil {
			r.rejected(err)
			return
		}
		sim.schedulePass(worker.Server())
	}
}

// rejected handles the rejection by an engine; the request has not run.
func (r *request) rejected(err error) {
	reason := dispatch.ReasonBusy
	if errors.Is(err, engine.ErrTooLarge) {
		reason = dispatch.ReasonTooLarge
	}
	r.simulation.report.rejected++
	r.release(dispatch.OutcomeRejected)
	r.retry(reason, dispatch.TickInterval, false)
}

// retry retries after a delay if there are retries and time left. A caller that returns
// sends a new request, for whose first event it waits anew; an entry that tries another
// engine keeps the request.
func (r *request) retry(reason dispatch.Reason, retryAfter time.Duration, returns bool) {
	sim := r.simulation
	delete(sim.requests, r.id)
	left := r.arrived + r.kind.timeout - sim.Now()
	r.reason = reason
	if r.retries >= r.maxRetries || retryAfter > left/3 {
		r.finish(resultRefused)
		return
	}
	r.retries++
	r.id = ""
	sim.AfterFunc(retryAfter+2*networkDelay, func() {
		if !r.finished {
			if returns {
				r.received = sim.Now()
			}
			r.attempt()
		}
	})
}

// generated records that the answer has grown to so many tokens.
func (r *request) generated(id string, tokens int) {
	sim := r.simulation
	if r.finished || r.id != id {
		return
	}
	if r.firstTokenAt == 0 {
		r.firstTokenAt = sim.Now()
		scheduler, load := sim.scheduler(r.entry), sim.engines[r.server].Load()
		observed := dispatch.NewObservedLoad(r.server, load.Running(), load.Waiting(), sim.time())
		sim.AfterFunc(eventDelay, func() {
			scheduler.Started(sim.time(), id)
			scheduler.ObserveLoad(sim.time(), service, observed)
		})
	}
	if events := 1 + tokens/r.kind.tokensPerEvent; events > r.events {
		if r.events > 0 {
			r.maxInterval = max(r.maxInterval, sim.Now()-r.lastEventAt)
		}
		r.events, r.lastEventAt = events, sim.Now()
	}
	if r.maxInterval > r.kind.callerTimeout() {
		r.finish(resultDisconnected)
	}
}

// release releases the current attempt at the engines and in the scheduler.
func (r *request) release(outcome dispatch.Outcome) {
	sim := r.simulation
	id, scheduler := r.id, sim.scheduler(r.entry)
	if id == "" {
		return
	}
	if r.server != "" {
		sim.engines[r.server].Cancel(id)
		for _, worker := range r.prefillWorkers {
			sim.engines[worker.Server()].Cancel(id)
			sim.engines[worker.Server()].Release(id)
		}
	}
	sim.AfterFunc(eventDelay, func() {
		scheduler.Withdraw(id)
		scheduler.Ended(sim.time(), id, outcome)
	})
}

// finish records the result; only the first call has an effect.
func (r *request) finish(result result) {
	if r.finished {
		return
	}
	r.finished, r.result = true, result
	outcome := dispatch.OutcomeCancelled
	if result == resultComplete {
		outcome = dispatch.OutcomeComplete
	}
	r.release(outcome)
	delete(r.simulation.requests, r.id)
}

// timeToFirstToken returns the time from the request's arrival until the caller receives the first event.
func (r *request) timeToFirstToken() time.Duration {
	return r.firstTokenAt + 2*networkDelay - r.arrived
}

// onTime reports whether the answer was complete and met its objectives.
func (r *request) onTime() bool {
	return r.result == resultComplete && r.timeToFirstToken() <= r.kind.objective && r.maxInterval <= r.kind.maxTokenInterval
}
