package ingress

import (
	"context"
	"errors"
	"runtime/debug"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/dispatch"
)

// maxSilences is the number of silence timeouts in a row after which a server that no
// backup replaced is reported as stalled.
const maxSilences = 2

// Errors of backups that are not sent.
var (
	errSilentAgain   = eris.New("ingress: only the silent server is free")
	errNoRetryBudget = eris.New("ingress: retry budget used up")
)

// backup is an attempt beside one whose server is silent. The response comes from the
// one whose server is the first to send an event, or a whole response; the other is
// cancelled. The server that is silent may thus go on while no other one takes over.
type backup struct {
	attempt *attempt
	// ended is closed once the attempt is ready to take over or has failed.
	ended chan struct{}
	ready bool
}

// begin makes an attempt the one whose response is forwarded.
func (q *request) begin(a *attempt) {
	q.lastGrant = a.grant
	q.mu.Lock()
	defer q.mu.Unlock()
	q.current = a
}

// progressed records that the server of the current attempt has sent an event or a
// whole response, and drops the backup. It reports false if the backup has taken over.
func (q *request) progressed(a *attempt) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.server.timers.Now()
	if q.backup != nil {
		if q.backup.ready {
			return false
		}
		q.dropBackup()
	}
	if a.silence.fired > 0 {
		q.server.log.Info("server no longer silent", "id", q.id, "send", a.number, "server", a.grant.Server(), "silent", now.Sub(a.silence.lastData))
	}
	a.silence.lastData, a.silence.fired = now, 0
	a.silence.stop()
	return true
}

// dropBackup cancels the backup, whose server may have begun; q.mu must be held.
func (q *request) dropBackup() {
	if q.backup.attempt.sent {
		q.ran++
	}
	q.backup.attempt.cancel(errSuperseded)
	q.backup = nil
}

// awaitEvent starts the silence timer for the next event of the current attempt.
func (q *request) awaitEvent(a *attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.mayResume() {
		return
	}
	a.silence.lastData = q.server.timers.Now()
	a.silence.timeout = q.server.minSilence + q.route.TokenIntervalObjective()
	if a.silence.timer == nil {
		a.silence.timer = time.AfterFunc(a.silence.timeout, func() { q.serverSilent(a) })
	} else {
		a.silence.timer.Reset(a.silence.timeout)
	}
}

// serverSilent starts a backup of the current attempt, whose server has sent nothing
// for its silence timeout. A backup that fails, or is silent as well, is followed by
// another one, as far as attempts and retry budget go.
func (q *request) serverSilent(a *attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.server.timers.Now()
	silent := now.Sub(a.silence.lastData)
	if a.ctx.Err() != nil || silent < a.silence.timeout {
		return // the attempt ends, or data arrived as the timer fired
	}
	a.silence.fired++
	if q.server.client.Doubt(a.grant.Address()) && a.silence.fired == maxSilences {
		go q.server.scheduler.Fault(q.service.Name(), a.grant.Address(), dispatch.OutcomeStalled)
	}
	if q.backup != nil && q.backup.attempt == a {
		if q.ran+2 < q.route.MaxAttempts() {
			a.cancel(errServerTimeout) // the next backup is sent to another server
		}
		return
	}
	if q.current != a {
		return
	}
	a.silence.timer.Reset(a.silence.timeout)
	if q.backup != nil {
		return
	}
	allowed := q.sends < maxSends && q.ran+1 < q.route.MaxAttempts()
	q.server.log.Info("server silent", "id", q.id, "send", a.number, "server", a.grant.Server(), "silent", silent,
		"after_event", q.stream.lastID, "backup", allowed)
	if !allowed {
		return
	}
	q.sends++
	q.exclude = append(q.exclude, a.grant.Server())
	b := &backup{attempt: q.newAttempt(a.parent), ended: make(chan struct{})}
	q.backup = b
	q.backups.Go(func() { q.runBackup(b, a) })
}

// runBackup opens a backup of an attempt and has it take over if no event of the
// attempt arrives before.
func (q *request) runBackup(b *backup, of *attempt) {
	defer close(b.ended)
	defer q.containPanic(b)
	a := b.attempt
	if err := q.placeBackup(a, of); err != nil {
		a.cancel(nil)
		q.server.log.Info("no backup", "id", q.id, "send", a.number, "error", err)
		q.mu.Lock()
		q.sends-- // it was not sent
		q.mu.Unlock()
		q.endBackup(b)
		return
	}
	outcome, err := a.open()
	if err == nil && q.takeOver(b, of) {
		return
	}
	if err == nil || errors.Is(context.Cause(a.ctx), errSuperseded) {
		outcome, err = dispatch.OutcomeCancelled, errSuperseded
	}
	a.close(outcome)
	if !errors.Is(err, errSuperseded) {
		q.logFailure(a, outcome, err)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.backup == b { // else it was counted as it was dropped
		q.backup = nil
		q.countFailure(a, outcome)
	}
}

// placeBackup gets a placement for a backup that does not depend on the silent server.
func (q *request) placeBackup(a, of *attempt) error {
	if err := a.acquire(); err != nil {
		return err
	}
	silent := of.grant.Server()
	dependent := a.grant.Server() == silent || slices.ContainsFunc(a.grant.PrefillWorkers(), func(w dispatch.PrefillWorker) bool { return w.Server() == silent })
	if !dependent && q.allowRetry() {
		return nil
	}
	q.server.scheduler.Ended(q.service.Name(), a.grant.ID(), dispatch.OutcomeCancelled)
	if dependent {
		return errSilentAgain
	}
	return errNoRetryBudget
}

// containPanic logs a panic of a backup and ends the backup: net/http contains only those
// of the handler's goroutine.
func (q *request) containPanic(b *backup) {
	cause := recover()
	if cause == nil {
		return
	}
	q.server.log.Error("backup panicked", "id", q.id, "send", b.attempt.number, "panic", cause, "stack", string(debug.Stack()))
	b.attempt.cancel(nil)
	q.endBackup(b)
}

// takeOver cancels an attempt in favour of its backup, unless the backup was dropped.
func (q *request) takeOver(b *backup, of *attempt) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.backup != b {
		return false
	}
	b.ready = true
	of.cancel(errServerTimeout)
	return true
}

// endBackup removes a backup that failed; the attempt's timer starts another one.
func (q *request) endBackup(b *backup) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.backup == b {
		q.backup = nil
	}
}

// awaitBackup returns the backup that takes over from the attempt that just failed,
// nil if there is none or it fails too.
func (q *request) awaitBackup(ctx context.Context) *attempt {
	q.mu.Lock()
	q.current = nil
	b := q.backup
	q.mu.Unlock()
	if b == nil {
		return nil
	}
	select {
	case <-b.ended:
	case <-ctx.Done():
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !b.ready {
		return nil
	}
	q.backup = nil
	return b.attempt
}

// endAttempts closes the backup of a request that ends, also one that was ready, and
// waits until no other goroutine uses the request.
func (q *request) endAttempts() {
	q.mu.Lock()
	b := q.backup
	q.current = nil
	if b != nil {
		q.dropBackup()
	}
	q.mu.Unlock()
	q.backups.Wait()
	if b != nil && b.ready {
		b.attempt.close(dispatch.OutcomeCancelled)
	}
}
