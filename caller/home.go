package caller

import (
	"time"

	"greengagedock.example/backend"
)

const (
	maxKeptAnswer  = 64 << 10
	maxKeptAnswers = 64 << 20
	// accountPart is the part of the records that one account may take, as a divisor.
	accountPart = 4
)

// DedupTable remembers the non-repeatable calls whose ids name this entry
// incarnation, so that each runs at most once and none runs that was answered
// "not run". It is not safe for concurrent use; its zero value is ready.
type DedupTable struct {
	started bool
	start   time.Time
	epoch   int64
	records map[recordKey]*record
	owned   map[accountKey]int
	closed  map[accountKey]int64
	kept    int
}

type recordKey struct {
	account accountKey
	id      callID
}

type record struct {
	done   chan struct{}
	ending ending
}

// ending is how a non-repeatable call ended: an answer, or a failure.
type ending struct {
	failure *Failure
	answer  *plainAnswer
}

// decision says what becomes of a call that reached its home.
type decision interface{ decision() }

// runNow decides that the call must be run now, once, and then finished.
type runNow struct{}

// running decides that the call is running already; its record's end tells more.
type running struct{ record *record }

// stored decides that the call has ended.
type stored struct{ ending ending }

// refused decides that the call has not run and never will.
type refused struct{ failure *Failure }

// lost decides that nobody can say any more whether the call ran.
type lost struct{ failure *Failure }

func (runNow) decision()  {}
func (running) decision() {}
func (stored) decision()  {}
func (refused) decision() {}
func (lost) decision()    {}

// prefix returns what the ids of non-repeatable calls must begin with to make
// this entry incarnation their home.
func (h *DedupTable) prefix(now time.Time, self backend.Owner) string {
	h.advance(now)
	return idPrefix(self, h.epoch)
}

// begin decides what becomes of a call of the account, and records it before
// it may run; at most limit calls are remembered.
func (h *DedupTable) begin(now time.Time, self backend.Owner, account accountKey, id callID, limit int) decision {
	h.advance(now)
	switch {
	case id.home != self:
		return lost{failure: homeLost}
	case id.epoch > h.epoch || id.epoch+1 < h.epoch:
		return lost{failure: idExpired}
	}
	key := recordKey{account: account, id: id}
	if r := h.records[key]; r != nil {
		return r.decide()
	}
	if closed, ok := h.closed[account]; ok && id.epoch <= closed {
		return refused{failure: h.full(now)}
	}
	if len(h.records) >= limit || h.owned[account] >= max(1, limit/accountPart) {
		h.closed[account] = h.epoch
		return refused{failure: h.full(now)}
	}
	h.records[key] = &record{done: make(chan struct{})}
	h.owned[account]++
	return runNow{}
}

// finish stores how a call ended for which begin decided Run; a failure that
// says "not run" uses the id up.
func (h *DedupTable) finish(now time.Time, account accountKey, id callID, end ending) {
	h.advance(now)
	r := h.records[recordKey{account: account, id: id}]
	if r == nil || r.ended() {
		return
	}
	r.ending = end
	h.keep(r)
	close(r.done)
}

// keep drops the answer's body if it is too long or all kept ones are.
func (h *DedupTable) keep(r *record) {
	answer := r.ending.answer
	if answer == nil {
		return
	}
	size := len(answer.body)
	if size > maxKeptAnswer || h.kept+size > maxKeptAnswers {
		r.ending = ending{failure: answerNotKept}
		return
	}
	h.kept += size
}

// advance moves to the epoch of now and forgets the calls whose ids are no longer valid.
func (h *DedupTable) advance(now time.Time) {
	if !h.started {
		h.started = true
		h.start = now
		h.records = make(map[recordKey]*record)
		h.owned = make(map[accountKey]int)
		h.closed = make(map[accountKey]int64)
	}
	epoch := int64(now.Sub(h.start) / epochLength)
	if epoch <= h.epoch {
		return
	}
	h.epoch = epoch
	for key, r := range h.records {
		if key.id.epoch+1 < epoch {
			h.forget(key, r)
		}
	}
	for account, closed := range h.closed {
		if closed+1 < epoch {
			delete(h.closed, account)
		}
	}
}

func (h *DedupTable) forget(key recordKey, r *record) {
	if !r.ended() {
		r.ending = ending{failure: idExpired}
		close(r.done)
	}
	if r.ending.answer != nil {
		h.kept -= len(r.ending.answer.body)
	}
	delete(h.records, key)
	h.owned[key.account]--
	if h.owned[key.account] == 0 {
		delete(h.owned, key.account)
	}
}

// full returns the refusal of a call for which there is no room: its account's
// ids of this epoch never run, so it may come back in the next.
func (h *DedupTable) full(now time.Time) *Failure {
	next := h.start.Add(time.Duration(h.epoch+1) * epochLength)
	return homeFull.in(next.Sub(now))
}

func (r *record) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *record) decide() decision {
	if r.ended() {
		return stored{ending: r.ending}
	}
	return running{record: r}
}
