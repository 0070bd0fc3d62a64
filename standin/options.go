package standin

import "time"

// Option changes one setting of a backend server's stand-in.
type Option func(*options)

type options struct {
	scale         float64
	cold          Load
	warm          Load
	warmAfter     int
	downFor       time.Duration
	lag           time.Duration
	models        []string
	capacity      int
	streams       int
	stepTime      time.Duration
	prefillRate   int
	fences        bool
	ignoresAfter  bool
	ignoresHangup bool
	workTime      time.Duration
	onKill        func()
}

func defaultOptions() options {
	return options{
		scale:       1,
		downFor:     5 * time.Second,
		lag:         250 * time.Millisecond,
		models:      []string{"strip-1"},
		capacity:    400_000,
		streams:     32,
		stepTime:    30 * time.Millisecond,
		prefillRate: 20_000,
		workTime:    20 * time.Millisecond,
	}
}

func (o *options) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) / o.scale) }

// WithTimeScale makes everything that takes time go scale times as fast.
func WithTimeScale(scale float64) Option { return func(o *options) { o.scale = scale } }

// WithColdLimit makes a fresh incarnation fall over above a load until it has given so many whole answers.
func WithColdLimit(bears Load, warmAfter int) Option {
	return func(o *options) { o.cold, o.warmAfter = bears, warmAfter }
}

// WithWarmLimit makes the server refuse what goes above a load.
func WithWarmLimit(bears Load) Option { return func(o *options) { o.warm = bears } }

// WithDowntime sets how long the server is down after it fell over.
func WithDowntime(d time.Duration) Option { return func(o *options) { o.downFor = d } }

// WithReportLag sets how old a load report may be.
func WithReportLag(d time.Duration) Option { return func(o *options) { o.lag = d } }

// WithModels sets the models that an engine carries at its start.
func WithModels(names ...string) Option { return func(o *options) { o.models = names } }

// WithKVTokens sets an engine's KV memory, in tokens.
func WithKVTokens(tokens int) Option { return func(o *options) { o.capacity = tokens } }

// WithBatchSize sets how many streams an engine's batch holds.
func WithBatchSize(n int) Option { return func(o *options) { o.streams = n } }

// WithStepTime sets how long an engine takes for one token of each stream of its batch.
func WithStepTime(d time.Duration) Option { return func(o *options) { o.stepTime = d } }

// WithPrefillRate sets an engine's prompt tokens a second.
func WithPrefillRate(perSecond int) Option { return func(o *options) { o.prefillRate = perSecond } }

// WithFencing makes an engine refuse orders with an old fencing number.
func WithFencing() Option { return func(o *options) { o.fences = true } }

// WithoutNotAfter makes a server ignore X-Not-After.
func WithoutNotAfter() Option { return func(o *options) { o.ignoresAfter = true } }

// WithoutDisconnectDetection makes an engine go on holding the streams of callers that have
// gone, without a token more, until they are cancelled.
func WithoutDisconnectDetection() Option { return func(o *options) { o.ignoresHangup = true } }

// WithWorkTime sets how long a plain service takes for a call.
func WithWorkTime(d time.Duration) Option { return func(o *options) { o.workTime = d } }

// WithKillHook sets what happens, besides the cutting of connections, when the server is killed.
func WithKillHook(f func()) Option { return func(o *options) { o.onKill = f } }
