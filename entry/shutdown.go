package entry

import (
	"context"
	"time"

	"greengagedock.example/peer"
	"greengagedock.example/registry"
)

const (
	// drainNoticePeriod is the time between telling the peers that the entry drains
	// and refusing new requests.
	drainNoticePeriod = 1500 * time.Millisecond
	// releaseFlushPeriod is the time for the releases of the last slots to reach their keepers.
	releaseFlushPeriod = 500 * time.Millisecond
	// stopNoticePeriod is the time for the stop notice to reach the peers.
	stopNoticePeriod = 100 * time.Millisecond
	// lingerMargin is the part of the shutdown deadline that lingering leaves unused.
	lingerMargin = time.Second
	// closeTimeout bounds the time to write the last responses to their connections.
	closeTimeout = 5 * time.Second
)

// Shutdown stops the entry gracefully. It tells its peers, so that callers are
// no longer sent to it, goes on accepting requests for drainNoticePeriod, then
// refuses new ones, waits for open requests to finish, lingers and stops.
// Until it stops it grants the slots of the servers that it keeps. If ctx is
// done first, open requests are cut off and the error of ctx is returned.
func (p *Process) Shutdown(ctx context.Context) error {
	p.shuttingDown.Store(true)
	p.log.Info("entry draining", "open_requests", p.server.OpenRequests())
	p.control.Deliver(peer.Draining{})
	wait(ctx, drainNoticePeriod)
	refusingSince := p.timers.Now()
	cut := 0
	err := p.server.Drain(ctx)
	if err != nil {
		cut = p.server.OpenRequests()
	} else {
		err = wait(ctx, p.linger(ctx, p.timers.Now().Sub(refusingSince)))
	}
	p.control.Deliver(peer.Stopping{})
	wait(ctx, stopNoticePeriod)
	closing, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	p.stop(closing)
	p.log.Info("entry drained", "cut_requests", cut)
	return err
}

// linger returns how much longer the entry runs after it has refused new
// requests for the given time. For as long as an address answer is valid, a
// caller may hold the id of a non-idempotent call that this entry owns; once
// stopped, the entry could not tell that caller that the call has not run.
func (p *Process) linger(ctx context.Context, refusedFor time.Duration) time.Duration {
	s := p.control.Snapshot()
	if !hasNonIdempotent(s.Documents()) || !p.hasSuccessor(s) {
		return releaseFlushPeriod
	}
	_, validity := s.Addresses("")
	linger := max(validity-refusedFor, releaseFlushPeriod)
	if deadline, ok := ctx.Deadline(); ok {
		linger = min(linger, time.Until(deadline)-lingerMargin)
	}
	return max(linger, 0)
}

// hasNonIdempotent reports whether a document defines a call that may run at most once.
func hasNonIdempotent(documents []*registry.Document) bool {
	for _, document := range documents {
		for _, call := range document.Calls() {
			if !call.Repeatable() {
				return true
			}
		}
	}
	return false
}

// hasSuccessor reports whether another entry accepts callers.
func (p *Process) hasSuccessor(s *peer.Snapshot) bool {
	for _, e := range s.Entries() {
		if e.Instance().ID() != p.settings.ID() && !e.Silent() && !e.Draining() {
			return true
		}
	}
	return false
}

// wait waits for d, and returns the error of ctx if it is done first.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
