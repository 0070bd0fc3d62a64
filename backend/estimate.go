package backend

import "time"

const (
	// defaultPrefillTime is the time per prompt token assumed before the
	// first answer.
	defaultPrefillTime = 50 * time.Microsecond
	// defaultDecodeTime is the time per answer token assumed before the first
	// answer.
	defaultDecodeTime = 10 * time.Millisecond
	// estimateTTL is the age of the last answer beyond which the estimate is
	// discarded for the defaults.
	estimateTTL = 30 * time.Second
	// estimateGain is the weight of a new sample.
	estimateGain = 0.1
	// fasterGain and slowerGain are the weights of prefill samples below and
	// above the estimate.
	fasterGain, slowerGain = 0.3, 0.01
	// slowFactor is the multiple of the expected time beyond which an answer
	// is slow.
	slowFactor = 4
	// minSlowTime is the least duration of a slow answer.
	minSlowTime = 2 * time.Second
	// minLearnedAnswers is the number of answers after which slow ones are
	// detected.
	minLearnedAnswers = 8
)

// estimator estimates how fast a server prefills and decodes, in seconds per
// token, from its finished attempts, and tracks the prompt tokens that it has
// yet to prefill, by class. The zero value uses the defaults.
type estimator struct {
	prefill    float64
	decode     float64
	answers    int
	lastAnswer time.Time
	backlog    [len(classes)]float64
	drainedAt  time.Time
}

// tokenTimes returns the seconds per prompt token and per answer token.
func (e *estimator) tokenTimes(now time.Time) (prefill, decode float64) {
	if e.answers == 0 || now.Sub(e.lastAnswer) > estimateTTL {
		return defaultPrefillTime.Seconds(), defaultDecodeTime.Seconds()
	}
	return e.prefill, e.decode
}

// serviceTime returns how long the server is expected to work on a request of
// this cost, without any wait.
func (e *estimator) serviceTime(now time.Time, cost Cost) time.Duration {
	prefill, decode := e.tokenTimes(now)
	return seconds(float64(cost.prompt)*prefill + float64(cost.answer)*decode)
}

// learn adds the sample of an attempt that took elapsed from grant to end. It
// updates whichever of the two estimates accounts for most of the time.
func (e *estimator) learn(now time.Time, cost Cost, elapsed time.Duration) {
	prefill, decode := e.tokenTimes(now)
	prefillTime := float64(cost.prompt) * prefill
	decodeTime := float64(cost.answer) * decode
	if prefillTime+decodeTime == 0 {
		return
	}
	if prefillTime > decodeTime {
		prefill = smoothPrefill(prefill, max(elapsed.Seconds()-decodeTime, 0)/float64(cost.prompt))
	} else {
		decode += estimateGain * (max(elapsed.Seconds()-prefillTime, 0)/float64(cost.answer) - decode)
	}
	e.prefill, e.decode = prefill, decode
	e.answers++
	e.lastAnswer = now
}

// smoothPrefill moves an estimate quickly towards a faster sample and slowly
// towards a slower one, which reflects other prompts on the server rather
// than its speed.
func smoothPrefill(estimate, sample float64) float64 {
	gain := slowerGain
	if sample < estimate {
		gain = fasterGain
	}
	return estimate + gain*(sample-estimate)
}

// isSlow reports whether an attempt took far longer than was expected when
// its slot was granted; expected is 0 if nothing was.
func (e *estimator) isSlow(expected, elapsed time.Duration) bool {
	return e.answers >= minLearnedAnswers && expected > 0 && elapsed > max(minSlowTime, slowFactor*expected)
}

// addPrompt adds a prompt to the prefill backlog.
func (e *estimator) addPrompt(now time.Time, cost Cost) {
	e.drainBacklog(now)
	e.backlog[cost.Class().index()] += float64(cost.prompt)
}

// backlogTime returns how long the server needs to prefill the backlog of the
// class and the classes before it.
func (e *estimator) backlogTime(now time.Time, class Class) time.Duration {
	e.drainBacklog(now)
	prefill, _ := e.tokenTimes(now)
	tokens := 0.0
	for i := range class.index() + 1 {
		tokens += e.backlog[i]
	}
	return seconds(tokens * prefill)
}

// drainBacklog removes what the server should have prefilled since the last
// call.
func (e *estimator) drainBacklog(now time.Time) {
	prefill, _ := e.tokenTimes(now)
	done := max(now.Sub(e.drainedAt).Seconds(), 0) / max(prefill, 1e-9)
	e.drainedAt = now
	for i := range e.backlog {
		part := min(done, e.backlog[i])
		e.backlog[i] -= part
		done -= part
	}
}

// capBacklog limits the backlog to the prompts that the server still has.
func (e *estimator) capBacklog(prompts [len(classes)]float64) {
	for i := range e.backlog {
		e.backlog[i] = min(e.backlog[i], prompts[i])
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
