package standin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"
)

// errAborted is returned when the server was killed or restarted before it could respond.
var errAborted = errors.New("standin: connection aborted")

// Load is a number of concurrent requests and the KV memory that they use, in tokens.
type Load struct {
	requests int
	tokens   int
}

// NewLoad returns a load; in a limit, 0 means no limit.
func NewLoad(requests, tokens int) Load { return Load{requests: requests, tokens: tokens} }

// Requests returns the number of concurrent requests.
func (l Load) Requests() int { return l.requests }

// Tokens returns the KV memory in use, in tokens.
func (l Load) Tokens() int { return l.tokens }

func (l Load) add(m Load) Load { return Load{l.requests + m.requests, l.tokens + m.tokens} }

func (l Load) sub(m Load) Load { return Load{l.requests - m.requests, l.tokens - m.tokens} }

func (l Load) peak(m Load) Load { return Load{max(l.requests, m.requests), max(l.tokens, m.tokens)} }

func (l Load) within(limit Load) bool {
	return (limit.requests == 0 || l.requests <= limit.requests) &&
		(limit.tokens == 0 || l.tokens <= limit.tokens)
}

// process is the part that simulated engines and plain services share: the
// incarnation, its load, its limits and the injected faults.
type process struct {
	options
	id        string
	onRestart func() // called with mu held

	mu           sync.Mutex
	incarnation  string
	ended        chan struct{} // closed when the incarnation ends
	draining     bool
	killed       bool
	downUntil    time.Time
	thaw         chan struct{} // closed when the process resumes; nil unless frozen
	slowdown     float64
	misdelivered countedFault
	truncated    countedFault
	truncateAt   int
	delayed      countedFault
	delay        time.Duration
	load         Load
	completed    int // requests completed by this incarnation
	stats        statsBody
}

// countedFault is a fault that affects the next responses, a number of them or all.
type countedFault struct {
	always bool
	left   int
}

func newCountedFault(times int) countedFault { return countedFault{always: times == 0, left: times} }

// consume reports whether the fault affects the next response.
func (f *countedFault) consume() bool {
	if f.left > 0 {
		f.left--
		return true
	}
	return f.always
}

func (p *process) init(id string, opts []Option) {
	p.id = id
	p.options = defaultOptions()
	for _, opt := range opts {
		opt(&p.options)
	}
	p.incarnation = newIncarnation()
	p.ended = make(chan struct{})
	p.slowdown = 1
	p.stats.Runs = make(map[string]int)
	p.stats.BodyRuns = make(map[string]int)
}

func newIncarnation() string {
	var b [4]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Incarnation returns the random ID of the current incarnation.
func (p *process) Incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// inject applies a fault; p.mu is held.
func (p *process) inject(fault Fault) {
	switch f := fault.(type) {
	case cleared:
		p.unfreeze()
		p.killed, p.draining, p.slowdown, p.downUntil = false, false, 1, time.Time{}
		p.misdelivered, p.truncated, p.delayed = countedFault{}, countedFault{}, countedFault{}
	case frozen:
		if p.thaw == nil {
			p.thaw = make(chan struct{})
		}
	case killed, down:
		p.restart(0)
		p.killed = true
		if p.onKill != nil {
			p.onKill()
		}
	case restarted:
		p.restart(0)
	case draining:
		p.draining = true
	case slow:
		p.slowdown = f.factor
	case misdelivered:
		p.misdelivered = newCountedFault(f.times)
	case truncated:
		p.truncated, p.truncateAt = newCountedFault(f.times), f.tokens
	case delayed:
		p.delayed, p.delay = newCountedFault(f.times), f.delay
	}
}

func (p *process) unfreeze() {
	if p.thaw != nil {
		close(p.thaw)
		p.thaw = nil
	}
}

// restart ends the incarnation and all its requests; p.mu is held.
func (p *process) restart(downFor time.Duration) {
	p.unfreeze()
	close(p.ended)
	p.ended = make(chan struct{})
	p.incarnation = newIncarnation()
	p.load = Load{}
	p.completed = 0
	p.downUntil = time.Now().Add(downFor)
	p.onRestart()
}

// waitWhileFrozen blocks while the process is frozen. It returns errAborted if the
// process is down, killed or restarted.
func (p *process) waitWhileFrozen(ctx context.Context) error {
	for {
		p.mu.Lock()
		isDown, thaw, ended := p.killed || time.Now().Before(p.downUntil), p.thaw, p.ended
		p.mu.Unlock()
		if isDown {
			return errAborted
		}
		if thaw == nil {
			return nil
		}
		select {
		case <-thaw:
		case <-ended:
			return errAborted
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *process) isCold() bool { return p.completed < p.warmAfter }

// acquire adds to the load of the process or refuses the addition. A cold process
// crashes when it exceeds its cold limit. p.mu is held.
func (p *process) acquire(l Load) error {
	sum := p.load.add(l)
	if p.isCold() {
		p.stats.coldPeak = p.stats.coldPeak.peak(sum)
		if !sum.within(p.coldLimit) {
			p.stats.Overloads++
			p.restart(p.scaled(p.downtime))
			return errAborted
		}
	}
	if !sum.within(p.warmLimit) {
		p.stats.Refused++
		return &refusal{status: http.StatusTooManyRequests, reason: "full"}
	}
	p.load = sum
	if !p.isCold() {
		p.stats.warmPeak = p.stats.warmPeak.peak(sum)
	}
	return nil
}

// checkRequest refuses a request for another incarnation, and all requests while draining; p.mu is held.
func (p *process) checkRequest(r *http.Request) error {
	if want := r.Header.Get("X-Incarnation"); want != "" && want != p.incarnation {
		return &refusal{status: http.StatusConflict, reason: "incarnation"}
	}
	if p.draining {
		return &refusal{status: http.StatusServiceUnavailable, reason: "leaving"}
	}
	return nil
}

// refusal is the error of a request that is refused before any work is done.
type refusal struct {
	status int
	reason string
}

// Error implements the error interface.
func (r *refusal) Error() string { return "standin: refused: " + r.reason }

// fail responds to a refusal with its status and aborts the connection for any other error.
func fail(w http.ResponseWriter, err error) {
	var refused *refusal
	if !errors.As(err, &refused) {
		panic(http.ErrAbortHandler)
	}
	switch refused.status {
	case http.StatusTooManyRequests:
		w.Header().Set("Retry-After", "1")
	case http.StatusServiceUnavailable:
		w.Header().Set("X-State", "leaving")
	}
	writeError(w, refused.status, refused.reason)
}

func (p *process) stateName() string {
	if p.draining {
		return "leaving"
	}
	return "live"
}

// headerDeadline returns start plus the duration in a header, or zero if the header is missing.
func headerDeadline(r *http.Request, name string, start time.Time) (time.Time, error) {
	text := r.Header.Get(name)
	if text == "" {
		return time.Time{}, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return time.Time{}, &refusal{status: http.StatusBadRequest, reason: name}
	}
	return start.Add(d), nil
}

func expired(deadline, now time.Time) bool { return !deadline.IsZero() && now.After(deadline) }

// sleep sleeps for d and reports whether ctx let it sleep to the end.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func decodeBody(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		writeError(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}
