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
	// networkDelay is the one-way delay between entries, engines and callers:
	// a region's failure domains are a good millisecond apart.
	networkDelay = 1500 * time.Microsecond
	// eventDelay is the mean time after which a scheduler learns of an event:
	// entries batch events for up to 20 ms.
	eventDelay = 10*time.Millisecond + networkDelay
	// sampleInterval is the interval between two samples of the engines' load.
	sampleInterval = 100 * time.Millisecond
	// hintSpread is the lognormal spread of callers' hints about the lengths of their answers.
	hintSpread = 0.5
	// maxHintFactor bounds a hint, as a multiple of the actual length.
	maxHintFactor = 20
)

// epoch is the time at which an experiment starts.
var epoch = time.Unix(0, 0)

// simulation is the state of a running experiment.
type simulation struct {
	timer.VirtualClock
	workload Workload
	random   *rand.Rand
	// accountRandom draws accounts, so that a workload has the same requests with and without them.
	accountRandom *rand.Rand
	schedulers    []scheduler
	engines       map[string]*engine.Engine
	nextPass      map[string]time.Duration
	requests      map[string]*request
	report        *Report
}

// Run simulates a workload; the same seed yields the same report.
func Run(w Workload, p Policy, seed uint64) *Report {
	sim := &simulation{
		workload: w, random: rand.New(rand.NewPCG(seed, 1)), accountRandom: rand.New(rand.NewPCG(seed, 3)),
		engines: make(map[string]*engine.Engine), nextPass: make(map[string]time.Duration),
		requests: make(map[string]*request), report: newReport(w, p, seed),
	}
	sim.schedulers = newSchedulers(p, w, rand.New(rand.NewPCG(seed, 2)))
	for i := range w.servers {
		sim.engines[serverID(i)] = engine.New(w.engine)
		if i < len(w.slowdowns) {
			sim.engines[serverID(i)].SetSlowdown(w.slowdowns[i])
		}
	}
	longest := time.Duration(0)
	for _, k := range w.kinds {
		longest = max(longest, k.timeout)
		sim.scheduleArrival(k, 0)
	}
	sim.every(dispatch.TickInterval, sim.tick)
	sim.every(sampleInterval, sim.sample)
	sim.VirtualClock.RunUntil(w.length + 2*longest)
	return sim.report
}

func (sim *simulation) time() time.Time { return epoch.Add(sim.Now()) }

func (sim *simulation) every(period time.Duration, run func()) {
	sim.AfterFunc(period, func() {
		run()
		sim.every(period, run)
	})
}

// scheduleArrival schedules a kind's next arrival, and each arrival the one after
// it, as a Poisson process. Windows change the rate, so arrivals are drawn at the
// highest rate and thinned.
func (sim *simulation) scheduleArrival(k Kind, number int) {
	highest := 1.0
	for _, window := range sim.workload.windows {
		highest = max(highest, window.factors[k.name])
	}
	if k.perSecond <= 0 {
		return
	}
	wait := time.Duration(sim.random.ExpFloat64() / (k.perSecond * highest) * float64(time.Second))
	sim.AfterFunc(wait, func() {
		if sim.Now() >= sim.workload.length {
			return
		}
		if sim.random.Float64()*highest < sim.workload.factor(k.name, sim.Now()) {
			sim.startRequest(k, number)
		}
		sim.scheduleArrival(k, number+1)
	})
}

func (sim *simulation) startRequest(k Kind, number int) {
	answer := k.answer.draw(sim.random)
	answerHint := LengthDistribution{mean: float64(answer), spread: hintSpread, limit: float64(answer) * maxHintFactor}
	r := &request{
		simulation: sim, kind: k, prompt: k.prompt.draw(sim.random), answer: answer, answerHint: answerHint.draw(sim.random),
		entry: sim.random.IntN(sim.workload.entries), arrived: sim.Now(), received: sim.Now(), name: fmt.Sprintf("%s-%d", k.name, number),
	}
	r.maxRetries = k.retries
	account, group := sim.workload.drawAccount(sim.accountRandom, k.name)
	r.account = account
	if group.retries >= 0 {
		r.maxRetries = group.retries
	}
	sim.report.add(r)
	r.attempt()
	sim.AfterFunc(k.timeout, func() { r.finish(resultDeadline) })
}

// scheduler returns the scheduler that serves an entry.
func (sim *simulation) scheduler(entry int) scheduler {
	return sim.schedulers[entry%len(sim.schedulers)]
}

// tick lets the schedulers decide on their queued requests.
func (sim *simulation) tick() {
	for _, scheduler := range sim.schedulers {
		sim.deliver(scheduler.Tick(sim.time()))
	}
}

// deliver delivers decisions to the requests that wait for them.
func (sim *simulation) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case dispatch.Granted:
			sim.decided(d.Grant().ID(), d)
		case dispatch.Refused:
			sim.decided(d.ID(), d)
		case dispatch.Queued:
		}
	}
}

func (sim *simulation) decided(id string, d dispatch.Decision) {
	if r := sim.requests[id]; r != nil {
		sim.AfterFunc(networkDelay, func() { r.decided(id, d) })
	}
}

// schedulePass schedules the end of an engine's current pass, and so on for as long as it has work.
func (sim *simulation) schedulePass(server string) {
	due, ok := sim.engines[server].Due()
	if !ok || sim.nextPass[server] == due {
		return
	}
	sim.nextPass[server] = due
	sim.AfterFunc(due-sim.Now(), func() {
		for _, event := range sim.engines[server].Advance(sim.Now()) {
			sim.handleEvent(event)
		}
		sim.schedulePass(server)
	})
}

// handleEvent handles an event of an engine's pass.
func (sim *simulation) handleEvent(event engine.Event) {
	switch event := event.(type) {
	case engine.PartPrefilled:
		if r := sim.requests[event.ID()]; r != nil && r.server != "" {
			server, id := r.server, event.ID()
			sim.AfterFunc(networkDelay, func() {
				sim.engines[server].PartCompleted(sim.Now(), id)
				sim.schedulePass(server)
			})
		}
	case engine.Generated:
		if r := sim.requests[event.ID()]; r != nil {
			r.generated(event.ID(), event.Tokens())
		}
	case engine.Completed:
		if r := sim.requests[event.ID()]; r != nil {
			r.finish(resultComplete)
		}
	case engine.Preempted:
		sim.report.preempted++
	}
}

// sample adds a sample to the report.
func (sim *simulation) sample() {
	if sim.Now() > sim.workload.length {
		return
	}
	s := sample{at: sim.Now()}
	for _, scheduler := range sim.schedulers {
		s.waiting += scheduler.Waiting()
	}
	for i := range sim.workload.servers {
		load := sim.engines[serverID(i)].Load()
		s.memory += load.Memory()
		s.decodingRequests += load.Decoding()
		if load.Decoding() > 0 {
			s.decodingEngines++
		}
		if load.Backlog() > 0 {
			s.prefillingEngines++
		}
		s.backlog += load.Backlog()
	}
	sim.report.samples = append(sim.report.samples, s)
}
