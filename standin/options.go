package standin

import "time"

// Option sets one parameter of a simulated backend server.
type Option func(*options)

type options struct {
	timeScale         float64
	coldLimit         Load
	warmLimit         Load
	warmAfter         int
	downtime          time.Duration
	reportLag         time.Duration
	models            []string
	kvCapacity        int
	batchSize         int
	stepTime          time.Duration
	prefillRate       int
	fencing           bool
	ignoresNotAfter   bool
	ignoresDisconnect bool
	workTime          time.Duration
	onKill            func()
}

func defaultOptions() options {
	return options{
		timeScale:   1,
		downtime:    5 * time.Second,
		reportLag:   250 * time.Millisecond,
		models:      []string{"strip-1"},
		kvCapacity:  400_000,
		batchSize:   32,
		stepTime:    30 * time.Millisecond,
		prefillRate: 20_000,
		workTime:    20 * time.Millisecond,
	}
}

func (o *options) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / o.timeScale)
}

// WithTimeScale speeds up everything that takes time by the factor scale.
func WithTimeScale(scale float64) Option { return func(o *options) { o.timeScale = scale } }

// WithColdLimit makes a new incarnation crash when its load exceeds limit, until it has
// completed warmAfter requests.
func WithColdLimit(limit Load, warmAfter int) Option {
	return func(o *options) { o.coldLimit, o.warmAfter = limit, warmAfter }
}

// WithWarmLimit makes the server refuse requests that would take its load above limit.
func WithWarmLimit(limit Load) Option { return func(o *options) { o.warmLimit = limit } }

// WithDowntime sets how long the server is down after a crash from overload.
func WithDowntime(d time.Duration) Option { return func(o *options) { o.downtime = d } }

// WithReportLag sets the maximum age of an engine's load report.
func WithReportLag(d time.Duration) Option { return func(o *options) { o.reportLag = d } }

// WithModels sets the models that an engine has loaded at its start.
func WithModels(names ...string) Option { return func(o *options) { o.models = names } }

// WithKVTokens sets the capacity of an engine's KV memory, in tokens.
func WithKVTokens(tokens int) Option { return func(o *options) { o.kvCapacity = tokens } }

// WithBatchSize sets the maximum number of streams in an engine's batch.
func WithBatchSize(n int) Option { return func(o *options) { o.batchSize = n } }

// WithStepTime sets how long an engine takes to generate one token for each stream of its batch.
func WithStepTime(d time.Duration) Option { return func(o *options) { o.stepTime = d } }

// WithPrefillRate sets an engine's prefill rate, in prompt tokens per second.
func WithPrefillRate(perSecond int) Option { return func(o *options) { o.prefillRate = perSecond } }

// WithFencing makes an engine refuse commands with an outdated fencing token.
func WithFencing() Option { return func(o *options) { o.fencing = true } }

// WithoutNotAfter makes a server ignore the X-Not-After header.
func WithoutNotAfter() Option { return func(o *options) { o.ignoresNotAfter = true } }

// WithoutDisconnectDetection makes an engine keep the streams of disconnected callers,
// without generating further tokens, until they are cancelled.
func WithoutDisconnectDetection() Option { return func(o *options) { o.ignoresDisconnect = true } }

// WithWorkTime sets how long a plain service takes to run a call.
func WithWorkTime(d time.Duration) Option { return func(o *options) { o.workTime = d } }

// WithKillHook sets a function that is called when the server is killed, in addition to aborting its connections.
func WithKillHook(f func()) Option { return func(o *options) { o.onKill = f } }
