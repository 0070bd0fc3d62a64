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
	// reserveTimeDivisor is the divisor of the time left that gives the time in
	// which a group must reserve all its memory; otherwise it releases what it
	// has.
	reserveTimeDivisor = 4
	// maxGroupTries is how often one request may try to reserve and run a
	// group.
	maxGroupTries = 4
	// groupRetryDelay is the mean time between two tries.
	groupRetryDelay = time.Second
	// maxReservationRefusals is the number of refused reservations that one try
	// tolerates.
	maxReservationRefusals = 4
)

// partLostError is the error of a group when a server no longer holds its part.
type partLostError struct{ slot backend.Slot }

// Error returns a message that names the server.
func (l *partLostError) Error() string {
	return "caller: part of the prompt is no longer held by " + l.slot.Server()
}

// serverGroup runs one request whose prompt is split over several servers, each
// of which holds one part.
type serverGroup struct {
	execution *execution
	partCosts []backend.Cost
	parts     []promptPart
	mu        sync.Mutex // guards slots, which renewParts reads
	slots     []backend.Slot
	refusers  []string
}

// runOnServers runs the request on one server, or on a group if no single
// server can hold it.
func (e *execution) runOnServers(ctx context.Context) *Failure {
	servers := e.request.access.document.ServerCapacity()
	capacity := backend.NewCapacity(
		backend.NewLoad(servers.Cold().Requests(), servers.Cold().Tokens()),
		backend.NewLoad(servers.Warm().Requests(), servers.Warm().Tokens()),
		servers.WarmAfter())
	if !capacity.NeedsGroup(e.cost) {
		return e.run(ctx)
	}
	costs := capacity.SplitCost(e.cost)
	parts := splitPrompt(e.body, costs)
	if parts == nil {
		return e.slotFailure(ctx, backend.NewRefusal(backend.ReasonTooLarge, 0))
	}
	return e.runGroup(ctx, costs, parts)
}

// runGroup returns nil once the response is whole. Each try reserves all the
// memory that it needs before any work starts, and releases all of it at its
// end.
func (e *execution) runGroup(ctx context.Context, partCosts []backend.Cost, parts []promptPart) *Failure {
	for try := range maxGroupTries {
		if try > 0 {
			e.waitGroupRetry(ctx)
		}
		g := &serverGroup{execution: e, partCosts: partCosts, parts: parts}
		done, failure := g.run(ctx)
		g.release()
		switch {
		case done:
			return e.writeBuffered()
		case failure != nil:
			return failure
		}
	}
	return e.attemptsExhausted()
}

// waitGroupRetry waits for a random delay, so that two groups that block each
// other don't retry at the same time.
func (e *execution) waitGroupRetry(ctx context.Context) {
	select {
	case <-time.After(groupRetryDelay/2 + rand.N(groupRetryDelay)):
	case <-ctx.Done():
	}
}

// run makes one try. If it returns neither true nor a failure, another try may
// follow.
func (g *serverGroup) run(ctx context.Context) (done bool, failure *Failure) {
	lease, failure := g.acquireLease(ctx, backend.GroupLeaseWorkload(g.execution.workload))
	if failure != nil {
		return false, g.execution.groupRetryFailure(ctx, failure)
	}
	defer g.execution.request.server.slots.Release(lease, backend.OutcomeFinished)
	groupCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go g.renewParts(groupCtx, cancel)
	if failure := g.reserveParts(groupCtx); failure != nil {
		return false, g.execution.groupRetryFailure(ctx, failure)
	}
	for i := range g.slots {
		if err := g.sendPart(groupCtx, i); err != nil {
			if groupCtx.Err() == nil && backend.Broken(err) {
				g.execution.request.server.slots.Crashed(g.slots[i])
			}
			g.execution.request.server.reportRefusal(g.slots[i], err)
			return false, g.handleAttemptError(ctx, groupCtx, g.slots[i], err)
		}
	}
	return true, nil
}

// groupRetryFailure returns nil if a failure to reserve may be resolved in the
// time left.
func (e *execution) groupRetryFailure(ctx context.Context, failure *Failure) *Failure {
	if aborted := e.abortFailure(ctx); aborted != nil {
		return aborted
	}
	if failure.reason != ReasonBusy {
		return failure
	}
	e.lastFailure = failure
	return nil
}

