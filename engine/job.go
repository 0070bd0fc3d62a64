package engine

import "math"

// job is a request on the engine, or the engine's part of another engine's request.
type job struct {
	Request
	// share is the fraction of the prompt that this engine prefills.
	share float64
	// part reports whether another engine decodes the request.
	part bool
	// prefilled is the number of prompt tokens prefilled on this engine, and
	// prefilledAfter that number at the end of the current pass.
	prefilled, prefilledAfter int
	// pendingParts is the number of parts that other engines still prefill.
	pendingParts int
	// decoding reports whether the current pass decodes for the job.
	decoding bool
	// generated is the length of the answer so far in tokens.
	generated int
}

// ownTokens returns the number of prompt tokens that this engine prefills.
func (j *job) ownTokens() int { return int(math.Ceil(j.share * float64(j.prompt))) }

// decodes reports whether the whole prompt is prefilled, here and on other
// engines, so that passes decode for the job.
func (j *job) decodes() bool {
	return !j.part && j.prefilled >= j.ownTokens() && j.pendingParts == 0
}

// tokens returns the memory that the job takes on this engine, in tokens.
func (j *job) tokens() int {
	if j.part {
		return 0
	}
	return max(0, j.prompt-j.heldElsewhere) + j.generated
}

// pairs returns the number of attention pairs, of a token and an earlier one,
// for the prompt tokens between two positions: the same for each token of a
// part, growing along a prompt that is prefilled on one engine.
func (j *job) pairs(from, to int) float64 {
	if j.share < 1 {
		return float64(to-from) * float64(j.prompt) / 2
	}
	return (float64(to)*float64(to) - float64(from)*float64(from)) / 2
}
