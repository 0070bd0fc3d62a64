package backend

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"greengagedock.example/timer"
)

// Size and network of the experiment's fleet.
const (
	fleetEntries  = 8
	callerHop     = time.Millisecond
	reportPeriod  = 250 * time.Millisecond
	keeperLag     = 250 * time.Millisecond
	baselineLag   = 500 * time.Millisecond
	summaryPeriod = 100 * time.Millisecond
	tickPeriod    = 50 * time.Millisecond
	maxRequests   = 4
	accounts      = 10
	largeAccounts = 3
	// fullRate is the load of 1.0x in requests per second and engine, which
	// keeps engines nine tenths busy.
	fullRate = 34.0 / 24
)

// Flags of a run.
var (
	experimentSeed = flag.Uint64("experiment.seed", 7, "seed of the experiment's traffic")
	fleetEngines   = flag.Int("experiment.engines", 24, "number of engines")
	fleetHop       = flag.Duration("experiment.hop", 1500*time.Microsecond, "time between failure domains one way")
)

// sender sends jobs to engines.
type sender interface{ send(j *job) }

// fleet is one run of the experiment.
type fleet struct {
	timer.VirtualClock
	seed      uint64
	random    *rand.Rand
	engines   []*fakeEngine
	jobs      []*job
	from      time.Duration
	until     time.Duration
	tokens    int
	overloads int
}

// fleetCapacity is the capacity of each engine of the fleet.
var fleetCapacity = NewCapacity(NewLoad(4, 100_000), NewLoad(32, engineMemory), 8)

func newFleet(seed uint64, priority bool, from, until time.Duration) *fleet {
	f := &fleet{seed: seed, random: rand.New(rand.NewPCG(seed, 1)), from: from, until: until}
	for i := range *fleetEngines {
		e := &fakeEngine{clock: &f.VirtualClock, id: fmt.Sprintf("engine-%02d", i), priority: priority}
		f.engines = append(f.engines, e)
	}
	f.every(reportPeriod/2, func() {
		for _, e := range f.engines {
			e.record()
		}
	})
	return f
}

func (f *fleet) inWindow() bool { return f.Now() >= f.from && f.Now() < f.until }

func (f *fleet) every(period time.Duration, run func()) {
	run()
	f.AfterFunc(period, func() { f.every(period, run) })
}

// traffic generates jobs at a multiple of the full rate. longest bounds their
// prompts without changing when the others arrive.
func (f *fleet) traffic(load float64, longest int, to sender) {
	random := rand.New(rand.NewPCG(f.seed, 2))
	at := 0.0
	for i := 0; at < f.until.Seconds(); i++ {
		at += random.ExpFloat64() / (fullRate * float64(*fleetEngines) * load)
		j := newJob(random, i, time.Duration(at*float64(time.Second)))
		if j.cost.prompt > longest {
			continue
		}
		f.jobs = append(f.jobs, j)
		f.AfterFunc(j.arrived-f.Now(), func() { to.send(j) })
	}
}

// newJob draws a request: six in ten are short, one in fifty has over 100,000 tokens.
func newJob(random *rand.Rand, i int, at time.Duration) *job {
	spans := [...]struct{ upTo, shortest, longest float64 }{
		{0.60, 1_000, 4_000}, {0.90, 4_000, 32_000}, {0.98, 32_000, 100_000}, {1, 100_000, 1_000_000},
	}
	draw, prompt := random.Float64(), 0.0
	length := random.Float64()
	for _, s := range spans {
		if draw < s.upTo {
			prompt = s.shortest * math.Pow(s.longest/s.shortest, length)
			break
		}
	}
	longest := 128 << random.IntN(3)
	answer := max(int(float64(longest)*(0.3+0.7*random.Float64())), 1)
	account := fmt.Sprintf("account-%d", random.IntN(accounts))
	if random.IntN(4) > 0 {
		account = fmt.Sprintf("account-%d", random.IntN(largeAccounts))
	}
	j := &job{id: fmt.Sprintf("j%06d", i), account: account, cost: NewCost(int(prompt), longest), answer: answer, arrived: at}
	j.deadline = at + jobTime(j.cost)
	return j
}

// large reports whether the job's account is one of the few with most of the
// requests.
func (j *job) large() bool { return j.account < fmt.Sprintf("account-%d", largeAccounts) }

// jobTime returns the time from a request's arrival to its deadline.
func jobTime(cost Cost) time.Duration {
	switch cost.Class() {
	case ClassShort:
		return 15 * time.Second
	case ClassMedium:
		return 30 * time.Second
	default:
		return 60*time.Second + time.Duration(cost.prompt)*200*time.Microsecond
	}
}

// launch sends a job to an engine; ended is called once, when the job's entry
// learns the outcome.
func (f *fleet) launch(j *job, e *fakeEngine, ended func(outcome Outcome)) {
	done := false
	end := func(outcome Outcome) {
		if done {
			return
		}
		done = true
		f.end(j, outcome)
		ended(outcome)
	}
	j.onFirstToken = func() { f.AfterFunc(*fleetHop+callerHop, func() { j.firstToken = f.Now() }) }
	j.onFinish = func() { f.AfterFunc(*fleetHop, func() { end(OutcomeFinished) }) }
	f.AfterFunc(*fleetHop, func() {
		e.submit(j)
		if !e.load().Within(fleetCapacity.warm) {
			f.overloads++
		}
	})
	f.AfterFunc(max(j.deadline-f.Now(), 0), func() {
		if !done {
			e.remove(j)
			end(OutcomeCancelled)
		}
	})
}

