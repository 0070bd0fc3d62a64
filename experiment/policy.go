package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
)

// Policy states which scheduler decides where prompts go: Shared, PerEntry, Unshared, FIFO or Random.
type Policy interface {
	policy()
	// String returns the name that ParsePolicy accepts.
	String() string
}

// Shared uses one scheduler for all entries, as in a fleet whose entries agree on
// the one that schedules.
type Shared struct{}

// PerEntry uses a scheduler for each entry, which knows only that entry's requests.
type PerEntry struct{}

// Unshared uses one scheduler for all entries that does not know the accounts of requests.
type Unshared struct{}

// Random assigns each prompt to a random engine, without prefill workers or
// queueing. It is the baseline that the other policies are compared with.
type Random struct{}

func (Shared) policy()   {}
func (PerEntry) policy() {}
func (Unshared) policy() {}
func (Random) policy()   {}

func (Shared) String() string   { return "shared" }
func (PerEntry) String() string { return "alone" }
func (Unshared) String() string { return "unshared" }
func (FIFO) String() string     { return "fifo" }
func (Random) String() string   { return "blind" }

// ParsePolicy returns the policy with the given name, and false if there is none.
func ParsePolicy(name string) (Policy, bool) {
	for _, p := range []Policy{Shared{}, PerEntry{}, Unshared{}, FIFO{}, Random{}} {
		if p.String() == name {
			return p, true
		}
	}
	return nil, false
}

// scheduler is implemented by dispatch.Scheduler and by randomScheduler.
type scheduler interface {
	Submit(now time.Time, owner dispatch.Owner, req dispatch.Request) dispatch.Decision
	Tick(now time.Time) []dispatch.Decision
	Undelivered() []dispatch.Decision
	Started(now time.Time, id string)
	Ended(now time.Time, id string, outcome dispatch.Outcome)
	Withdraw(id string)
	Waiting() int
	ObserveLoad(now time.Time, service string, load dispatch.ObservedLoad)
}

var _ scheduler = (*dispatch.Scheduler)(nil)

// newSchedulers returns the schedulers of a policy; each serves an equal number of entries.
func newSchedulers(p Policy, w Workload, random *rand.Rand) []scheduler {
	switch p.(type) {
	case PerEntry:
		var out []scheduler
		for i := range w.entries {
			out = append(out, newScheduler(fmt.Sprint("entry-", i), w))
		}
		return out
	case Unshared:
		return []scheduler{unsharedScheduler{newScheduler("entry-0", w)}}
	case FIFO:
		return []scheduler{newFIFOScheduler(w)}
	case Random:
		return []scheduler{&randomScheduler{servers: w.servers, random: random}}
	default:
		return []scheduler{newScheduler("entry-0", w)}
	}
}

// service is the name of the only service in an experiment.
const service = "engines"

// newScheduler returns an entry's scheduler for the workload's engines.
func newScheduler(entry string, w Workload) *dispatch.Scheduler {
	table := routing.NewTable(1, nil, []routing.Service{routing.NewService(service).WithEngine(w.engine)}, nil, routing.Limits{})
	servers := make(map[string]routing.Server)
	for i := range w.servers {
		id := serverID(i)
		servers[id] = routing.NewServer(id, service, id, "domain", w.engine.Slots())
	}
	s := dispatch.NewScheduler(entry)
	s.SetView(epoch, routing.NewView(routing.NewRevision(0, 1), table, servers, nil))
	return s
}

// unsharedScheduler implements the policy Unshared.
type unsharedScheduler struct {
	*dispatch.Scheduler
}

// Submit submits a request without its account.
func (s unsharedScheduler) Submit(now time.Time, owner dispatch.Owner, req dispatch.Request) dispatch.Decision {
	return s.Scheduler.Submit(now, owner, req.WithAccount(""))
}

// randomScheduler implements the policy Random.
type randomScheduler struct {
	servers int
	random  *rand.Rand
}

// Submit grants the request a random engine.
func (s *randomScheduler) Submit(_ time.Time, _ dispatch.Owner, req dispatch.Request) dispatch.Decision {
	id := serverID(s.random.IntN(s.servers))
	return dispatch.NewGranted(dispatch.NewGrant(req.ID(), id, id, nil, 0))
}

// Tick returns no decisions, since no request is queued.
func (s *randomScheduler) Tick(time.Time) []dispatch.Decision { return nil }

// Undelivered returns no decisions.
func (s *randomScheduler) Undelivered() []dispatch.Decision { return nil }

// Started does nothing.
func (s *randomScheduler) Started(time.Time, string) {}

// ObserveLoad does nothing.
func (s *randomScheduler) ObserveLoad(time.Time, string, dispatch.ObservedLoad) {}

// Withdraw does nothing.
func (s *randomScheduler) Withdraw(string) {}

// Waiting returns 0, since no request is queued.
func (s *randomScheduler) Waiting() int { return 0 }

// Ended does nothing.
func (s *randomScheduler) Ended(time.Time, string, dispatch.Outcome) {}

func serverID(i int) string { return fmt.Sprintf("server-%04d", i) }
