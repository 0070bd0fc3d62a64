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
	maxAsks       = 4
	accounts      = 10
	largeAccounts = 3
	// fullRate is the load of 1.0x in requests a second and engine: engines are nine tenths busy.
	fullRate = 34.0 / 24
)

// What a run may choose.
var (
	experimentSeed = flag.Uint64("experiment.seed", 7, "seed of the experiment's traffic")
	fleetEngines   = flag.Int("experiment.engines", 24, "number of engines")
	fleetHop       = flag.Duration("experiment.hop", 1500*time.Microsecond, "time between failure domains one way")
)

// sender places jobs on engines.
type sender interface{ send(j *job) }

// fleet is one run of the experiment.
type fleet struct {
	timer.VirtualClock
	seed    uint64
	random  *rand.Rand
	engines []*fakeEngine
	jobs    []*job
	from    time.Duration
	until   time.Duration
	tokens  int
	over    int
}

// fleetBearing is what each engine of the fleet bears.
var fleetBearing = NewCapacity(NewLoad(4, 100_000), NewLoad(32, engineMemory), 8)

func newFleet(seed uint64, priority bool, from, until time.Duration) *fleet {
	f := &fleet{seed: seed, random: rand.New(rand.NewPCG(seed, 1)), from: from, until: until}
	for i := range *fleetEngines {
		e := &fakeEngine{loop: &f.VirtualClock, id: fmt.Sprintf("engine-%02d", i), priority: priority}
		f.engines = append(f.engines, e)
	}
	f.every(reportPeriod/2, func() {
		for _, e := range f.engines {
			e.record()
		}
	})
	return f
}

func (f *fleet) measures() bool { return f.Now() >= f.from && f.Now() < f.until }

func (f *fleet) every(period time.Duration, run func()) {
	run()
	f.AfterFunc(period, func() { f.every(period, run) })
}

