package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"greengagedock.example/backend"
)

const (
	// gatherPart is the part of the time left in which a group gets all its
	// memory or gives it back, as a divisor.
	gatherPart = 4
	// maxGathers is how often one request may try to gather a group.
	maxGathers = 4
	// gatherPause is the mean time between two tries.
	gatherPause = time.Second
	// maxReservations is how many servers may refuse one part.
	maxReservations = 4
)

// lostPart is the error of a group of which a server no longer holds a part.
type lostPart struct{ slot backend.Slot }

// Error names the server.
func (l *lostPart) Error() string {
	return "caller: part of the prompt is no longer held by " + l.slot.Server()
}

// group carries one request whose prompt several servers hold together, each
// one part of it.
type group struct {
	execution *execution
	costs     []backend.Cost
	cuts      []promptCut
	mu        sync.Mutex // guards slots against renew
	slots     []backend.Slot
	refusers  []string
}

// carry runs the request on one server, or on a group if none could hold it.
func (e *execution) carry(ctx context.Context) *Failure {
	servers := e.request.access.document.ServerCapacity()
	bearing := backend.NewCapacity(
		backend.NewLoad(servers.Cold().Requests(), servers.Cold().Tokens()),
		backend.NewLoad(servers.Warm().Requests(), servers.Warm().Tokens()),
		servers.WarmAfter())
	if !bearing.NeedsGroup(e.cost) {
		return e.run(ctx)
	}
	costs := bearing.SplitCost(e.cost)
	cuts := cutBody(e.body, costs)
	if cuts == nil {
		return e.refused(ctx, backend.NewRefusal(backend.ReasonTooLarge, 0))
	}
	return e.runGroup(ctx, costs, cuts)
}

// runGroup returns nil once the answer is whole. Each try has all the memory
// that it needs before any work, and gives it all back at its end.
func (e *execution) runGroup(ctx context.Context, costs []backend.Cost, cuts []promptCut) *Failure {
	for try := range maxGathers {
		if try > 0 {
			e.pause(ctx)
		}
		g := &group{execution: e, costs: costs, cuts: cuts}
		done, failure := g.run(ctx)
		g.free()
		switch {
		case done:
			return e.handOver()
		case failure != nil:
			return failure
		}
	}
	return e.exhausted()
}

// pause waits so that two groups that stood in each other's way part.
func (e *execution) pause(ctx context.Context) {
	select {
	case <-time.After(gatherPause/2 + rand.N(gatherPause)):
	case <-ctx.Done():
	}
}

// run carries out one try; another may follow if it returns neither.
func (g *group) run(ctx context.Context) (done bool, failure *Failure) {
	lease, failure := g.lease(ctx, backend.GroupLeaseWorkload(g.execution.work))
	if failure != nil {
		return false, g.execution.again(ctx, failure)
	}
	defer g.execution.request.server.slots.Release(lease, backend.OutcomeFinished)
	held, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go g.renew(held, cancel)
	if failure := g.gather(held); failure != nil {
		return false, g.execution.again(ctx, failure)
	}
	for i := range g.slots {
		if err := g.send(held, i); err != nil {
			return false, g.judge(ctx, held, g.slots[i], err)
		}
	}
	return true, nil
}

// again returns nil if the failure to gather may pass in the time left.
func (e *execution) again(ctx context.Context, failure *Failure) *Failure {
	if overdue := e.overdue(ctx); overdue != nil {
		return overdue
	}
	if failure.reason != ReasonBusy {
		return failure
	}
	e.last = failure
	return nil
}

// send prefills one part, and with the last one delivers the answer.
func (g *group) send(ctx context.Context, i int) error {
	e := g.execution
	client := e.request.server.client
	e.begun = true
	if i < len(g.slots)-1 {
		return client.SendPart(ctx, g.attempt(i))
	}
	answer, err := client.Send(ctx, e.waits(g.attempt(i)))
	if err != nil {
		return err
	}
	defer answer.Close()
	if !answer.MatchesAttempt() {
		return answer.RecordFault(backend.FaultCrossed)
	}
	return e.deliver(answer)
}

// attempt returns what is sent for one part.
func (g *group) attempt(i int) backend.Attempt {
	e := g.execution
	from := 0
	for _, cost := range g.costs[:i] {
		from += cost.Prompt()
	}
	part := backend.NewPart(i+1, len(g.slots), from, from+g.costs[i].Prompt(), g.slots[:i])
	attempt := backend.NewAttempt(g.slots[i], e.method, e.path, e.header, bodyOf(e.body, g.cuts[i]), e.deadline)
	return attempt.WithPart(part).WithClassPriority(backend.ClassLong)
}

// waits bounds the waits for the answer's events.
func (e *execution) waits(attempt backend.Attempt) backend.Attempt {
	stall := e.request.server.limits.EventStallTimeout()
	if _, ok := e.delivery.(*relay); ok {
		return attempt.WithTimeouts(0, stall).ResumingFrom(e.request.tokens)
	}
	return attempt.WithTimeouts(0, stall)
}

// judge returns nil if another try may follow one that failed after some work.
func (g *group) judge(ctx, held context.Context, slot backend.Slot, err error) *Failure {
	e := g.execution
	if lost, ok := errors.AsType[*lostPart](context.Cause(held)); ok {
		return e.broken(ctx, lost.slot, lost)
	}
	sent, ok := errors.AsType[*backend.AttemptError](err)
	switch {
	case !ok || sent.Outcome() != backend.OutcomeFailed:
	case sent.Status() == http.StatusFailedDependency:
		slot = g.missing(ctx, slot)
	case rejected(sent.Status()):
		return newFailure(http.StatusBadRequest, e.outcome(), ReasonRejected, "the server rejected the request with status %d", sent.Status())
	}
	return e.broken(ctx, slot, err)
}

// missing returns the slot of a part that its server holds no more, or the
// one that failed for want of it if there is none.
func (g *group) missing(ctx context.Context, failed backend.Slot) backend.Slot {
	for _, slot := range g.slots {
		if renewed, _ := g.execution.request.server.client.Renew(ctx, slot); !renewed {
			return slot
		}
	}
	return failed
}

// renew keeps the parts held until ctx ends, and ends the group's work when
// one of them is lost.
func (g *group) renew(ctx context.Context, lost context.CancelCauseFunc) {
	server := g.execution.request.server
	tick := server.timers.Every(backend.PartRenewInterval)
	defer tick.Stop()
	held := make(map[string]time.Time)
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		g.mu.Lock()
		slots := slices.Clone(g.slots)
		g.mu.Unlock()
		for _, slot := range slots {
			now := server.timers.Now()
			renewed, gone := server.client.Renew(ctx, slot)
			if _, known := held[slot.ID()]; renewed || !known {
				held[slot.ID()] = now
			}
			if ctx.Err() == nil && (gone || now.Sub(held[slot.ID()]) >= backend.PartExpiry) {
				lost(&lostPart{slot: slot})
				return
			}
		}
	}
}

// free gives all memory back: each slot is released once its server has
// acknowledged the cancel, or as failed, after which its keeper goes on to cancel it.
func (g *group) free() {
	for _, slot := range slices.Backward(g.slots) {
		g.execution.settle(slot, backend.OutcomeFailed)
	}
	g.log("group freed")
}

func (g *group) log(text string) {
	args := g.execution.request.logArgs()
	var servers []string
	for _, slot := range g.slots {
		servers = append(servers, slot.Server())
	}
	g.execution.request.server.log.Info(text, append(args, "parts", len(g.costs), "servers", servers)...)
}
