package routing

import "time"

// Service is a group of interchangeable backend servers.
type Service struct {
	name           string
	maxConnections int
	coldFor        time.Duration
	coldRate       float64
	engine         *EngineProfile
}

// NewService returns a service of plain servers, which run no model engine, without limits.
func NewService(name string) Service { return Service{name: name} }

// WithMaxConnections returns the service with the number of connections that one server accepts.
func (s Service) WithMaxConnections(connections int) Service {
	s.maxConnections = connections
	return s
}

// WithCold returns the service with how long its servers are cold after their start, and their capacity meanwhile in requests per second.
func (s Service) WithCold(coldFor time.Duration, rate float64) Service {
	s.coldFor, s.coldRate = coldFor, rate
	return s
}

// WithEngine returns the service as one whose servers run a model engine with the given profile.
func (s Service) WithEngine(profile EngineProfile) Service {
	s.engine = &profile
	return s
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// MaxConnections returns the number of connections that one backend server accepts from all entries together.
func (s Service) MaxConnections() int { return s.maxConnections }

// ColdFor returns how long a backend server is cold after its start.
func (s Service) ColdFor() time.Duration { return s.coldFor }

// ColdRate returns the capacity of a cold backend server in requests per second.
func (s Service) ColdRate() float64 { return s.coldRate }

// Engine returns the profile of the service's model engines, nil for a plain service.
func (s Service) Engine() *EngineProfile { return s.engine }

// EngineProfile holds the parameters from which the prefill and decode times and
// the memory use of a model engine are estimated.
type EngineProfile struct {
	slots                  int
	memory                 int
	stepsPerPass           int
	prefillChunk           int
	step                   time.Duration
	stepPerSequence        time.Duration
	stepPerContext         time.Duration
	prefillPerToken        time.Duration
	prefillPerMillionPairs time.Duration
	meanAnswer             int
}

// NewEngineProfile returns the profile of an engine with so many slots and so much memory, in tokens.
func NewEngineProfile(slots, memory int) EngineProfile {
	return EngineProfile{slots: slots, memory: memory, stepsPerPass: 1, prefillChunk: memory}
}

// WithDecode returns the profile with the times of a decode step and the number of steps in a pass.
func (e EngineProfile) WithDecode(step, perSequence, perContext time.Duration, stepsPerPass int) EngineProfile {
	e.step, e.stepPerSequence, e.stepPerContext, e.stepsPerPass = step, perSequence, perContext, max(1, stepsPerPass)
	return e
}

// WithPrefill returns the profile with the prefill times and the largest number of tokens prefilled in one step.
func (e EngineProfile) WithPrefill(perToken, perMillionPairs time.Duration, prefillChunk int) EngineProfile {
	e.prefillPerToken, e.prefillPerMillionPairs, e.prefillChunk = perToken, perMillionPairs, max(1, prefillChunk)
	return e
}

// WithMeanAnswer returns the profile with the mean length of answers in tokens.
func (e EngineProfile) WithMeanAnswer(tokens int) EngineProfile {
	e.meanAnswer = tokens
	return e
}

// Slots returns how many requests run concurrently.
func (e EngineProfile) Slots() int { return e.slots }

// Memory returns the size of the KV cache in tokens.
func (e EngineProfile) Memory() int { return e.memory }

// StepsPerPass returns the number of steps in a pass that decodes.
func (e EngineProfile) StepsPerPass() int { return e.stepsPerPass }

// PrefillChunk returns the largest number of prompt tokens prefilled in one step.
func (e EngineProfile) PrefillChunk() int { return e.prefillChunk }

// Step returns the base duration of a decode step.
func (e EngineProfile) Step() time.Duration { return e.step }

// StepPerSequence returns the time that each decoding request adds to a step.
func (e EngineProfile) StepPerSequence() time.Duration { return e.stepPerSequence }

// StepPerContext returns the time that each thousand tokens of context add to a step.
func (e EngineProfile) StepPerContext() time.Duration { return e.stepPerContext }

// PrefillPerToken returns the prefill time per prompt token, without attention.
func (e EngineProfile) PrefillPerToken() time.Duration { return e.prefillPerToken }

// PrefillPerMillionPairs returns the attention time per million pairs of a prompt token and an earlier one.
func (e EngineProfile) PrefillPerMillionPairs() time.Duration { return e.prefillPerMillionPairs }

// MeanAnswer returns the mean length of answers in tokens.
func (e EngineProfile) MeanAnswer() int { return e.meanAnswer }

// PrefillTime returns the time to prefill a share of a prompt, from 0 to 1, on an engine that decodes nothing.
func (e EngineProfile) PrefillTime(prompt int, share float64) time.Duration {
	n := float64(prompt)
	alone := n*float64(e.prefillPerToken) + n*n/2/1e6*float64(e.prefillPerMillionPairs)
	return time.Duration(alone * share)
}

// AnswerTime returns the time in which an answer of so many tokens to a prompt is decoded, on an
// engine whose slots are all taken by such requests and whose passes also prefill other prompts.
func (e EngineProfile) AnswerTime(prompt, answer int) time.Duration {
	passes := (answer + e.stepsPerPass - 1) / max(1, e.stepsPerPass)
	pass := e.DecodePassTime(e.slots, min(e.slots*prompt, e.memory)) + e.PrefillTime(min(e.prefillChunk, prompt), 1)
	return time.Duration(passes) * pass
}

// DecodePassTime returns the time that the decode steps of one pass take.
func (e EngineProfile) DecodePassTime(sequences, contextTokens int) time.Duration {
	step := float64(e.step) + float64(sequences)*float64(e.stepPerSequence) + float64(contextTokens)/1000*float64(e.stepPerContext)
	return time.Duration(step * float64(e.stepsPerPass))
}
