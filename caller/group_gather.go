package caller

import (
	"context"
	"errors"
	"net/http"

	"greengagedock.example/backend"
)

// gather takes a slot for each part and reserves its memory at once, while no
// other group does so.
func (g *group) gather(ctx context.Context) *Failure {
	e := g.execution
	lease, failure := g.lease(ctx, backend.GatherLeaseWorkload(e.work))
	if failure != nil {
		return failure
	}
	defer e.request.server.slots.Release(lease, backend.OutcomeFinished)
	left := e.deadline.Sub(e.request.server.timers.Now())
	ctx, cancel := context.WithTimeout(ctx, min(backend.GatherTimeout, left/gatherPart))
	defer cancel()
	refusals := 0
	for len(g.slots) < len(g.costs) {
		slot, failure := g.acquire(ctx, g.costs[len(g.slots)])
		if failure != nil {
			return failure
		}
		if err := e.request.server.client.Reserve(ctx, slot); err == nil {
			g.add(slot)
			continue
		} else if g.refused(slot, err); refusals == maxReservations {
			return newFailure(http.StatusServiceUnavailable, e.outcome(), ReasonBusy,
				"no server took a part of the prompt: %v", err).in(serverComeBack)
		}
		refusals++
	}
	g.log("group gathered")
	return nil
}

func (g *group) add(slot backend.Slot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = append(g.slots, slot)
}

// lease waits for a lease of groups, which one keeper gives as far as the
// entries hear each other.
func (g *group) lease(ctx context.Context, work backend.Workload) (backend.Slot, *Failure) {
	slot, err := g.execution.request.server.slots.Acquire(ctx, g.want(work, g.execution.cost))
	if err != nil {
		return backend.Slot{}, g.unplaced(err)
	}
	return slot, nil
}

func (g *group) want(work backend.Workload, cost backend.Cost) backend.SlotRequest {
	e := g.execution
	q := e.request
	q.attempts++
	id := backend.AttemptID(q.view.Self(), q.serial, q.attempts)
	return backend.NewSlotRequest(id, q.view.Self(), q.access.account.Name(), work, cost, e.deadline).
		WithPriority(q.access.document.Priority())
}

// acquire asks for the slot of the next part, on a server that has no other.
func (g *group) acquire(ctx context.Context, cost backend.Cost) (backend.Slot, *Failure) {
	e := g.execution
	q := e.request
	want := g.want(e.work, cost).Avoiding(e.avoid...).Avoiding(g.refusers...)
	for _, slot := range g.slots {
		want = want.Avoiding(slot.Server())
	}
	slot, err := q.server.slots.Acquire(ctx, want)
	if err != nil {
		return backend.Slot{}, g.unplaced(err)
	}
	q.logRoute(slot)
	return slot, nil
}

// unplaced turns the refusal of a part's slot into the request's failure.
func (g *group) unplaced(err error) *Failure {
	refusal, ok := errors.AsType[*backend.Refusal](err)
	if !ok {
		return newFailure(http.StatusServiceUnavailable, g.execution.outcome(), ReasonBusy,
			"the memory of %d servers did not come free together", len(g.costs)).in(serverComeBack)
	}
	status, reason, message := refusalTexts(refusal.Reason())
	if reason == ReasonTooLarge {
		message = "the request needs more memory than all servers have together"
	}
	return newFailure(status, g.execution.outcome(), reason, "%s", message).in(refusal.RetryAfter())
}

// refused settles the slot of a part that its server did not take.
func (g *group) refused(slot backend.Slot, err error) {
	e := g.execution
	outcome := backend.OutcomeFailed
	if sent, ok := errors.AsType[*backend.AttemptError](err); ok {
		outcome = sent.Outcome()
	}
	e.settle(slot, outcome)
	g.refusers = append(g.refusers, slot.Server())
}
