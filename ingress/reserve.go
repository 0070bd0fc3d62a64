package ingress

import (
	"cmp"
	"context"
	"strings"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/upstream"
)

const (
	// holdPart is the part of the time within which unused memory must be free
	// that a reservation lasts: what a dead entry reserved ends by itself.
	holdPart = 0.92
	// renewPart is the part of a reservation's time after which it is prolonged.
	renewPart = 0.45
	// usualFree is that time where none is stated.
	usualFree = 4 * time.Second
	// releaseTries and releasePause bound the tries to free memory; the hold
	// time frees what can't be told.
	releaseTries = 3
	releasePause = 300 * time.Millisecond
)

// reservations are the tickets that one send holds.
type reservations struct {
	server  *Server
	id      string
	tickets []ticket
	hold    time.Duration
	stop    chan struct{}
}

type ticket struct {
	address string
	name    string
	tokens  int
}

// reserve sets aside the memory that a grant's helpers are to hold. On an error
// nothing stays reserved.
func (q *request) reserve(ctx context.Context, grant dispatch.Grant) (*reservations, error) {
	hold := time.Duration(holdPart * float64(cmp.Or(q.server.free, usualFree)))
	r := &reservations{server: q.server, id: q.id, hold: hold, stop: make(chan struct{})}
	for _, helper := range grant.PrefillWorkers() {
		if helper.ReservedTokens() == 0 {
			continue
		}
		t := ticket{address: helper.Address(), name: strings.ReplaceAll(grant.ID(), "/", "-"), tokens: helper.ReservedTokens()}
		// An order without an answer may have been carried out: it is released too.
		r.tickets = append(r.tickets, t)
		if err := q.server.memory.Reserve(ctx, t.address, t.name, t.tokens, r.hold); err != nil {
			q.server.log.Info("memory not reserved", "id", q.id, "address", t.address, "tokens", t.tokens, "error", err)
			r.release()
			return nil, err
		}
	}
	if len(r.tickets) > 0 {
		q.server.log.Info("memory reserved", "id", q.id, "tickets", len(r.tickets), "ticket", r.tickets[0].name)
		go r.renew(ctx)
	}
	return r, nil
}

// helpers returns the helpers of a grant with their tickets.
func (r *reservations) helpers(grant dispatch.Grant) []upstream.PrefillWorker {
	var out []upstream.PrefillWorker
	for _, helper := range grant.PrefillWorkers() {
		name := ""
		for _, t := range r.tickets {
			if t.address == helper.Address() {
				name = t.name
			}
		}
		out = append(out, upstream.NewPrefillWorker(helper.Address(), name))
	}
	return out
}

// renew prolongs the reservations until they are released.
func (r *reservations) renew(ctx context.Context) {
	tick := time.NewTicker(time.Duration(renewPart * float64(r.hold)))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-r.stop:
			return
		case <-ctx.Done():
			return
		}
		for _, t := range r.tickets {
			if err := r.server.memory.Reserve(ctx, t.address, t.name, t.tokens, r.hold); err != nil {
				r.server.log.Info("memory not prolonged", "id", r.id, "address", t.address, "error", err)
			}
		}
	}
}

// release frees the memory, beside whoever calls.
func (r *reservations) release() {
	close(r.stop)
	for _, t := range r.tickets {
		r.server.open.Add(1)
		go func() {
			defer r.server.open.Add(-1)
			r.free(t)
		}()
	}
}

func (r *reservations) free(t ticket) {
	var err error
	for try := range releaseTries {
		if try > 0 {
			time.Sleep(releasePause)
		}
		if err = r.server.memory.Release(context.Background(), t.address, t.name); err == nil {
			return
		}
	}
	r.server.log.Warn("memory not released", "id", r.id, "address", t.address, "ticket", t.name, "error", err)
}
