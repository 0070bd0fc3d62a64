package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
)

// Placing is who decides where prompts go: Shared, Alone or Blind.
type Placing interface {
	placing()
	// String returns the name by which ParsePlacing knows it.
	String() string
}

// Shared has one book for all entries, as while they agree on who places.
type Shared struct{}

// Alone has a book for each entry, which knows its own requests only.
type Alone struct{}

// Blind draws an engine for each prompt, without helpers or waiting: the even
// sharing that other ways are measured against.
type Blind struct{}

func (Shared) placing() {}
func (Alone) placing()  {}
func (Blind) placing()  {}

func (Shared) String() string { return "shared" }
func (Alone) String() string  { return "alone" }
func (Blind) String() string  { return "blind" }

// ParsePlacing returns the placing of a name, and false if there is none.
func ParsePlacing(name string) (Placing, bool) {
	for _, p := range []Placing{Shared{}, Alone{}, Blind{}} {
		if p.String() == name {
			return p, true
		}
	}
	return nil, false
}

// placer answers wants; each entry asks the one of its number.
type placer interface {
	ask(now time.Time, owner dispatch.Owner, want dispatch.Want) dispatch.Decision
	tick(now time.Time) []dispatch.Decision
	started(now time.Time, id string)
	ended(now time.Time, id string, outcome dispatch.Outcome)
	withdraw(id string)
	waiting() int
}

// newPlacers returns a placer for each entry; some may be the same.
func newPlacers(p Placing, l Load, random *rand.Rand) []placer {
	out := make([]placer, l.entries)
	switch p.(type) {
	case Alone:
		for i := range out {
			out[i] = newBookPlacer(fmt.Sprint("entry-", i), l)
		}
	case Blind:
		blind := &blindPlacer{servers: l.servers, random: random}
		for i := range out {
			out[i] = blind
		}
	default:
		shared := newBookPlacer("entry-0", l)
		for i := range out {
			out[i] = shared
		}
	}
	return out
}

// service is the one service of an experiment.
const service = "engines"

// bookPlacer places by the book that entries run.
type bookPlacer struct{ book *dispatch.Book }

func newBookPlacer(entry string, l Load) *bookPlacer {
	table := routing.NewTable(1, nil, []routing.Service{routing.NewService(service).WithEngine(l.engine)}, nil, routing.Limits{})
	servers := make(map[string]routing.Server)
	for i := range l.servers {
		id := serverID(i)
		servers[id] = routing.NewServer(id, service, id, "domain", l.engine.Slots())
	}
	book := dispatch.NewBook(entry)
	book.SetView(epoch, routing.NewView(1, table, servers, nil))
	return &bookPlacer{book: book}
}

func (b *bookPlacer) ask(now time.Time, owner dispatch.Owner, want dispatch.Want) dispatch.Decision {
	return b.book.Ask(now, owner, want)
}
func (b *bookPlacer) tick(now time.Time) []dispatch.Decision { return b.book.Tick(now) }
func (b *bookPlacer) started(now time.Time, id string)       { b.book.Started(now, id) }
func (b *bookPlacer) withdraw(id string)                     { b.book.Withdraw(id) }
func (b *bookPlacer) waiting() int                           { return b.book.Waiting() }
func (b *bookPlacer) ended(now time.Time, id string, outcome dispatch.Outcome) {
	b.book.Ended(now, id, outcome)
}

// blindPlacer draws engines.
type blindPlacer struct {
	servers int
	random  *rand.Rand
}

func (b *blindPlacer) ask(_ time.Time, _ dispatch.Owner, want dispatch.Want) dispatch.Decision {
	id := serverID(b.random.IntN(b.servers))
	return dispatch.NewGranted(dispatch.NewGrant(want.ID(), id, id, nil, 0))
}
func (b *blindPlacer) tick(time.Time) []dispatch.Decision        { return nil }
func (b *blindPlacer) started(time.Time, string)                 {}
func (b *blindPlacer) withdraw(string)                           {}
func (b *blindPlacer) waiting() int                              { return 0 }
func (b *blindPlacer) ended(time.Time, string, dispatch.Outcome) {}

func serverID(i int) string { return fmt.Sprintf("server-%04d", i) }