// sendPart sends one part for prefill; with the last part it delivers the
// response. A server that is silent is waited for until it no longer renews its
// part, since another group needs the memory that this one holds.
func (g *serverGroup) sendPart(ctx context.Context, i int) error {
	e := g.execution
	e.mayHaveRun = true
	if i < len(g.slots)-1 {
		return e.request.server.client.SendPart(ctx, g.outgoing(i))
	}
	a := e.newAttempt(ctx, g.slots[i], g.outgoing(i).ResumingFrom(e.request.tokens))
	defer a.close()
	err := e.deliver(a)
	if err == nil {
		e.request.server.slots.Settled(a.slot)
	}
	return err
}

// outgoing returns what to send for one part.
func (g *serverGroup) outgoing(i int) backend.Attempt {
	e := g.execution
	firstToken := 0
	for _, cost := range g.partCosts[:i] {
		firstToken += cost.Prompt()
	}
	part := backend.NewPart(i+1, len(g.slots), firstToken, firstToken+g.partCosts[i].Prompt(), g.slots[:i])
	attempt := backend.NewAttempt(g.slots[i], e.method, e.path, e.header, partBody(e.body, g.parts[i]), e.deadline)
	return attempt.WithPart(part).WithClassPriority(backend.ClassLong)
}

// handleAttemptError returns nil if another try may follow one that failed
// after some work.
func (g *serverGroup) handleAttemptError(ctx, groupCtx context.Context, slot backend.Slot, err error) *Failure {
	e := g.execution
	if lost, ok := errors.AsType[*partLostError](context.Cause(groupCtx)); ok {
		return e.handleServerFailure(ctx, lost.slot, lost)
	}
	attemptErr, ok := errors.AsType[*backend.AttemptError](err)
	switch {
	case !ok || attemptErr.Outcome() != backend.OutcomeFailed:
	case attemptErr.Status() == http.StatusFailedDependency:
		slot = g.findLostPart(ctx, slot)
	case isRejection(attemptErr.Status()):
		return newFailure(http.StatusBadRequest, e.outcome(), ReasonRejected, "the server rejected the request with status %d", attemptErr.Status())
	}
	return e.handleServerFailure(ctx, slot, err)
}

// findLostPart returns the slot of a part that its server no longer holds. If
// there is none it returns the slot of the attempt that failed because of a
// missing part.
func (g *serverGroup) findLostPart(ctx context.Context, failed backend.Slot) backend.Slot {
	for _, slot := range g.slots {
		if renewed, _ := g.execution.request.server.client.Renew(ctx, slot); !renewed {
			return slot
		}
	}
	return failed
}

// renewParts renews the reservations of the parts until ctx ends, and cancels
// the group's work when one of them is lost.
func (g *serverGroup) renewParts(ctx context.Context, cancel context.CancelCauseFunc) {
	server := g.execution.request.server
	tick := server.timers.Every(backend.PartRenewInterval)
	defer tick.Stop()
	renewedAt := make(map[string]time.Time)
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
			renewed, lost := server.client.Renew(ctx, slot)
			if _, known := renewedAt[slot.ID()]; renewed || !known {
				renewedAt[slot.ID()] = now
			}
			if ctx.Err() == nil && (lost || now.Sub(renewedAt[slot.ID()]) >= backend.PartExpiry) {
				cancel(&partLostError{slot: slot})
				return
			}
		}
	}
}

// release releases all memory. Each slot is released after its server has
// acknowledged a cancel; without an acknowledgement it is released as failed,
// and its keeper continues to cancel it.
func (g *serverGroup) release() {
	for _, slot := range slices.Backward(g.slots) {
		g.execution.releaseFailed(slot, backend.OutcomeFailed)
	}
	g.log("prompt group released")
}

func (g *serverGroup) log(text string) {
	args := g.execution.request.logArgs()
	var servers []string
	for _, slot := range g.slots {
		servers = append(servers, slot.Server())
	}
	g.execution.request.server.log.Info(text, append(args, "parts", len(g.partCosts), "servers", servers)...)
}
