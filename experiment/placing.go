package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
)

// Policy is who decides where prompts go: Shared, Alone or Blind.
type Policy interface {
	policy()
	// String returns the name by which ParsePlacing knows it.
	String() string
}

// Shared has one book for all entries, as while they agree on who places.
type Shared struct{}

// PerEntry has a book for each entry, which knows its own requests only.
type PerEntry struct{}

// Random draws an engine for each prompt, without helpers or waiting: the even
// sharing that other ways are measured against.
type Random struct{}

func (Shared) policy()   {}
func (PerEntry) policy() {}
func (Random) policy()   {}

func (Shared) String() string   { return "shared" }
func (PerEntry) String() string { return "alone" }
func (Random) String() string   { return "blind" }

// ParsePolicy returns the placing of a name, and false if there is none.
func ParsePolicy(name string) (Policy, bool) {
	for _, p := range []Policy{Shared{}, PerEntry{}, Random{}} {
		if p.String() == name {
			return p, true
		}
	}
	return nil, false
}

// placer answers wants, as a book does.
type placer interface {
	Submit(now time.Time, owner dispatch.Owner, want dispatch.Request) dispatch.Decision
	Tick(now time.Time) []dispatch.Decision
	Started(now time.Time, id string)
	Ended(now time.Time, id string, outcome dispatch.Outcome)
	Withdraw(id string)
	Waiting() int
}

var _ placer = (*dispatch.Scheduler)(nil)

// newPlacers returns the placers, which the entries share evenly.
func newPlacers(p Policy, l Workload, random *rand.Rand) []placer {
	switch p.(type) {
	case PerEntry:
		var out []placer
		for i := range l.entries {
			out = append(out, newBook(fmt.Sprint("entry-", i), l))
		}
		return out
	case Random:
		return []placer{&blindPlacer{servers: l.servers, random: random}}
	default:
		return []placer{newBook("entry-0", l)}
	}
}

// service is the one service of an experiment.
const service = "engines"

// newBook returns an entry's book of the load's engines.
func newBook(entry string, l Workload) *dispatch.Scheduler {
	table := routing.NewTable(1, nil, []routing.Service{routing.NewService(service).WithEngine(l.engine)}, nil, routing.Limits{})
	servers := make(map[string]routing.Server)
	for i := range l.servers {
		id := serverID(i)
		servers[id] = routing.NewServer(id, service, id, "domain", l.engine.Slots())
	}
	book := dispatch.NewScheduler(entry)
	book.SetView(epoch, routing.NewView(1, table, servers, nil))
	return book
}

// blindPlacer draws engines.
type blindPlacer struct {
	servers int
	random  *rand.Rand
}

// Submit grants the want a drawn engine.
func (b *blindPlacer) Submit(_ time.Time, _ dispatch.Owner, want dispatch.Request) dispatch.Decision {
	id := serverID(b.random.IntN(b.servers))
	return dispatch.NewGranted(dispatch.NewGrant(want.ID(), id, id, nil, 0))
}

// Tick decides nothing, since no want waits.
func (b *blindPlacer) Tick(time.Time) []dispatch.Decision { return nil }

// Started takes no notice.
func (b *blindPlacer) Started(time.Time, string) {}

// Withdraw takes no notice.
func (b *blindPlacer) Withdraw(string) {}

// Waiting returns 0.
func (b *blindPlacer) Waiting() int { return 0 }

// Ended takes no notice.
func (b *blindPlacer) Ended(time.Time, string, dispatch.Outcome) {}

func serverID(i int) string { return fmt.Sprintf("server-%04d", i) }
