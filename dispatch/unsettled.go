package dispatch

import (
	"cmp"
	"slices"
	"time"

	"greengagedock.example/quarantine"
)

const (
	// maxUnsettled bounds the unsettled requests that a scheduler takes over from another one.
	maxUnsettled = 4096
	// maxUnsettledParts bounds the parts of those that it tells another one, so that they fit
	// into a message between entries.
	maxUnsettledParts = 1 << 16
)

// UnsettledRequest is a request that runs on a server and whose parts may yet crash it. The
// reports of owners leave out the parts.
type UnsettledRequest struct {
	id          string
	server      string
	sentAt      time.Time
	parts       []quarantine.Part
	fingerprint quarantine.Fingerprint
}

// NewUnsettledRequest returns a request that was sent to a server at a time.
func NewUnsettledRequest(id, server string, sentAt time.Time, parts []quarantine.Part, fingerprint quarantine.Fingerprint) UnsettledRequest {
	return UnsettledRequest{id: id, server: server, sentAt: sentAt, parts: parts, fingerprint: fingerprint}
}

// ID returns the id of the request.
func (u UnsettledRequest) ID() string { return u.id }

// Server returns the id of the server.
func (u UnsettledRequest) Server() string { return u.server }

// SentAt returns when the request was sent to the server.
func (u UnsettledRequest) SentAt() time.Time { return u.sentAt }

// Parts returns the parts of the prompt that others may share.
func (u UnsettledRequest) Parts() []quarantine.Part { return u.parts }

// Fingerprint returns what identifies the request if its caller repeats it.
func (u UnsettledRequest) Fingerprint() quarantine.Fingerprint { return u.fingerprint }

// inheritedRequest is an unsettled request of which another scheduler of a service told at
// a time.
type inheritedRequest struct {
	UnsettledRequest
	service string
	toldAt  time.Time
}

// unsettledRequests returns the running requests of a service that may yet crash their
// servers, those included of which another scheduler has told.
func (sched *Scheduler) unsettledRequests(now time.Time, p *pool) []UnsettledRequest {
	var out []UnsettledRequest
	for _, s := range p.order {
		for _, alloc := range s.running {
			if alloc.hasSettled(now) || len(alloc.parts) == 0 && alloc.fingerprint == (quarantine.Fingerprint{}) {
				continue
			}
			out = append(out, NewUnsettledRequest(alloc.id, alloc.server, alloc.granted, alloc.parts, alloc.fingerprint))
		}
	}
	for _, inherited := range sched.unsettled {
		if inherited.service == p.service.Name() {
			out = append(out, inherited.UnsettledRequest)
		}
	}
	slices.SortFunc(out, func(a, b UnsettledRequest) int { return cmp.Compare(a.id, b.id) })
	parts := 0
	for i, request := range out {
		if parts += len(request.parts); i >= maxUnsettled || parts > maxUnsettledParts {
			return out[:i]
		}
	}
	return out
}

// mergeUnsettled adds requests of which another scheduler tells. Those that are not yet
// known to run are kept until their owners report them.
func (sched *Scheduler) mergeUnsettled(now time.Time, p *pool, requests []UnsettledRequest) {
	for _, request := range requests {
		if alloc := sched.running[request.id]; alloc != nil {
			alloc.tellParts(request)
			continue
		}
		if len(sched.unsettled) >= maxUnsettled {
			return
		}
		if sched.unsettled == nil {
			sched.unsettled = make(map[string]inheritedRequest)
		}
		sched.unsettled[request.id] = inheritedRequest{UnsettledRequest: request, service: p.service.Name(), toldAt: now}
	}
}

// tellParts adds the parts that the report of a request's owner left out.
func (alloc *allocation) tellParts(request UnsettledRequest) {
	if len(alloc.parts) > 0 || alloc.fingerprint != (quarantine.Fingerprint{}) {
		return
	}
	alloc.parts, alloc.fingerprint, alloc.granted = request.parts, request.fingerprint, request.sentAt
}

// adoptUnsettled returns a request that its owner reports, with what another scheduler told
// of it.
func (sched *Scheduler) adoptUnsettled(alloc *allocation) {
	if inherited, ok := sched.unsettled[alloc.id]; ok {
		alloc.tellParts(inherited.UnsettledRequest)
		delete(sched.unsettled, alloc.id)
	}
}

// endUnsettled records what the end of a request says of which another scheduler told and
// that its owner has not reported.
func (sched *Scheduler) endUnsettled(now time.Time, id string, outcome Outcome) {
	inherited, ok := sched.unsettled[id]
	if !ok {
		return
	}
	delete(sched.unsettled, id)
	p := sched.pools[inherited.service]
	if p == nil || p.servers[inherited.server] == nil {
		return
	}
	alloc := &allocation{
		RunningRequest: RunningRequest{id: id, service: inherited.service, server: inherited.server},
		assigned:       p.servers[inherited.server],
	}
	alloc.tellParts(inherited.UnsettledRequest)
	sched.recordEvidence(now, alloc, outcome)
	sched.recordRepeat(now, alloc, outcome)
}

// expireUnsettled forgets the requests that no owner reports.
func (sched *Scheduler) expireUnsettled(now time.Time) {
	for id, inherited := range sched.unsettled {
		if now.Sub(inherited.toldAt) > maxLearnedAge {
			delete(sched.unsettled, id)
		}
	}
}
