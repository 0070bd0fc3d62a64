package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/engine"
	"greengagedock.example/timer"
)

const (
	// hop is the time from an entry to another, to an engine or to a caller: a
	// region's failure domains are a good millisecond apart.
	hop = 1500 * time.Microsecond
	// tellTime is the time after which a placer hears of an event: entries
	// gather them for 20 ms.
	tellTime = 10*time.Millisecond + hop
	// sampleInterval is the time between two samples of the engines.
	sampleInterval = 100 * time.Millisecond
	// hintSpread is the spread of callers' hints of their answers' lengths.
	hintSpread = 0.5
	// hintMost is the most of them, in times the answer.
	hintMost = 20
)

// epoch is the time at which an experiment begins.
var epoch = time.Unix(0, 0)

// world is one experiment under way.
type world struct {
	timer.VirtualClock
	load     Workload
	random   *rand.Rand
	placers  []placer
	engines  map[string]*engine.Engine
	armed    map[string]time.Duration
	requests map[string]*request
	report   *Report
}

// Run plays a load; the same seed gives the same report.
func Run(l Workload, p Policy, seed uint64) *Report {
	w := &world{
		load: l, random: rand.New(rand.NewPCG(seed, 1)),
		engines: make(map[string]*engine.Engine), armed: make(map[string]time.Duration),
		requests: make(map[string]*request), report: newReport(l, p, seed),
	}
	w.placers = newPlacers(p, l, rand.New(rand.NewPCG(seed, 2)))
	for i := range l.servers {
		w.engines[serverID(i)] = engine.New(l.engine)
	}
	longest := time.Duration(0)
	for _, k := range l.kinds {
		longest = max(longest, k.timeout)
		w.arrive(k, 0)
	}
	w.every(dispatch.TickInterval, w.tick)
	w.every(sampleInterval, w.sample)
	w.VirtualClock.RunUntil(l.length + 2*longest)
	return w.report
}

func (w *world) time() time.Time { return epoch.Add(w.Now()) }

func (w *world) every(period time.Duration, run func()) {
	w.AfterFunc(period, func() {
		run()
		w.every(period, run)
	})
}

// arrive has prompts of a kind come, each with a drawn time to the next. Rates
// change by windows, so the times are drawn for the highest rate and thinned.
func (w *world) arrive(k Kind, number int) {
	highest := 1.0
	for _, window := range w.load.windows {
		highest = max(highest, window.factors[k.name])
	}
	if k.perSecond <= 0 {
		return
	}
	wait := time.Duration(w.random.ExpFloat64() / (k.perSecond * highest) * float64(time.Second))
	w.AfterFunc(wait, func() {
		if w.Now() >= w.load.length {
			return
		}
		if w.random.Float64()*highest < w.load.factor(k.name, w.Now()) {
			w.begin(k, number)
		}
		w.arrive(k, number+1)
	})
}

func (w *world) begin(k Kind, number int) {
	answer := k.answer.draw(w.random)
	hint := LengthDistribution{mean: float64(answer), spread: hintSpread, most: float64(answer) * hintMost}
	r := &request{
		world: w, kind: k, prompt: k.prompt.draw(w.random), answer: answer, hint: hint.draw(w.random),
		entry: w.random.IntN(w.load.entries), arrived: w.Now(), name: fmt.Sprintf("%s-%d", k.name, number),
	}
	w.report.began(r)
	r.send()
	w.AfterFunc(k.timeout, func() { r.end(resultDeadline) })
}

// placer returns the placer of an entry.
func (w *world) placer(entry int) placer { return w.placers[entry%len(w.placers)] }

// tick looks at what waits.
func (w *world) tick() {
	for _, p := range w.placers {
		w.take(p.Tick(w.time()))
	}
}

// take hands decisions to the requests that wait for them.
func (w *world) take(decisions []dispatch.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case dispatch.Granted:
			w.decided(d.Grant().ID(), d)
		case dispatch.Refused:
			w.decided(d.ID(), d)
		case dispatch.Queued:
		}
	}
}

func (w *world) decided(id string, d dispatch.Decision) {
	if r := w.requests[id]; r != nil {
		w.AfterFunc(hop, func() { r.decided(id, d) })
	}
}

// arm plays an engine's passes for as long as it has work.
func (w *world) arm(server string) {
	due, ok := w.engines[server].Due()
	if !ok || w.armed[server] == due {
		return
	}
	w.armed[server] = due
	w.AfterFunc(due-w.Now(), func() {
		for _, event := range w.engines[server].Advance(w.Now()) {
			w.played(event)
		}
		w.arm(server)
	})
}

// played takes what came of a pass.
func (w *world) played(event engine.Event) {
	switch event := event.(type) {
	case engine.PartPrefilled:
		if r := w.requests[event.ID()]; r != nil && r.server != "" {
			server, id := r.server, event.ID()
			w.AfterFunc(hop, func() {
				w.engines[server].PartCompleted(w.Now(), id)
				w.arm(server)
			})
		}
	case engine.Generated:
		if r := w.requests[event.ID()]; r != nil {
			r.wrote(event.ID(), event.Tokens())
		}
	case engine.Completed:
		if r := w.requests[event.ID()]; r != nil {
			r.end(resultWhole)
		}
	case engine.Preempted:
		w.report.preempted++
	}
}

// sample notes what the engines and the books have.
func (w *world) sample() {
	if w.Now() > w.load.length {
		return
	}
	s := sample{at: w.Now()}
	for _, p := range w.placers {
		s.waiting += p.Waiting()
	}
	for i := range w.load.servers {
		load := w.engines[serverID(i)].Load()
		s.memory += load.Memory()
		s.writing += load.Decoding()
		if load.Decoding() > 0 {
			s.writers++
		}
		if load.Backlog() > 0 {
			s.reading++
		}
		s.backlog += load.Backlog()
	}
	w.report.samples = append(w.report.samples, s)
}
