package routing

import "time"

// Service is a kind of backend server.
type Service struct {
	name           string
	maxConnections int
	coldFor        time.Duration
	coldRate       float64
	engine         *EngineProfile
}

// NewService returns a plain service without limits.
func NewService(name string) Service { return Service{name: name} }

// WithMaxConnections returns the service with the connections that one server takes.
func (s Service) WithMaxConnections(connections int) Service {
	s.maxConnections = connections
	return s
}

// WithCold returns the service with how long its servers are cold and what they bear then, in requests a second.
func (s Service) WithCold(coldFor time.Duration, rate float64) Service {
	s.coldFor, s.coldRate = coldFor, rate
	return s
}

// WithEngine returns the service as one of model engines.
func (s Service) WithEngine(engine EngineProfile) Service {
	s.engine = &engine
	return s
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// MaxConnections returns the connections that one backend server takes from all entries.
func (s Service) MaxConnections() int { return s.maxConnections }

// ColdFor returns how long a backend server is cold after its start.
func (s Service) ColdFor() time.Duration { return s.coldFor }

// ColdRate returns the requests a second that a cold backend server bears.
func (s Service) ColdRate() float64 { return s.coldRate }

// Engine returns the figures of the model engine, nil for a plain service.
func (s Service) Engine() *EngineProfile { return s.engine }

// EngineProfile holds the figures by which a model engine's time and memory are worked out.
type EngineProfile struct {
	slots               int
	memory              int
	stride              int
	chunk               int
	step                time.Duration
	stepPerSequence     time.Duration
	stepPerContext      time.Duration
	readPerToken        time.Duration
	readPerMillionPairs time.Duration
	usualAnswer         int
}

// NewEngineProfile returns an engine of the given slots and memory in tokens.
func NewEngineProfile(slots, memory int) EngineProfile {
	return EngineProfile{slots: slots, memory: memory, stride: 1, chunk: memory}
}

// WithDecode returns the engine with the times of its steps and the steps of a pass.
func (e EngineProfile) WithDecode(step, perSequence, perContext time.Duration, stride int) EngineProfile {
	e.step, e.stepPerSequence, e.stepPerContext, e.stride = step, perSequence, perContext, max(1, stride)
	return e
}

// WithPrefill returns the engine with the times of reading and the most tokens read in a step.
func (e EngineProfile) WithPrefill(perToken, perMillionPairs time.Duration, chunk int) EngineProfile {
	e.readPerToken, e.readPerMillionPairs, e.chunk = perToken, perMillionPairs, max(1, chunk)
	return e
}

// WithMeanAnswer returns the engine with the mean length of answers in tokens.
func (e EngineProfile) WithMeanAnswer(tokens int) EngineProfile {
	e.usualAnswer = tokens
	return e
}

// Slots returns how many requests run at once.
func (e EngineProfile) Slots() int { return e.slots }

// Memory returns the memory in tokens.
func (e EngineProfile) Memory() int { return e.memory }

// StepsPerPass returns the steps of one pass that writes.
func (e EngineProfile) StepsPerPass() int { return e.stride }

// PrefillChunk returns the most tokens of prompts read in one step.
func (e EngineProfile) PrefillChunk() int { return e.chunk }

// Step returns the time of a step.
func (e EngineProfile) Step() time.Duration { return e.step }

// StepPerSequence returns what each request that writes adds to a step.
func (e EngineProfile) StepPerSequence() time.Duration { return e.stepPerSequence }

// StepPerContext returns what a thousand tokens of context add to a step.
func (e EngineProfile) StepPerContext() time.Duration { return e.stepPerContext }

// PrefillPerToken returns the time to read one token of a prompt.
func (e EngineProfile) PrefillPerToken() time.Duration { return e.readPerToken }

// PrefillPerMillionPairs returns the time to read a million pairs of a token and an earlier one.
func (e EngineProfile) PrefillPerMillionPairs() time.Duration { return e.readPerMillionPairs }

// MeanAnswer returns the mean answer in tokens.
func (e EngineProfile) MeanAnswer() int { return e.usualAnswer }

// PrefillTime returns the time to read a share of a prompt on an engine that writes nothing.
func (e EngineProfile) PrefillTime(prompt int, share float64) time.Duration {
	n := float64(prompt)
	alone := n*float64(e.readPerToken) + n*n/2/1e6*float64(e.readPerMillionPairs)
	return time.Duration(alone * share)
}

// DecodePassTime returns the time of the steps of one pass that writes.
func (e EngineProfile) DecodePassTime(writers, contextTokens int) time.Duration {
	step := float64(e.step) + float64(writers)*float64(e.stepPerSequence) + float64(contextTokens)/1000*float64(e.stepPerContext)
	return time.Duration(step * float64(e.stride))
}

// PrefillPasses returns the passes that reading so many tokens takes.
func (e EngineProfile) PrefillPasses(tokens int) int {
	if e.chunk <= 0 {
		return 1
	}
	return (tokens + e.chunk - 1) / e.chunk
}
