package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/jsonc"
	"greengagedock.example/routing"
)

// Limits on the values in a workload file.
const (
	maxLength   = time.Hour
	maxServers  = 10_000
	maxEntries  = 10_000
	maxTokens   = 10_000_000
	maxRate     = 100_000.0
	maxFactor   = 1000.0
	maxWorth    = 1e6
	maxPriority = 100
)

// Workload describes a fleet of engines and the prompts that are sent to it.
type Workload struct {
	length  time.Duration
	entries int
	servers int
	engine  routing.EngineProfile
	kinds   []Kind
	windows []Window
	// accounts are the client accounts that the requests belong to, none if it is empty.
	accounts []AccountGroup
	// slowdowns holds the factors by which the first servers are slower than their profile.
	slowdowns []float64
}

// Kind describes a class of prompts: their rate, lengths and objectives.
type Kind struct {
	name      string
	perSecond float64
	prompt    LengthDistribution
	answer    LengthDistribution
	// tokensPerEvent is the number of answer tokens in one event.
	tokensPerEvent   int
	objective        time.Duration
	maxTokenInterval time.Duration
	timeout          time.Duration
	retries          int
	worth            float64
	lateWorth        float64
	// priority is the priority of the kind's requests; 0 is the most urgent.
	priority int
}

// LengthDistribution is a lognormal distribution of lengths in tokens; longer lengths are reduced to the limit.
type LengthDistribution struct {
	mean   float64
	spread float64
	limit  float64
}

// Window is a period in which the rates of some kinds are multiplied.
type Window struct {
	from    time.Duration
	length  time.Duration
	factors map[string]float64
}

// Kinds returns the kinds of prompts in the workload.
func (w Workload) Kinds() []Kind { return w.kinds }

// WithServers returns the workload with another number of engines.
func (w Workload) WithServers(servers int) Workload {
	w.servers = servers
	return w
}

// WithSlowdowns returns the workload with engines of which the first ones are slower than
// their profile by the given factors.
func (w Workload) WithSlowdowns(factors ...float64) Workload {
	w.slowdowns = factors
	return w
}

// WithRate returns the workload with all rates multiplied by a factor.
func (w Workload) WithRate(factor float64) Workload {
	kinds := slices.Clone(w.kinds)
	for i := range kinds {
		kinds[i].perSecond *= factor
	}
	w.kinds = kinds
	return w
}

// WithWindows returns the workload with other windows.
func (w Workload) WithWindows(windows ...Window) Workload {
	w.windows = windows
	return w
}

// NewWindow returns a window in which the rate of a kind is multiplied by a factor.
func NewWindow(from, length time.Duration, kind string, factor float64) Window {
	return Window{from: from, length: length, factors: map[string]float64{kind: factor}}
}

// WithOnly returns the workload with only the prompts of the named kinds.
func (w Workload) WithOnly(names ...string) Workload {
	var kinds []Kind
	for _, k := range w.kinds {
		if slices.Contains(names, k.name) {
			kinds = append(kinds, k)
		}
	}
	w.kinds = kinds
	return w
}

// Name returns the kind's name.
func (k Kind) Name() string { return k.name }

// Objective returns the objective for the time to the first event.
func (k Kind) Objective() time.Duration { return k.objective }

// callerTimeout returns how long callers wait for an event before they disconnect.
func (k Kind) callerTimeout() time.Duration {
	return routing.CallerTimeout(k.objective, k.maxTokenInterval)
}

// value returns the worth of answering a prompt of the given length on time. It grows
// with the length, up to four times the kind's worth.
func (k Kind) value(prompt int) float64 {
	return k.worth * min(4, 0.3+0.7*float64(prompt)/k.prompt.mean)
}

// draw returns a random length from the distribution.
func (l LengthDistribution) draw(random *rand.Rand) int {
	mu := math.Log(l.mean) - l.spread*l.spread/2
	return int(max(1, min(l.limit, math.Exp(mu+l.spread*random.NormFloat64()))))
}

// factor returns the factor by which the rate of a kind is multiplied at a time.
func (w Workload) factor(kind string, at time.Duration) float64 {
	out := 1.0
	for _, window := range w.windows {
		if factor, ok := window.factors[kind]; ok && at >= window.from && at < window.from+window.length {
			out *= factor
		}
	}
	return out
}

