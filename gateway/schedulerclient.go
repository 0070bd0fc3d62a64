package gateway

import (
	"context"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/ingress"
	"greengagedock.example/mesh"
	"greengagedock.example/routing"
)

const (
	// placementWait is how long a placement call blocks while its request is
	// queued. The caller then repeats it, so that it notices a failed scheduler.
	placementWait = 100 * time.Millisecond
	// placementTimeout bounds one placement call.
	placementTimeout = placementWait + 200*time.Millisecond
	// eventFlushInterval is how long events are batched before they are sent.
	eventFlushInterval = 20 * time.Millisecond
)

// schedulerClient requests placements from the scheduler of each service, and places
// requests itself where this entry is the scheduler.
type schedulerClient struct {
	control *control
	client  *mesh.Client
}

// Acquire waits for the placement of a request. It returns an ingress.Refusal if
// the scheduler refuses the request.
func (s *schedulerClient) Acquire(ctx context.Context, request dispatch.Request) (dispatch.Grant, error) {
	request = request.WithDomain(s.control.members.self.Domain)
	for {
		decision, err := s.askOnce(ctx, request)
		if err != nil {
			s.withdraw(request)
			return dispatch.Grant{}, err
		}
		switch d := decision.(type) {
		case dispatch.Granted:
			return d.Grant(), nil
		case dispatch.Refused:
			return dispatch.Grant{}, ingress.NewRefusal(d.Reason(), d.RetryAfter()).WithExplanation(d.Explanation())
		case dispatch.Queued:
		}
	}
}

// askOnce makes one placement call; the request may remain queued.
func (s *schedulerClient) askOnce(ctx context.Context, request dispatch.Request) (dispatch.Decision, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	var scheduler memberMessage
	var call placementMessage
	local, changed := false, false
	if !s.control.do(func(now time.Time) {
		known := s.control.members.scheduler(now, request.Service())
		if known == nil {
			local = true
		} else {
			scheduler = known.memberMessage
			call = encodeRequest(s.control.owner, request, now)
			if events := s.control.pendingEvents[scheduler.PeerAddress]; events != nil {
				call.Notices = events.Notices // the events may arrive later
			}
		}
		changed = s.control.noteScheduler(request.Service(), scheduler.PeerAddress)
	}) {
		return nil, context.Canceled
	}
	if changed && !local {
		// The new scheduler learns at once what this entry runs on the servers.
		go s.control.sendHeartbeat(context.Background(), s.client, heartbeatTarget{address: scheduler.PeerAddress})
	}
	if local {
		return s.control.schedule(ctx, s.control.owner, request)
	}
	callCtx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	var reply placementReply
	if err := s.client.Call(callCtx, scheduler.PeerAddress, callPlacement, call, &reply); err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s.suspect(scheduler, err)
		return dispatch.Queued{}, nil
	}
	decision := reply.decode(request.ID())
	if granted, ok := decision.(dispatch.Granted); ok {
		s.recordGrant(request, granted.Grant())
		s.repeatNotices(request.Service(), granted.Grant())
	}
	return decision, nil
}

// noteScheduler records which entry schedules a service, "" for this one, and reports
// whether it was another one before.
func (c *control) noteScheduler(service, address string) bool {
	before, known := c.schedulers[service]
	c.schedulers[service] = address
	return known && before != address
}

// suspect excludes an entry that failed to respond from scheduling for
// suspectDuration, so that another one takes over.
func (s *schedulerClient) suspect(scheduler memberMessage, err error) {
	s.control.do(func(now time.Time) {
		known := s.control.members.byID[scheduler.ID]
		if known == nil || now.Before(known.suspectUntil) {
			return
		}
		known.suspectUntil = now.Add(suspectDuration)
		s.control.log.Warn("scheduler unreachable", "entry", scheduler.ID, "silent", now.Sub(known.lastHeard), "error", err)
	})
}

// recordGrant records a placement by another entry in this entry's own scheduler.
func (s *schedulerClient) recordGrant(request dispatch.Request, grant dispatch.Grant) {
	var workers []string
	for _, worker := range grant.PrefillWorkers() {
		workers = append(workers, worker.Server())
	}
	running := dispatch.NewRunningRequest(request, grant.Server(), workers)
	s.control.do(func(now time.Time) { s.control.scheduler.Adopt(now, s.control.owner, running) })
}

