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

// Bounds of what a load may ask for.
const (
	maxLength  = time.Hour
	maxServers = 10_000
	maxEntries = 10_000
	maxTokens  = 10_000_000
	maxRate    = 100_000.0
	maxFactor  = 1000.0
	maxWorth   = 1e6
)

// Workload is a fleet of engines and the prompts that come to it.
type Workload struct {
	length  time.Duration
	entries int
	servers int
	engine  routing.EngineProfile
	kinds   []Kind
	windows []Window
}

// Kind is a kind of prompt.
type Kind struct {
	name      string
	perSecond float64
	prompt    LengthDistribution
	answer    LengthDistribution
	// event is how many tokens of the answer one event holds.
	event     int
	objective time.Duration
	pause     time.Duration
	timeout   time.Duration
	retries   int
	worth     float64
	lateWorth float64
}

// LengthDistribution is a lognormal distribution of lengths in tokens, cut at the most.
type LengthDistribution struct {
	mean   float64
	spread float64
	most   float64
}

// Window is a span in which the rates of some kinds are multiplied.
type Window struct {
	from    time.Duration
	length  time.Duration
	factors map[string]float64
}

// Kinds returns the kinds of prompts.
func (l Workload) Kinds() []Kind { return l.kinds }

// WithServers returns the load with another number of engines.
func (l Workload) WithServers(servers int) Workload {
	l.servers = servers
	return l
}

// WithRate returns the load with all rates multiplied.
func (l Workload) WithRate(factor float64) Workload {
	kinds := slices.Clone(l.kinds)
	for i := range kinds {
		kinds[i].perSecond *= factor
	}
	l.kinds = kinds
	return l
}

// WithOnly returns the load with prompts of the named kinds only.
func (l Workload) WithOnly(names ...string) Workload {
	var kinds []Kind
	for _, k := range l.kinds {
		if slices.Contains(names, k.name) {
			kinds = append(kinds, k)
		}
	}
	l.kinds = kinds
	return l
}

// Name returns the kind's name.
func (k Kind) Name() string { return k.name }

// Objective returns the time within which the first event is on time.
func (k Kind) Objective() time.Duration { return k.objective }

// bears returns the longest time without an event that callers bear.
func (k Kind) bears() time.Duration { return routing.CallerTimeout(k.objective, k.pause) }

// value returns what a prompt of a length is worth; long ones are worth more.
func (k Kind) value(prompt int) float64 {
	return k.worth * min(4, 0.3+0.7*float64(prompt)/k.prompt.mean)
}

// draw returns a length from the distribution.
func (l LengthDistribution) draw(random *rand.Rand) int {
	mu := math.Log(l.mean) - l.spread*l.spread/2
	return int(max(1, min(l.most, math.Exp(mu+l.spread*random.NormFloat64()))))
}

// factor returns by how much the rate of a kind is multiplied at a time.
func (l Workload) factor(kind string, at time.Duration) float64 {
	out := 1.0
	for _, w := range l.windows {
		if factor, ok := w.factors[kind]; ok && at >= w.from && at < w.from+w.length {
			out *= factor
		}
	}
	return out
}

// ParseWorkload reads a load written in JSON with comments; name is what errors call the text.
func ParseWorkload(name string, text []byte) (Workload, error) {
	reader := jsonc.NewReader(name, text)
	var l Workload
	root := reader.Root().Object()
	l.length, _ = root.Required("length").Duration(time.Millisecond, maxLength)
	l.entries = whole(root.Required("entries"), maxEntries)
	l.servers = whole(root.Required("servers"), maxServers)
	l.engine = parseEngine(root.Required("engine").Object())
	names := make(map[string]bool)
	kinds := root.Required("kinds")
	if kinds.IsArray() && kinds.Len() == 0 {
		kinds.Report("holds no kind")
	}
	for _, value := range kinds.Array() {
		k := parseKind(value.Object())
		if names[k.name] {
			value.Report("names %s again", jsonc.Quote(k.name))
		}
		names[k.name] = true
		l.kinds = append(l.kinds, k)
	}
	for _, value := range root.Optional("windows").Array() {
		l.windows = append(l.windows, parseWindow(value.Object(), names))
	}
	if err := reader.Err(); err != nil {
		return Workload{}, eris.Wrap(err, "experiment: load refused")
	}
	return l, nil
}

// whole returns a value's whole number from 1 to most.
func whole(v jsonc.Value, most int64) int {
	n, _ := v.Int(1, most)
	return int(n)
}

func parseEngine(o *jsonc.Object) routing.EngineProfile {
	step, _ := o.Required("step").Duration(0, time.Second)
	sequence, _ := o.Required("step_per_sequence").Duration(0, time.Second)
	context, _ := o.Required("step_per_thousand_context").Duration(0, time.Second)
	pairs, _ := o.Required("read_per_million_pairs").Duration(0, time.Second)
	perSecond := whole(o.Required("read_tokens_per_second"), 1_000_000_000)
	return routing.NewEngineProfile(whole(o.Required("slots"), 10_000), whole(o.Required("memory_tokens"), 1_000_000_000)).
		WithDecode(step, sequence, context, whole(o.Required("stride"), 10_000)).
		WithPrefill(time.Second/time.Duration(max(1, perSecond)), pairs, whole(o.Required("chunk_tokens"), maxTokens)).
		WithMeanAnswer(whole(o.Required("usual_answer_tokens"), maxTokens))
}

func parseKind(o *jsonc.Object) Kind {
	var k Kind
	k.name, _ = o.Required("name").Text()
	k.perSecond, _ = o.Required("per_second").Number(0, maxRate)
	k.prompt = parseLength(o.Required("prompt_tokens").Object())
	k.answer = parseLength(o.Required("answer_tokens").Object())
	k.event = whole(o.Required("event_tokens"), maxTokens)
	k.objective, _ = o.Required("objective").Duration(time.Millisecond, time.Hour)
	k.pause, _ = o.Required("pause").Duration(time.Millisecond, time.Hour)
	k.timeout, _ = o.Required("timeout").Duration(time.Millisecond, time.Hour)
	retries, _ := o.Required("retries").Int(0, 100)
	k.retries = int(retries)
	k.worth, _ = o.Required("worth").Number(0, maxWorth)
	k.lateWorth, _ = o.Required("late_worth").Number(0, maxWorth)
	return k
}

func parseLength(o *jsonc.Object) LengthDistribution {
	var l LengthDistribution
	l.mean, _ = o.Required("mean").Number(1, maxTokens)
	l.spread, _ = o.Required("spread").Number(0, 5)
	l.most, _ = o.Required("most").Number(1, maxTokens)
	return l
}

func parseWindow(o *jsonc.Object, kinds map[string]bool) Window {
	var w Window
	w.from, _ = o.Required("from").Duration(0, maxLength)
	w.length, _ = o.Required("for").Duration(time.Millisecond, maxLength)
	w.factors = make(map[string]float64)
	factors := o.Required("factors").Object()
	for _, kind := range factors.Keys() {
		value := factors.Required(kind)
		if !kinds[kind] {
			value.Report("is of no kind in this load")
		}
		w.factors[kind], _ = value.Number(0, maxFactor)
	}
	return w
}