// ParseWorkload parses a workload written in JSON with comments; name identifies the text in errors.
func ParseWorkload(name string, text []byte) (Workload, error) {
	reader := jsonc.NewReader(name, text)
	var w Workload
	root := reader.Root().Object()
	w.length, _ = root.Required("length").Duration(time.Millisecond, maxLength)
	w.entries = positiveInt(root.Required("entries"), maxEntries)
	w.servers = positiveInt(root.Required("servers"), maxServers)
	w.engine = parseEngine(root.Required("engine").Object())
	names := make(map[string]bool)
	kinds := root.Required("kinds")
	if kinds.IsArray() && kinds.Len() == 0 {
		kinds.Report("must hold at least one kind")
	}
	for _, value := range kinds.Array() {
		k := parseKind(value.Object())
		if names[k.name] {
			value.Report("duplicate name %s", jsonc.Quote(k.name))
		}
		names[k.name] = true
		w.kinds = append(w.kinds, k)
	}
	for _, value := range root.Optional("windows").Array() {
		w.windows = append(w.windows, parseWindow(value.Object(), names))
	}
	w.accounts = parseAccounts(root.Optional("accounts"), names)
	if err := reader.Err(); err != nil {
		return Workload{}, eris.Wrap(err, "experiment: invalid load")
	}
	return w, nil
}

// positiveInt returns a value's integer from 1 to limit.
func positiveInt(v jsonc.Value, limit int64) int {
	n, _ := v.Int(1, limit)
	return int(n)
}

func parseEngine(o *jsonc.Object) routing.EngineProfile {
	step, _ := o.Required("step").Duration(0, time.Second)
	sequence, _ := o.Required("step_per_sequence").Duration(0, time.Second)
	context, _ := o.Required("step_per_thousand_context").Duration(0, time.Second)
	pairs, _ := o.Required("read_per_million_pairs").Duration(0, time.Second)
	perSecond := positiveInt(o.Required("read_tokens_per_second"), 1_000_000_000)
	return routing.NewEngineProfile(positiveInt(o.Required("slots"), 10_000), positiveInt(o.Required("memory_tokens"), 1_000_000_000)).
		WithDecode(step, sequence, context, positiveInt(o.Required("stride"), 10_000)).
		WithPrefill(time.Second/time.Duration(max(1, perSecond)), pairs, positiveInt(o.Required("chunk_tokens"), maxTokens)).
		WithMeanAnswer(positiveInt(o.Required("usual_answer_tokens"), maxTokens))
}

func parseKind(o *jsonc.Object) Kind {
	var k Kind
	k.name, _ = o.Required("name").Text()
	k.perSecond, _ = o.Required("per_second").Number(0, maxRate)
	k.prompt = parseLength(o.Required("prompt_tokens").Object())
	k.answer = parseLength(o.Required("answer_tokens").Object())
	k.tokensPerEvent = positiveInt(o.Required("event_tokens"), maxTokens)
	k.objective, _ = o.Required("objective").Duration(time.Millisecond, time.Hour)
	k.maxTokenInterval, _ = o.Required("pause").Duration(time.Millisecond, time.Hour)
	k.timeout, _ = o.Required("timeout").Duration(time.Millisecond, time.Hour)
	retries, _ := o.Required("retries").Int(0, 100)
	k.retries = int(retries)
	priority, _ := o.Optional("priority").Int(0, maxPriority)
	k.priority = int(priority)
	k.worth, _ = o.Required("worth").Number(0, maxWorth)
	k.lateWorth, _ = o.Required("late_worth").Number(0, maxWorth)
	return k
}

func parseLength(o *jsonc.Object) LengthDistribution {
	var l LengthDistribution
	l.mean, _ = o.Required("mean").Number(1, maxTokens)
	l.spread, _ = o.Required("spread").Number(0, 5)
	l.limit, _ = o.Required("most").Number(1, maxTokens)
	return l
}

func parseWindow(o *jsonc.Object, kinds map[string]bool) Window {
	var w Window
	w.from, _ = o.Required("from").Duration(0, maxLength)
	w.length, _ = o.Required("for").Duration(time.Millisecond, maxLength)
	w.factors = parseFactors(o.Required("factors").Object(), kinds)
	return w
}

// parseFactors parses factors by kind.
func parseFactors(o *jsonc.Object, kinds map[string]bool) map[string]float64 {
	out := make(map[string]float64)
	for _, kind := range o.Keys() {
		value := o.Required(kind)
		if !kinds[kind] {
			value.Report("is not a kind of this load")
		}
		out[kind], _ = value.Number(0, maxFactor)
	}
	return out
}
