package entry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// shortPromptSenders is the number of short prompts open at a time.
const shortPromptSenders = 6

// sendShortPrompts sends short prompts until the duration has passed or stop is
// closed, and returns their latencies, sorted.
func (f *fleet) sendShortPrompts(name string, duration time.Duration, stop <-chan struct{}) []time.Duration {
	elapsed := time.After(duration)
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-elapsed:
		case <-stop:
		}
	}()
	var mu sync.Mutex
	var latencies []time.Duration
	var senders sync.WaitGroup
	for i := range shortPromptSenders {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				prompt := fmt.Sprintf("%s %d %d %s", name, i, n, strings.Repeat("word ", 1600))
				began := time.Now()
				status, body, err := f.complete(context.Background(), f.entries[i%len(f.entries)], prompt, 8)
				f.c.Check(err, qt.IsNil)
				f.c.Check(status, qt.Equals, 200, qt.Commentf("%s", body))
				mu.Lock()
				latencies = append(latencies, time.Since(began))
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	slices.Sort(latencies)
	return latencies
}

// percentile returns the value below which the given fraction of sorted values lies.
func percentile(sorted []time.Duration, fraction float64) time.Duration {
	return sorted[int(float64(len(sorted)-1)*fraction)]
}

// TestShortPromptsDuringGroup checks that short prompts are served while a group
// holds memory on every engine of the service. It logs the ratio of their
// latencies to those without a group in the same run.
func TestShortPromptsDuringGroup(t *testing.T) {
	f := newFleet(t, 3)
	f.start(3)
	f.warmUp()
	alone := f.sendShortPrompts("alone", 3*time.Second, nil)
	done := f.completeAsync(context.Background(), f.entries[0], promptText("archive", groupPrompt))
	f.awaitPartsHeld(3)
	stop := make(chan struct{})
	var got callResult
	go func() {
		got = <-done
		close(stop)
	}()
	beside := f.sendShortPrompts("beside", 30*time.Second, stop)
	<-stop
	f.c.Assert(got.status, qt.Equals, 200, qt.Commentf("%s %v", got.body, got.err))
	f.c.Assert(len(beside) > shortPromptSenders, qt.IsTrue)
	for _, p := range []float64{0.5, 0.95, 0.99} {
		a, b := percentile(alone, p), percentile(beside, p)
		f.c.Logf("percentile %.2f: without a group %v of %d prompts, during a group %v of %d, ratio %.2f",
			p, a, len(alone), b, len(beside), float64(b)/float64(a))
	}
	f.awaitEmpty()
}
