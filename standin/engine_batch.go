package standin

import (
	"net/http"
	"slices"
	"time"
)

// armTimers starts the timers of the next step and the next load report; e.mu is held.
func (e *Engine) armTimers() {
	if e.stepTimer == nil && len(e.waiting)+len(e.running) > 0 {
		e.lastStep = time.Now()
		e.stepTimer = time.AfterFunc(e.stepDuration(), e.step)
	}
	e.scheduleReport()
}

// scheduleReport has the next load report taken within the lag of a change; e.mu is held.
func (e *Engine) scheduleReport() {
	if e.reportTimer != nil {
		return
	}
	e.changedAt = time.Now()
	e.reportTimer = time.AfterFunc(e.scaled(e.reportLag), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.refreshReport()
	})
}

func (e *Engine) stepDuration() time.Duration {
	return max(time.Duration(float64(e.scaled(e.stepTime))*e.slowdown), time.Microsecond)
}

// step runs all due steps, several if the timer fired late.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepTimer = nil
	if e.thaw != nil {
		return
	}
	now, duration := time.Now(), e.stepDuration()
	e.expireStreams(now) // before a late step admits them as of an earlier time
	for !e.lastStep.Add(duration).After(now) && len(e.waiting)+len(e.running) > 0 {
		e.lastStep = e.lastStep.Add(duration)
		e.runStep(e.lastStep)
	}
	if len(e.waiting)+len(e.running) > 0 {
		e.stepTimer = time.AfterFunc(e.lastStep.Add(duration).Sub(now), e.step)
	}
}

// runStep runs one step: a chunk of prefill, then one token for each prefilled stream.
func (e *Engine) runStep(now time.Time) {
	e.expireStreams(now)
	e.admit(now)
	budget := int(float64(e.prefillRate) * e.stepTime.Seconds())
	for _, s := range e.running {
		chunk := min(s.toPrefill, budget)
		s.toPrefill -= chunk
		budget -= chunk
		e.stats.Prefilled += chunk
	}
	for _, s := range slices.Clone(e.running) {
		if s.toPrefill == 0 && !s.stuck {
			e.decode(s, now)
		}
	}
}

func (e *Engine) decode(s *stream, now time.Time) {
	if s.part != nil && !s.part.last() {
		e.markPrefilled(s)
		e.end(s, phaseFinished, now)
		return
	}
	if s.produced < s.answerTokens {
		s.produced++
		e.stats.Produced++
	}
	if s.produced == s.answerTokens {
		e.completed++
		e.stats.Answers++
		e.end(s, phaseFinished, now)
	}
	s.notify()
}

// expireStreams ends the streams past their deadline, and those still waiting past their start limit.
func (e *Engine) expireStreams(now time.Time) {
	for _, s := range slices.Concat(e.waiting, e.running) {
		switch {
		case s.phase == phaseWaiting && !e.ignoresNotAfter && expired(s.startBy, now):
			s.refusal = &refusal{status: http.StatusTooManyRequests, reason: "not_after"}
			e.end(s, phaseRefused, now)
		case s.phase == phaseWaiting && expired(s.deadline, now):
			s.refusal = &refusal{status: http.StatusTooManyRequests, reason: "time_left"}
			e.end(s, phaseRefused, now)
		case expired(s.deadline, now):
			e.end(s, phaseCancelled, now)
		}
	}
}

// admit moves waiting streams into the batch, in order, while there are slots and memory.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.batchSize {
		s := e.waiting[0]
		if !e.memory.reserve(s.load().tokens, now) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = insert(e.running, s)
		s.phase = phaseRunning
		e.scheduleReport()
		reused := min(e.memory.reusableTokens(s.blockSums), s.promptTokens-1)
		s.toPrefill = s.promptTokens - reused + s.resumeFrom
		e.stats.Reused += reused
		e.stats.Runs[s.id]++
		s.notify()
	}
}

// end removes a stream and frees its memory; the prefilled blocks of its prompt
// stay cached. e.mu is held.
func (e *Engine) end(s *stream, to phase, now time.Time) {
	if s.phase != phaseWaiting && s.phase != phaseRunning {
		return
	}
	if s.phase == phaseRunning {
		e.memory.release(s.load().tokens)
		done := max(s.promptTokens-s.toPrefill, 0) / blockTokens
		e.memory.cachePrefix(s.blockSums[:min(done, len(s.blockSums))], now)
	}
	if to != phaseFinished {
		e.stats.Cancelled += s.produced - s.resumeFrom
	}
	e.load = e.load.sub(s.load())
	remove := func(other *stream) bool { return other == s }
	e.waiting = slices.DeleteFunc(e.waiting, remove)
	e.running = slices.DeleteFunc(e.running, remove)
	s.phase = to
	s.notify()
	e.armTimers()
}
