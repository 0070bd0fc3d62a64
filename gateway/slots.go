package gateway

import (
	"context"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/ingress"
	"greengagedock.example/mesh"
)

const (
	// placeWait is how long a call for a place is held while its want waits;
	// it is then asked again, so that a silent placer is noticed.
	placeWait = 100 * time.Millisecond
	// placeTimeout bounds a call for a place.
	placeTimeout = placeWait + 200*time.Millisecond
	// flushInterval is the longest time for which events are gathered.
	flushInterval = 20 * time.Millisecond
)

// slots asks the entry that places a service's requests for places, and
// places by itself what that entry does not answer.
type slots struct {
	control *control
	client  *mesh.Client
}

// Acquire returns a place, or an ingress.Refusal.
func (s *slots) Acquire(ctx context.Context, want dispatch.Request) (dispatch.Grant, error) {
	want = want.WithDomain(s.control.members.self.Domain)
	for {
		decision, err := s.ask(ctx, want)
		if err != nil {
			s.withdraw(want)
			return dispatch.Grant{}, err
		}
		switch d := decision.(type) {
		case dispatch.Granted:
			return d.Grant(), nil
		case dispatch.Refused:
			return dispatch.Grant{}, ingress.NewRefusal(d.Reason(), d.RetryAfter())
		case dispatch.Queued:
		}
	}
}

// ask asks once; the answer may be that the want still waits.
func (s *slots) ask(ctx context.Context, want dispatch.Request) (dispatch.Decision, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	var placer memberMessage
	local := false
	if !s.control.do(func(now time.Time) {
		known := s.control.members.placer(now, want.Service())
		if known == nil {
			local = true
			return
		}
		placer = known.memberMessage
	}) {
		return nil, context.Canceled
	}
	if local {
		return s.control.place(ctx, s.control.owner, want)
	}
	callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var reply placeReply
	call := encodeWant(s.control.owner, want, s.control.timers.Now())
	if err := s.client.Call(callCtx, placer.Peers, callPlace, call, &reply); err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s.suspect(placer, err)
		return dispatch.Queued{}, nil
	}
	decision := reply.decode(want.ID())
	if granted, ok := decision.(dispatch.Granted); ok {
		s.adopt(want, granted.Grant())
	}
	return decision, nil
}

// suspect keeps a placer that does not answer from being asked for a while.
func (s *slots) suspect(placer memberMessage, err error) {
	s.control.do(func(now time.Time) {
		known := s.control.members.byID[placer.ID]
		if known == nil || now.Before(known.suspectUntil) {
			return
		}
		known.suspectUntil = now.Add(suspectTime)
		s.control.log.Warn("placer not reached", "entry", placer.ID, "silent", now.Sub(known.heardAt), "error", err)
	})
}

// adopt enters a place that another entry granted in this entry's own book.
func (s *slots) adopt(want dispatch.Request, grant dispatch.Grant) {
	var helpers []string
	for _, h := range grant.PrefillWorkers() {
		helpers = append(helpers, h.Server())
	}
	hold := dispatch.NewRunningRequest(want, grant.Server(), helpers)
	s.control.do(func(now time.Time) { s.control.book.Adopt(now, s.control.owner, hold) })
}

func (s *slots) withdraw(want dispatch.Request) {
	s.tell(want.Service(), func(now time.Time, events *eventsMessage) {
		s.control.book.Withdraw(want.ID())
		delete(s.control.waiters, want.ID())
		events.Withdrawn = append(events.Withdrawn, want.ID())
	})
}

// Started tells that the first event of a request came.
func (s *slots) Started(service, id string) {
	s.tell(service, func(now time.Time, events *eventsMessage) {
		s.control.book.Started(now, id)
		events.Started = append(events.Started, id)
	})
}

// Ended tells how a request ended.
func (s *slots) Ended(service, id string, outcome dispatch.Outcome) {
	s.tell(service, func(now time.Time, events *eventsMessage) {
		s.control.book.Ended(now, id, outcome)
		events.Ended = append(events.Ended, endMessage{ID: id, Outcome: outcome})
	})
}

// Fault tells that a request failed through a server other than the one it went to.
func (s *slots) Fault(service, address string, outcome dispatch.Outcome) {
	s.tell(service, func(now time.Time, events *eventsMessage) {
		s.control.book.ReportFault(now, service, address, outcome)
		events.Faults = append(events.Faults, faultMessage{Service: service, Address: address, Outcome: outcome})
	})
}

// tell changes this entry's book, and gathers the same for the placer.
func (s *slots) tell(service string, f func(now time.Time, events *eventsMessage)) {
	s.control.do(func(now time.Time) {
		placer := s.control.members.placer(now, service)
		if placer == nil {
			f(now, &eventsMessage{})
			return
		}
		events := s.control.outbox[placer.Peers]
		if events == nil {
			events = &eventsMessage{Entry: s.control.owner.Entry(), Incarnation: s.control.owner.Incarnation()}
			peers := placer.Peers
			s.control.outbox[peers] = events
			time.AfterFunc(flushInterval, func() { s.flush(peers) })
		}
		f(now, events)
	})
}

// flush sends the events gathered for an entry; if that fails its book is
// corrected by the next heartbeat.
func (s *slots) flush(peers string) {
	var events *eventsMessage
	s.control.do(func(time.Time) {
		events = s.control.outbox[peers]
		delete(s.control.outbox, peers)
	})
	if events == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
	defer cancel()
	if err := s.client.Call(ctx, peers, callEvents, events, &emptyReply{}); err != nil {
		s.control.log.Debug("events not told", "entry", peers, "error", err)
	}
}

// place decides on a want in this entry's book; it waits a moment if the want waits.
func (c *control) place(ctx context.Context, owner dispatch.Owner, want dispatch.Request) (dispatch.Decision, error) {
	var decision dispatch.Decision
	var waiter chan dispatch.Decision
	if !c.do(func(now time.Time) {
		decision = c.book.Submit(now, owner, want)
		if _, queued := decision.(dispatch.Queued); queued {
			waiter = make(chan dispatch.Decision, 1)
			c.waiters[want.ID()] = waiter
		}
	}) {
		return nil, context.Canceled
	}
	if waiter == nil {
		return decision, nil
	}
	timeout := time.NewTimer(placeWait)
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