func (f *fleet) end(j *job, outcome Outcome) {
	j.outcome, j.ended = outcome, f.Now()
	if outcome == OutcomeFinished && f.inWindow() {
		f.tokens += j.tokens()
	}
}

// baseline works without keepers: each entry chooses the better of two random
// engines by their delayed reports.
type baseline struct{ *fleet }

func (b baseline) send(j *job) {
	if j.cost.Tokens() > engineMemory {
		j.refusal = ReasonTooLarge
		return
	}
	one, two := b.engines[b.random.IntN(*fleetEngines)], b.engines[b.random.IntN(*fleetEngines)]
	if two.reportFrom(baselineLag).load < one.reportFrom(baselineLag).load {
		one = two
	}
	b.AfterFunc(callerHop, func() { b.launch(j, one, func(Outcome) {}) })
}

// keeperSender requests slots from the keepers of the engines.
type keeperSender struct {
	*fleet
	allocators []*Allocator
	summaries  [][]Summary
	pending    map[string]func(d Decision)
}

func newKeeperSender(f *fleet) *keeperSender {
	k := &keeperSender{fleet: f, summaries: make([][]Summary, fleetEntries), pending: map[string]func(Decision){}}
	for i := range fleetEntries {
		k.allocators = append(k.allocators, NewAllocator(fmt.Sprintf("entry-%d", i)))
	}
	for i, e := range f.engines {
		allocator := k.allocators[i%fleetEntries]
		allocator.AddServer(k.at(), testServer(e.id, fleetCapacity))
		allocator.SetKeeperLease(e.id, KeeperLeaseFull)
	}
	f.every(reportPeriod, k.report)
	f.every(tickPeriod, func() {
		for _, allocator := range k.allocators {
			k.deliver(allocator.Tick(k.at()))
		}
	})
	f.every(summaryPeriod, func() {
		for i, allocator := range k.allocators {
			summary := allocator.Summaries(k.at())
			f.AfterFunc(*fleetHop, func() { k.summaries[i] = summary })
		}
	})
	return k
}

func (k *keeperSender) at() time.Time { return testStart.Add(k.Now()) }

func (k *keeperSender) report() {
	for i, e := range k.engines {
		r := e.reportFrom(keeperLag)
		k.deliver(k.allocators[i%fleetEntries].Report(k.at(), r.state.WithHeld(k.Now()-r.at, r.state.held...)))
	}
}

// deliver delivers decisions to the entries that asked.
func (k *keeperSender) deliver(decisions []Decision) {
	for _, d := range decisions {
		id := ""
		switch d := d.(type) {
		case Granted:
			id = d.slot.id
		case Denied:
			id = d.attemptID
		case Queued, Orphan:
			continue
		}
		if reply := k.pending[id]; reply != nil {
			delete(k.pending, id)
			k.AfterFunc(*fleetHop, func() { reply(d) })
		}
	}
}

func (k *keeperSender) send(j *job) { k.AfterFunc(callerHop, func() { k.request(j, k.rank(j), 0) }) }

// rank orders the keepers, the better of two random ones first: by their
// expected wait for the job, then by free memory.
func (k *keeperSender) rank(j *job) []int {
	order := k.random.Perm(fleetEntries)
	class := j.cost.Class()
	key := func(i int) (time.Duration, float64) {
		if len(k.summaries[i]) == 0 {
			return time.Hour, 0
		}
		s := k.summaries[i][0]
		if s.largestFree.tokens < j.cost.Tokens() {
			return s.ExpectedWait(class) + time.Second, 0
		}
		return s.ExpectedWait(class), -float64(s.free.tokens)
	}
	better := func(a, b int) bool {
		waitA, freeA := key(a)
		waitB, freeB := key(b)
		return waitA < waitB || waitA == waitB && freeA < freeB
	}
	first := slices.Clone(order[:2])
	if better(first[1], first[0]) {
		first[0], first[1] = first[1], first[0]
	}
	return append(first, order[2:]...)
}

func (k *keeperSender) request(j *job, order []int, try int) {
	keeper := order[try]
	allocator := k.allocators[keeper]
	request := NewSlotRequest(j.id, testOwner, j.account, testWorkload, j.cost, testStart.Add(j.deadline))
	k.pending[j.id] = func(d Decision) {
		switch d := d.(type) {
		case Granted:
			k.start(j, allocator, d.slot)
		case Denied:
			j.refusal = d.refusal.reason
			if d.refusal.reason == ReasonBusy && try+1 < maxRequests {
				k.request(j, order, try+1)
			}
		}
	}
	k.AfterFunc(*fleetHop, func() { k.deliver(allocator.Request(k.at(), request)) })
}

func (k *keeperSender) start(j *job, allocator *Allocator, slot Slot) {
	j.refusal = ""
	e := k.engines[slices.IndexFunc(k.engines, func(e *fakeEngine) bool { return e.id == slot.server })]
	k.launch(j, e, func(outcome Outcome) {
		k.AfterFunc(*fleetHop, func() { k.deliver(allocator.Release(k.at(), slot.owner, slot.server, slot.id, outcome)) })
	})
}