// traffic lets jobs arrive at a multiple of the full rate; longest bounds
// their prompts without changing when the others arrive.
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
	spans := [...]struct{ part, least, most float64 }{
		{0.60, 1_000, 4_000}, {0.90, 4_000, 32_000}, {0.98, 32_000, 100_000}, {1, 100_000, 1_000_000},
	}
	draw, prompt := random.Float64(), 0.0
	length := random.Float64()
	for _, s := range spans {
		if draw < s.part {
			prompt = s.least * math.Pow(s.most/s.least, length)
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

// large reports whether the job's account is one of the few that ask for most.
func (j *job) large() bool { return j.account < fmt.Sprintf("account-%d", largeAccounts) }

// jobTime returns how long a request may take.
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

// launch sends a job to an engine; ended is called once, when its entry knows the outcome.
func (f *fleet) launch(j *job, e *fakeEngine, ended func(outcome Outcome)) {
	over := false
	end := func(outcome Outcome) {
		if over {
			return
		}
		over = true
		f.end(j, outcome)
		ended(outcome)
	}
	j.ready = func() { f.AfterFunc(*fleetHop+callerHop, func() { j.first = f.Now() }) }
	j.done = func() { f.AfterFunc(*fleetHop, func() { end(OutcomeFinished) }) }
	f.AfterFunc(*fleetHop, func() {
		e.submit(j)
		if !e.load().Within(fleetBearing.warm) {
			f.over++
		}
	})
	f.AfterFunc(max(j.deadline-f.Now(), 0), func() {
		if !over {
			e.remove(j)
			end(OutcomeCancelled)
		}
	})
}

func (f *fleet) end(j *job, outcome Outcome) {
	j.outcome, j.ended = outcome, f.Now()
	if outcome == OutcomeFinished && f.measures() {
		f.tokens += j.spent()
	}
}

// alone is the baseline: each entry picks the better of two engines by reports that lag.
type alone struct{ *fleet }

func (a alone) send(j *job) {
	if j.cost.Tokens() > engineMemory {
		j.refusal = ReasonTooLarge
		return
	}
	one, two := a.engines[a.random.IntN(*fleetEngines)], a.engines[a.random.IntN(*fleetEngines)]
	if two.reported(baselineLag).load < one.reported(baselineLag).load {
		one = two
	}
	a.AfterFunc(callerHop, func() { a.launch(j, one, func(Outcome) {}) })
}

// kept asks the keepers of the engines for slots.
type kept struct {
	*fleet
	ledgers   []*Allocator
	summaries [][]Summary
	pending   map[string]func(d Decision)
}

func newKept(f *fleet) *kept {
	k := &kept{fleet: f, summaries: make([][]Summary, fleetEntries), pending: map[string]func(Decision){}}
	for i := range fleetEntries {
		k.ledgers = append(k.ledgers, NewAllocator(fmt.Sprintf("entry-%d", i)))
	}
	for i, e := range f.engines {
		l := k.ledgers[i%fleetEntries]
		l.AddServer(k.at(), testServer(e.id, fleetBearing))
		l.SetKeeperLease(e.id, KeeperLeaseFull)
	}
	f.every(reportPeriod, k.report)
	f.every(tickPeriod, func() {
		for _, l := range k.ledgers {
			k.take(l.Tick(k.at()))
		}
	})
	f.every(summaryPeriod, func() {
		for i, l := range k.ledgers {
			summary := l.Summaries(k.at())
			f.AfterFunc(*fleetHop, func() { k.summaries[i] = summary })
		}
	})
	return k
}

func (k *kept) at() time.Time { return testStart.Add(k.Now()) }

func (k *kept) report() {
	for i, e := range k.engines {
		r := e.reported(keeperLag)
		k.take(k.ledgers[i%fleetEntries].Report(k.at(), r.state.WithHeld(k.Now()-r.at, r.state.held...)))
	}
}

// take carries decisions to the entries that asked.
func (k *kept) take(decisions []Decision) {
	for _, d := range decisions {
		id := ""
		switch d := d.(type) {
		case Granted:
			id = d.slot.id
		case Denied:
			id = d.want
		case Queued, Orphan:
			continue
		}
		if answer := k.pending[id]; answer != nil {
			delete(k.pending, id)
			k.AfterFunc(*fleetHop, func() { answer(d) })
		}
	}
}

func (k *kept) send(j *job) { k.AfterFunc(callerHop, func() { k.ask(j, k.rank(j), 0) }) }

// rank orders the keepers by their expected wait for the job, then by free memory.
func (k *kept) rank(j *job) []int {
	order := k.random.Perm(fleetEntries)
	class := j.cost.Class()
	key := func(i int) (time.Duration, float64) {
		if len(k.summaries[i]) == 0 {
			return time.Hour, 0
		}
		s := k.summaries[i][0]
		if s.largest.tokens < j.cost.Tokens() {
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

func (k *kept) ask(j *job, order []int, try int) {
	keeper := order[try]
	l := k.ledgers[keeper]
	want := NewSlotRequest(j.id, testOwner, j.account, testWork, j.cost, testStart.Add(j.deadline))
	k.pending[j.id] = func(d Decision) {
		switch d := d.(type) {
		case Granted:
			k.use(j, l, d.slot)
		case Denied:
			j.refusal = d.refusal.reason
			if d.refusal.reason == ReasonBusy && try+1 < maxAsks {
				k.ask(j, order, try+1)
			}
		}
	}
	k.AfterFunc(*fleetHop, func() { k.take(l.Request(k.at(), want)) })
}

func (k *kept) use(j *job, l *Allocator, slot Slot) {
	j.refusal = ""
	e := k.engines[slices.IndexFunc(k.engines, func(e *fakeEngine) bool { return e.id == slot.server })]
	k.launch(j, e, func(outcome Outcome) {
		k.AfterFunc(*fleetHop, func() { k.take(l.Release(k.at(), slot.owner, slot.server, slot.id, outcome)) })
	})
}