// repeatNotices tells a scheduler that grants servers which take no more requests what
// this entry knows of them.
func (s *schedulerClient) repeatNotices(service string, grant dispatch.Grant) {
	view, now := s.control.View(), s.control.timers.Now()
	for _, id := range grant.Servers() {
		if notice, ok := view.Notice(id); ok && !view.Accepts(id, now) {
			s.Notice(service, notice)
		}
	}
}

func (s *schedulerClient) withdraw(request dispatch.Request) {
	s.notify(request.Service(), func(now time.Time, events *eventsMessage) {
		s.control.scheduler.Withdraw(request.ID())
		delete(s.control.waiters, request.ID())
		events.Withdrawn = append(events.Withdrawn, request.ID())
	})
}

// Started reports that the first event of a request was received.
func (s *schedulerClient) Started(service, id string) {
	s.notify(service, func(now time.Time, events *eventsMessage) {
		s.control.scheduler.Started(now, id)
		events.Started = append(events.Started, id)
	})
}

// Ended reports the end of a request and its outcome.
func (s *schedulerClient) Ended(service, id string, outcome dispatch.Outcome) {
	s.notify(service, func(now time.Time, events *eventsMessage) {
		s.control.scheduler.Ended(now, id, outcome)
		events.Ended = append(events.Ended, endMessage{ID: id, Outcome: outcome})
	})
}

// Fault reports that a request failed because of a server other than the one it was
// sent to.
func (s *schedulerClient) Fault(service, address string, outcome dispatch.Outcome) {
	s.notify(service, func(now time.Time, events *eventsMessage) {
		s.control.scheduler.ReportFault(now, s.control.owner.Entry(), service, address, outcome)
		events.Faults = append(events.Faults, faultMessage{Service: service, Address: address, Outcome: outcome})
	})
}

// Notice reports what a server stated about itself.
func (s *schedulerClient) Notice(service string, notice routing.Notice) {
	s.notify(service, func(now time.Time, events *eventsMessage) {
		s.control.addNotice(now, notice)
		events.Notices = append(events.Notices, encodeNotice(now, notice))
	})
}

// notify applies an event to this entry's own scheduler and batches it for the
// scheduler of the service.
func (s *schedulerClient) notify(service string, f func(now time.Time, events *eventsMessage)) {
	s.control.do(func(now time.Time) {
		scheduler := s.control.members.scheduler(now, service)
		if scheduler == nil {
			f(now, &eventsMessage{})
			return
		}
		events := s.control.pendingEvents[scheduler.PeerAddress]
		if events == nil {
			events = &eventsMessage{Entry: s.control.owner.Entry(), Incarnation: s.control.owner.Incarnation()}
			address := scheduler.PeerAddress
			s.control.pendingEvents[address] = events
			time.AfterFunc(eventFlushInterval, func() { s.flush(address) })
		}
		f(now, events)
	})
}

// flush sends the events batched for an entry. If that fails, the next heartbeat
// corrects the entry's scheduler.
func (s *schedulerClient) flush(address string) {
	var events *eventsMessage
	s.control.do(func(time.Time) {
		events = s.control.pendingEvents[address]
		delete(s.control.pendingEvents, address)
	})
	if events == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	if err := s.client.Call(ctx, address, callEvents, events, &emptyReply{}); err != nil {
		s.control.log.Debug("events not delivered", "entry", address, "error", err)
	}
}

// schedule places a request with this entry's own scheduler. If the request is
// queued, it waits up to placementWait for a decision.
func (c *control) schedule(ctx context.Context, owner dispatch.Owner, request dispatch.Request) (dispatch.Decision, error) {
	var decision dispatch.Decision
	var waiter chan dispatch.Decision
	if !c.do(func(now time.Time) {
		decision = c.scheduler.Submit(now, owner, request)
		if _, queued := decision.(dispatch.Queued); queued {
			waiter = make(chan dispatch.Decision, 1)
			c.waiters[request.ID()] = waiter
		}
	}) {
		return nil, context.Canceled
	}
	if waiter == nil {
		return decision, nil
	}
	timeout := time.NewTimer(placementWait)
	defer timeout.Stop()
	select {
	case decision = <-waiter:
		return decision, nil
	case <-timeout.C:
		return dispatch.Queued{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
