package engine

import "math"

// job is a request on the engine, or a part of another engine's.
type job struct {
	Request
	// share is the part of the prompt that is read here.
	share float64
	// part tells that another engine answers the request.
	part bool
	// read is how many tokens of the prompt are read here, and upTo how many
	// will be at the end of the pass.
	read, upTo int
	// missing is how many parts other engines still read.
	missing int
	// writing tells that the pass under way writes for the job.
	writing bool
	written int
}

// own returns the tokens that are read here.
func (j *job) own() int { return int(math.Ceil(j.share * float64(j.prompt))) }

// writes reports whether the prompt is read, here and elsewhere.
func (j *job) writes() bool { return !j.part && j.read >= j.own() && j.missing == 0 }

// tokens returns the memory that the job takes here.
func (j *job) tokens() int {
	if j.part {
		return 0
	}
	return max(0, j.prompt-j.held) + j.written
}

// pairs returns the pairs of a token and an earlier one among the tokens from
// read to upTo: equal for each token of a part, growing along a whole prompt.
func (j *job) pairs(from, to int) float64 {
	if j.share < 1 {
		return float64(to-from) * float64(j.prompt) / 2
	}
	return (float64(to)*float64(to) - float64(from)*float64(from)) / 2
}
