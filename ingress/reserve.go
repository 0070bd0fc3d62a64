package ingress

import (
	"context"
	"strings"
	"sync"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

const (
	// renewFraction is the fraction of the hold time after which a reservation is renewed.
	renewFraction = 0.45
	// renewRetryDelay is the delay after which a renewal that failed is repeated.
	renewRetryDelay = 50 * time.Millisecond
	// maxReleaseAttempts and releaseRetryDelay bound the attempts to release a
	// reservation; if all fail, it expires after its hold time.
	maxReleaseAttempts = 3
	releaseRetryDelay  = 100 * time.Millisecond
)

// reservations are the KV reservations of one send.
type reservations struct {
	server  *Server
	id      string
	service string
	active  []kvReservation
	hold    time.Duration
	stop    chan struct{}
	// renewing ends once no renewal is on its way.
	renewing sync.WaitGroup
}

type kvReservation struct {
	server  routing.Incarnation
	address string
	id      string
	tokens  int
}

// reserve reserves KV memory for the tokens that a grant's prefill workers
// process. After an error nothing stays reserved.
func (q *request) reserve(ctx context.Context, grant dispatch.Grant) (*reservations, error) {
	r := &reservations{server: q.server, id: q.id, service: q.service.Name(), hold: q.server.reservationHold, stop: make(chan struct{})}
	for _, worker := range grant.PrefillWorkers() {
		if worker.ReservedTokens() == 0 {
			continue
		}
		res := kvReservation{server: q.incarnation(worker.Server()), address: worker.Address(), id: strings.ReplaceAll(grant.ID(), "/", "-"), tokens: worker.ReservedTokens()}
		// A failed Reserve call may still have taken effect, so it is released as well.
		r.active = append(r.active, res)
		if err := r.reserveOne(ctx, res); err != nil {
			q.server.log.Info("KV memory not reserved", "id", q.id, "address", res.address, "tokens", res.tokens, "error", err)
			r.release()
			return nil, err
		}
	}
	if len(r.active) > 0 {
		q.server.log.Info("KV memory reserved", "id", q.id, "tickets", len(r.active), "ticket", r.active[0].id)
		for _, res := range r.active {
			r.renewing.Go(func() { r.renew(ctx, res) })
		}
	}
	return r, nil
}

func (r *reservations) reserveOne(ctx context.Context, res kvReservation) error {
	metadata, err := r.server.kvReserver.Reserve(ctx, res.address, res.id, res.tokens, r.hold)
	r.server.noteResponse(r.id, r.service, res.server, metadata)
	return err
}

// prefillWorkers returns the prefill workers of a grant with their reservations.
func (r *reservations) prefillWorkers(grant dispatch.Grant) []upstream.PrefillWorker {
	var out []upstream.PrefillWorker
	for _, worker := range grant.PrefillWorkers() {
		id := ""
		for _, res := range r.active {
			if res.address == worker.Address() {
				id = res.id
			}
		}
		out = append(out, upstream.NewPrefillWorker(worker.Address(), id))
	}
	return out
}

// renew renews a reservation until it is released. A worker that is silent for a second or
// so must not lose it, so a renewal that fails is repeated soon.
func (r *reservations) renew(ctx context.Context, res kvReservation) {
	interval := time.Duration(renewFraction * float64(r.hold))
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.stop:
			return
		case <-ctx.Done():
			return
		}
		next := interval
		if err := r.reserveOne(ctx, res); err != nil {
			r.server.log.Info("KV reservation not renewed", "id", r.id, "address", res.address, "error", err)
			next = min(renewRetryDelay, interval)
		}
		timer.Reset(next)
	}
}

// release ends the reservations in the background, after renewals that are on their way: an
// engine that gets one after the release reserves the memory again.
func (r *reservations) release() {
	close(r.stop)
	for _, res := range r.active {
		r.server.openRequests.Add(1)
		go func() {
			defer r.server.openRequests.Add(-1)
			r.renewing.Wait()
			r.releaseOne(res)
		}()
	}
}

func (r *reservations) releaseOne(res kvReservation) {
	var err error
	for try := range maxReleaseAttempts {
		if try > 0 {
			time.Sleep(releaseRetryDelay)
		}
		var metadata upstream.ResponseMetadata
		metadata, err = r.server.kvReserver.Release(context.Background(), res.address, res.id)
		r.server.noteResponse(r.id, r.service, res.server, metadata)
		if err == nil {
			return
		}
	}
	r.server.log.Warn("KV reservation not released", "id", r.id, "address", res.address, "ticket", res.id, "error", err)
}
