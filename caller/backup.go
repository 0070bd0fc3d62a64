package caller

import (
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"greengagedock.example/backend"
)

// errSuperseded is the error of an attempt whose response another attempt has
// taken over.
var errSuperseded = eris.New("caller: superseded by another attempt")

// backup is an attempt beside one whose server is silent. The response comes
// from the first server that sends an event, or a whole response; all other
// attempts are cancelled then. A silent server may thus go on as long as no
// other one takes over.
type backup struct {
	ctx     context.Context
	cancel  context.CancelFunc
	attempt *attempt // nil without a slot
}

// begin makes an attempt the one whose response is delivered.
func (e *execution) begin(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current, e.ready = a, nil
}

// progressed records that the server of the current attempt has sent an event,
// after which the response has the given number of tokens, or a whole response,
// and drops the backups. It reports false if a backup has taken over.
func (e *execution) progressed(tokens int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ready != nil {
		return false
	}
	e.request.tokens = tokens
	e.dropBackups()
	return true
}

// dropBackups cancels the backups; e.mu must be held.
func (e *execution) dropBackups() {
	for _, b := range e.backups {
		b.cancel()
	}
}

// newestAttempt returns the attempt that was started last, nil if there is none
// or it waits for its slot; e.mu must be held.
func (e *execution) newestAttempt() *attempt {
	if len(e.backups) == 0 {
		return e.current
	}
	return e.backups[len(e.backups)-1].attempt
}

// openServers returns the servers of the open attempts; e.mu must be held and no
// backup may wait for its slot.
func (e *execution) openServers() []string {
	var servers []string
	if e.current != nil {
		servers = append(servers, e.current.slot.Server())
	}
	for _, b := range e.backups {
		servers = append(servers, b.attempt.slot.Server())
	}
	return servers
}

// serverSilent starts a backup if the newest attempt's server is the silent one,
// within the request's attempts.
func (e *execution) serverSilent(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a != e.newestAttempt() || e.ready != nil || a.ctx.Err() != nil {
		return
	}
	q := e.request
	allowed := q.attempts < maxAttempts
	q.server.log.Info("server silent", append(q.logArgs(), "server", a.slot.Server(), "attempt", a.slot.ID(), "tokens", q.tokens, "backup", allowed)...)
	if !allowed {
		return
	}
	b := &backup{}
	b.ctx, b.cancel = context.WithCancel(e.sendCtx)
	request := e.slotRequest().Avoiding(e.openServers()...)
	e.backups = append(e.backups, b)
	e.backupsRunning.Go(func() { e.runBackup(b, request) })
}

// runBackup opens a backup and has it take over, unless an event of another
// attempt arrives before.
func (e *execution) runBackup(b *backup, request backend.SlotRequest) {
	err := e.openBackup(b, request)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.backups = slices.DeleteFunc(e.backups, func(other *backup) bool { return other == b })
	q := e.request
	dropped := b.ctx.Err() != nil
	if err == nil && !dropped {
		q.server.log.Info("backup took over", append(q.logArgs(), "server", b.attempt.slot.Server(), "attempt", b.attempt.slot.ID(), "tokens", q.tokens)...)
		e.ready = b.attempt
		e.dropBackups()
		if e.current != nil {
			e.current.cancel()
		}
		return
	}
	b.cancel()
	if !dropped {
		q.server.log.Info("backup failed", append(q.logArgs(), "attempt", request.ID(), "error", err)...)
	}
	if b.attempt != nil {
		b.attempt.reportSurvival(err)
		b.attempt.close()
		e.releaseReplaced(b.attempt.slot, err)
		if !dropped {
			e.avoidServer(b.attempt.slot)
		}
	}
}

// openBackup acquires a slot for a backup and opens its attempt.
func (e *execution) openBackup(b *backup, request backend.SlotRequest) error {
	server := e.request.server
	slot, err := server.slots.Acquire(b.ctx, request)
	if err != nil {
		return err
	}
	e.request.logRoute(slot)
	if !server.serverBudgets.spend(slot.Server(), serverBudgetSize) || !server.accountBudgets.spend(e.request.access.key(), accountBudgetSize) {
		server.slots.Release(slot, backend.OutcomeNotStarted)
		return errRetryBudget
	}
	e.mu.Lock()
	b.attempt = e.attemptFor(b.ctx, slot)
	e.mu.Unlock()
	return b.attempt.open()
}

var errRetryBudget = eris.New("caller: the retry budget of the server or the account is spent")

// releaseReplaced releases the slot of an attempt of which no response is
// delivered, or no more, because of another attempt.
func (e *execution) releaseReplaced(slot backend.Slot, err error) {
	outcome := backend.OutcomeFailed
	if attemptErr, ok := errors.AsType[*backend.AttemptError](err); ok {
		outcome = attemptErr.Outcome()
	}
	e.mayHaveRun = e.mayHaveRun || outcome == backend.OutcomeFailed
	e.releaseFailed(slot, outcome)
}

// awaitBackup waits until no backup of the current attempt runs, which ended with
// err. It returns the one that takes over, nil if there is none. A server that was
// only silent is not avoided afterwards: the one that takes over may fail.
func (e *execution) awaitBackup(err error) *attempt {
	_, undelivered := errors.AsType[*Failure](err)
	ended := err == nil || undelivered
	e.mu.Lock()
	switch {
	case ended:
		e.dropBackups()
	case e.ready == nil && len(e.backups) > 0:
		e.avoidServer(e.current.slot)
	}
	e.current = nil
	e.mu.Unlock()
	e.backupsRunning.Wait()
	next := e.ready
	if next != nil && ended {
		next.close()
		e.releaseReplaced(next.slot, errSuperseded)
		return nil
	}
	return next
}
