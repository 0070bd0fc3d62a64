package caller

import (
	"context"
	"errors"
	"net/http"

	"greengagedock.example/backend"
)

// reserveParts takes a slot for each part and reserves its KV memory. It holds
// the gather lease, so that groups reserve one after the other.
func (g *serverGroup) reserveParts(ctx context.Context) *Failure {
	e := g.execution
	lease, failure := g.acquireLease(ctx, backend.GatherLeaseWorkload(e.workload))
	if failure != nil {
		return failure
	}
	defer e.request.server.slots.Release(lease, backend.OutcomeFinished)
	remaining := e.deadline.Sub(e.request.server.timers.Now())
	ctx, cancel := context.WithTimeout(ctx, min(backend.GatherTimeout, remaining/reserveTimeDivisor))
	defer cancel()
	refusals := 0
	for len(g.slots) < len(g.partCosts) {
		slot, failure := g.acquire(ctx, g.partCosts[len(g.slots)])
		if failure != nil {
			return failure
		}
		if err := e.request.server.client.Reserve(ctx, slot); err == nil {
			g.addSlot(slot)
			continue
		} else if g.releaseRefused(slot, err); refusals == maxReservationRefusals {
			return newFailure(http.StatusServiceUnavailable, e.outcome(), ReasonBusy,
				"no server took a part of the prompt: %v", err).withRetryAfter(serverRetryAfter)
		}
		refusals++
	}
	g.log("prompt group reserved")
	return nil
}

func (g *serverGroup) addSlot(slot backend.Slot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = append(g.slots, slot)
}

// acquireLease waits for the lease of a group lease workload. One keeper grants
// it, so it is exclusive among the entries that are connected.
func (g *serverGroup) acquireLease(ctx context.Context, workload backend.Workload) (backend.Slot, *Failure) {
	slot, err := g.execution.request.server.slots.Acquire(ctx, g.slotRequest(workload, g.execution.cost))
	if err != nil {
		return backend.Slot{}, g.slotFailure(err)
	}
	return slot, nil
}

func (g *serverGroup) slotRequest(workload backend.Workload, cost backend.Cost) backend.SlotRequest {
	e := g.execution
	q := e.request
	q.attempts++
	id := backend.AttemptID(q.snapshot.Self(), q.uniqueID, q.attempts)
	return backend.NewSlotRequest(id, q.snapshot.Self(), q.access.account.Name(), workload, cost, e.deadline).
		WithPriority(q.access.document.Priority())
}

// acquire requests a slot for the next part, on a server that holds no other
// part.
func (g *serverGroup) acquire(ctx context.Context, cost backend.Cost) (backend.Slot, *Failure) {
	e := g.execution
	q := e.request
	request := g.slotRequest(e.workload, cost).WithFingerprint(e.fingerprint).Avoiding(e.avoid...).Avoiding(g.refusers...)
	for _, slot := range g.slots {
		request = request.Avoiding(slot.Server())
	}
	slot, err := q.server.slots.Acquire(ctx, request)
	if err != nil {
		return backend.Slot{}, g.slotFailure(err)
	}
	q.logRoute(slot)
	return slot, nil
}

// slotFailure converts the error of a slot request for a part into the
// request's failure.
func (g *serverGroup) slotFailure(err error) *Failure {
	refusal, ok := errors.AsType[*backend.Refusal](err)
	if !ok {
		return newFailure(http.StatusServiceUnavailable, g.execution.outcome(), ReasonBusy,
			"the memory of %d servers did not come free together", len(g.partCosts)).withRetryAfter(serverRetryAfter)
	}
	status, reason, message := describeRefusal(refusal.Reason())
	if reason == ReasonTooLarge {
		message = "the request needs more memory than all servers have together"
	}
	return newFailure(status, g.execution.outcome(), reason, "%s", message).withRetryAfter(refusal.RetryAfter())
}

// releaseRefused releases the slot of a part whose reservation its server
// refused.
func (g *serverGroup) releaseRefused(slot backend.Slot, err error) {
	e := g.execution
	e.request.server.reportRefusal(slot, err)
	outcome := backend.OutcomeFailed
	if attemptErr, ok := errors.AsType[*backend.AttemptError](err); ok {
		outcome = attemptErr.Outcome()
	}
	e.releaseFailed(slot, outcome)
	g.refusers = append(g.refusers, slot.Server())
}
