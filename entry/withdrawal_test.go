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

// withdrawalTimeout is the time after which a server that is leaving, or whose
// failure domain is out, must get no new requests.
const withdrawalTimeout = 3 * time.Second

// sendAndCheck sends count requests through all entries in turn and checks that
// each is answered completely.
func (f *fleet) sendAndCheck(label string, count int) {
	for i := range count {
		prompt := fmt.Sprintf("%s %d %s", label, i, strings.Repeat("word ", 300))
		status, body, err := f.complete(context.Background(), f.entries[i%len(f.entries)], prompt, 4)
		if err != nil || status != 200 || answerText(body) != standin.Sum(prompt).Answer(4) {
			f.c.Fatalf("%s %d: status %d, error %v: %s", label, i, status, err, body)
		}
	}
}

// answerCounts returns the number of answers that each engine has given.
func (f *fleet) answerCounts() map[string]int {
	out := make(map[string]int)
	for id, engine := range f.engines {
		out[id] = engine.Stats().Answers()
	}
	return out
}

func TestWithdrawnServersGetNoNewWork(t *testing.T) {
	tests := []struct {
		name     string
		withdraw func(f *fleet)
		restore  func(f *fleet)
	}{
		{
			name: "failure domain out",
			withdraw: func(f *fleet) {
				f.platform.Set(registry.DomainsKey, `{"scl-a": "out", "scl-b": "in", "scl-c": "in"}`)
			},
			restore: func(f *fleet) {
				f.platform.Set(registry.DomainsKey, `{"scl-a": "in", "scl-b": "in", "scl-c": "in"}`)
			},
		},
		{
			name:     "server reports that it is leaving",
			withdraw: func(f *fleet) { f.engines["engine-0"].Inject(standin.Draining()) },
			restore:  func(f *fleet) { f.engines["engine-0"].Inject(standin.Cleared()) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			f.start(3)
			f.sendAndCheck("before", 12)
			if f.answerCounts()["engine-0"] == 0 {
				f.c.Fatal("engine-0 got no requests before the withdrawal")
			}
			test.withdraw(f)
			time.Sleep(withdrawalTimeout)
			before := f.answerCounts()
			f.sendAndCheck("closed", 12)
			after := f.answerCounts()
			if after["engine-0"] != before["engine-0"] {
				f.c.Fatalf("engine-0 got new requests: %v answers before, %v after", before, after)
			}
			test.restore(f)
			round := 0
			f.eventually("engine-0 gets requests again", func() bool {
				round++ // New prompts, since prompts with a common prefix go to the same engine.
				f.sendAndCheck(fmt.Sprintf("back %d", round), 3)
				return f.answerCounts()["engine-0"] > after["engine-0"]
			})
		})
	}
}
