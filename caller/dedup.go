package caller

import (
	"time"

	"greengagedock.example/backend"
)

const (
	maxStoredResponseBytes = 64 << 10
	maxStoredBytes         = 64 << 20
	// accountRecordDivisor is the divisor of the record limit that gives the
	// limit of one account.
	accountRecordDivisor = 4
)

// DedupTable records the non-idempotent calls that this entry incarnation owns,
// so that each runs at most once and none runs after the outcome "not_run" was
// returned. It is not safe for concurrent use. The zero value is ready to use.
type DedupTable struct {
	started        bool
	start          time.Time
	epoch          int64
	records        map[callKey]*callRecord
	accountRecords map[accountKey]int
	closedEpochs   map[accountKey]int64
	storedBytes    int
}

type callKey struct {
	account accountKey
	id      callID
}

type callRecord struct {
	done   chan struct{}
	result callResult
}

// callResult is how a non-idempotent call ended: a response or a failure.
type callResult struct {
	failure  *Failure
	response *plainResponse
}

// callDecision is what the owner does with a call.
type callDecision interface{ decision() }

// runNow is returned when the call must be run now, and then finished.
type runNow struct{}

// inProgress is returned when the call is running already; its record gets the
// result.
type inProgress struct{ record *callRecord }

// completed is returned when the call has ended.
type completed struct{ result callResult }

// rejected is returned when the call has not run and never will.
type rejected struct{ failure *Failure }

// indeterminate is returned when it is no longer known whether the call ran.
type indeterminate struct{ failure *Failure }

func (runNow) decision()        {}
func (inProgress) decision()    {}
func (completed) decision()     {}
func (rejected) decision()      {}
func (indeterminate) decision() {}

// prefix returns the prefix of the request IDs of calls that this entry
// incarnation owns.
func (t *DedupTable) prefix(now time.Time, self backend.Owner) string {
	t.advance(now)
	return callIDPrefix(self, t.epoch)
}

// begin decides what to do with a call of the account. A call that may run is
// recorded first; at most limit calls are recorded.
func (t *DedupTable) begin(now time.Time, self backend.Owner, account accountKey, id callID, limit int) callDecision {
	t.advance(now)
	switch {
	case id.owner != self:
		return indeterminate{failure: ownerLost}
	case id.epoch > t.epoch || id.epoch+1 < t.epoch:
		return indeterminate{failure: idExpired}
	}
	key := callKey{account: account, id: id}
	if r := t.records[key]; r != nil {
		return r.decide()
	}
	if closed, ok := t.closedEpochs[account]; ok && id.epoch <= closed {
		return rejected{failure: t.fullFailure(now)}
	}
	if len(t.records) >= limit || t.accountRecords[account] >= max(1, limit/accountRecordDivisor) {
		t.closedEpochs[account] = t.epoch
		return rejected{failure: t.fullFailure(now)}
	}
	t.records[key] = &callRecord{done: make(chan struct{})}
	t.accountRecords[account]++
	return runNow{}
}

// finish records the result of a call for which begin returned runNow. After a
// failure with the outcome "not_run" the ID never runs either.
func (t *DedupTable) finish(now time.Time, account accountKey, id callID, result callResult) {
	t.advance(now)
	r := t.records[callKey{account: account, id: id}]
	if r == nil || r.ended() {
		return
	}
	r.result = result
	t.boundStored(r)
	close(r.done)
}

// boundStored replaces the response by a failure if it is too long to store, or
// too many bytes are stored.
func (t *DedupTable) boundStored(r *callRecord) {
	response := r.result.response
	if response == nil {
		return
	}
	size := len(response.body)
	if size > maxStoredResponseBytes || t.storedBytes+size > maxStoredBytes {
		r.result = callResult{failure: responseNotStored}
		return
	}
	t.storedBytes += size
}

// advance moves to the epoch of now and removes the calls whose IDs have
// expired.
func (t *DedupTable) advance(now time.Time) {
	if !t.started {
		t.started = true
		t.start = now
		t.records = make(map[callKey]*callRecord)
		t.accountRecords = make(map[accountKey]int)
		t.closedEpochs = make(map[accountKey]int64)
	}
	epoch := int64(now.Sub(t.start) / epochLength)
	if epoch <= t.epoch {
		return
	}
	t.epoch = epoch
	for key, r := range t.records {
		if key.id.epoch+1 < epoch {
			t.remove(key, r)
		}
	}
	for account, closed := range t.closedEpochs {
		if closed+1 < epoch {
			delete(t.closedEpochs, account)
		}
	}
}

func (t *DedupTable) remove(key callKey, r *callRecord) {
	if !r.ended() {
		r.result = callResult{failure: idExpired}
		close(r.done)
	}
	if r.result.response != nil {
		t.storedBytes -= len(r.result.response.body)
	}
	delete(t.records, key)
	t.accountRecords[key.account]--
	if t.accountRecords[key.account] == 0 {
		delete(t.accountRecords, key.account)
	}
}

// fullFailure returns the failure of a call that cannot be recorded. The
// account's IDs of this epoch are never run, so Retry-After is the start of the
// next epoch.
func (t *DedupTable) fullFailure(now time.Time) *Failure {
	next := t.start.Add(time.Duration(t.epoch+1) * epochLength)
	return ownerFull.withRetryAfter(next.Sub(now))
}

func (r *callRecord) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *callRecord) decide() callDecision {
	if r.ended() {
		return completed{result: r.result}
	}
	return inProgress{record: r}
}
