package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"greengagedock.example/registry"
	"greengagedock.example/standin"
)

// closedWithin is the time within which a server that leaves, or whose failure
// domain is taken out, must get no new work.
const closedWithin = 3 * time.Second

// spread sends so many requests through all entries and checks that each is whole.
func (f *fleet) spread(label string, count int) {
	for i := range count {
		prompt := fmt.Sprintf("%s %d %s", label, i, strings.Repeat("word ", 300))
		status, body, err := f.complete(context.Background(), f.entries[i%len(f.entries)], prompt, 4)
		if err != nil || status != 200 || answerText(body) != standin.Sum(prompt).Answer(4) {
			f.c.Fatalf("%s %d: status %d, error %v: %s", label, i, status, err, body)
		}
	}
}

// answers returns how many answers each engine has given.
func (f *fleet) answers() map[string]int {
	out := make(map[string]int)
	for id, engine := range f.engines {
		out[id] = engine.Stats().Answers()
	}
	return out
}

func TestClosedServersGetNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		close func(f *fleet)
		open  func(f *fleet)
	}{
		{
			name: "failure domain out",
			close: func(f *fleet) {
				f.platform.Set(registry.DomainsKey, `{"scl-a": "out", "scl-b": "in", "scl-c": "in"}`)
			},
			open: func(f *fleet) {
				f.platform.Set(registry.DomainsKey, `{"scl-a": "in", "scl-b": "in", "scl-c": "in"}`)
			},
		},
		{
			name:  "server leaving by its own word",
			close: func(f *fleet) { f.engines["engine-0"].Inject(standin.Draining()) },
			open:  func(f *fleet) { f.engines["engine-0"].Inject(standin.Cleared()) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			f.start(3)
			f.spread("before", 12)
			if f.answers()["engine-0"] == 0 {
				f.c.Fatal("engine-0 had no work to lose")
			}
			test.close(f)
			time.Sleep(closedWithin)
			before := f.answers()
			f.spread("closed", 12)
			after := f.answers()
			if after["engine-0"] != before["engine-0"] {
				f.c.Fatalf("engine-0 got new work: %v, then %v", before, after)
			}
			test.open(f)
			round := 0
			f.eventually("engine-0 at work again", func() bool {
				round++ // Other prompts, since those of one beginning stay with one engine.
				f.spread(fmt.Sprintf("back %d", round), 3)
				return f.answers()["engine-0"] > after["engine-0"]
			})
		})
	}
}
