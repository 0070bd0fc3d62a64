package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
	"greengagedock.example/standin"
)

// groupPrompt is the length, in tokens, of a prompt that needs more than twice the
// memory of one engine, so that a group of engines has to hold it in parts.
const groupPrompt = 900_000

// warmUp sends requests until every engine may get its full load.
func (f *fleet) warmUp() {
	f.c.Helper()
	for round := 0; !f.isWarm(); round++ {
		f.c.Assert(round < 100, qt.IsTrue, qt.Commentf("engines are not warm after 100 rounds"))
		var sent sync.WaitGroup
		for i := range 2 * len(f.engines) {
			entry := f.entries[i%len(f.entries)]
			prompt := fmt.Sprintf("warm %d %d %s", round, i, strings.Repeat("word ", 200))
			sent.Go(func() { f.complete(context.Background(), entry, prompt, 4) })
		}
		sent.Wait()
	}
}

func (f *fleet) isWarm() bool {
	warm := 0
	for _, entry := range f.entries {
		for _, server := range entry.control.Snapshot().Servers() {
			if server.Limit().Tokens() == 400_000 {
				warm++
			}
		}
	}
	return warm >= len(f.engines)
}

// promptText returns a prompt of the given length in tokens that begins with name.
func promptText(name string, tokens int) string {
	const word = `wörd and words without number follow each other here "ü" `
	s := name + " " + strings.Repeat(word, tokens*4/len(word)+1)
	return strings.ToValidUTF8(s[:tokens*4-len(name)], "?")
}

// awaitEmpty waits until no engine holds requests or their memory.
func (f *fleet) awaitEmpty() {
	f.c.Helper()
	f.eventually("all memory free", func() bool {
		for _, engine := range f.engines {
			if engine.Stats().UsedTokens() != 0 || engine.Stats().Requests() != 0 {
				return false
			}
		}
		return true
	})
}

func TestPromptLargerThanTwoEngines(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.start(3)
	f.warmUp()
	prompt := promptText("archive", groupPrompt)
	began := time.Now()
	status, body, err := f.complete(context.Background(), f.entries[0], prompt, 16)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	f.c.Assert(answerText(body), qt.Equals, standin.Sum(prompt).Answer(16), qt.Commentf("%s", body))
	f.c.Logf("answered in %v", time.Since(began))
	f.awaitEmpty()
	for id, engine := range f.engines {
		f.c.Assert(engine.Stats().Overloads(), qt.Equals, 0, qt.Commentf("%s", id))
	}
	// While a domain is out, the other engines can't hold the prompt; it is refused
	// as busy rather than too large, since the domain may come back.
	f.platform.Set(registry.DomainsKey, `{"scl-a": "in", "scl-b": "out", "scl-c": "in"}`)
	f.eventually("refused while a domain is out", func() bool {
		status, body, err = f.complete(context.Background(), f.entries[0], prompt, 16)
		f.c.Assert(err, qt.IsNil)
		return status == 503
	})
	f.c.Assert(strings.Contains(body, `"busy"`) && strings.Contains(body, `"not_run"`), qt.IsTrue, qt.Commentf("%s", body))
	f.awaitEmpty()
}

// callResult is the result of one request.
type callResult struct {
	status int
	body   string
	err    error
}

// completeAsync calls complete in a goroutine of its own.
func (f *fleet) completeAsync(ctx context.Context, entry *Process, prompt string) <-chan callResult {
	done := make(chan callResult, 1)
	go func() {
		status, body, err := f.complete(ctx, entry, prompt, 64)
		done <- callResult{status: status, body: body, err: err}
	}()
	return done
}

// awaitPartsHeld waits until exactly the given number of engines hold a part of a prompt.
func (f *fleet) awaitPartsHeld(engines int) {
	f.c.Helper()
	f.eventually("parts held", func() bool {
		held := 0
		for _, engine := range f.engines {
			if engine.Stats().UsedTokens() > 0 {
				held++
			}
		}
		return held == engines
	})
}

// awaitPrefill waits until an engine that is not in excluded prefills, and
// returns its id.
func (f *fleet) awaitPrefill(excluded map[string]bool) string {
	f.c.Helper()
	before := make(map[string]int)
	for id, engine := range f.engines {
		before[id] = engine.Stats().PrefilledTokens()
	}
	found := ""
	f.eventually("an engine prefills", func() bool {
		for id, engine := range f.engines {
			if !excluded[id] && engine.Stats().PrefilledTokens() > before[id]+1000 {
				found = id
			}
		}
		return found != ""
	})
	return found
}

// TestGroupSurvivesEngineLoss kills an engine while a part is prefilled. The
// group must be retried on the other engines and answered, and all memory must
// be freed in the end.
func TestGroupSurvivesEngineLoss(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.start(3)
	for step := range 3 {
		f.checkEngineLoss(fmt.Sprintf("part %d", step+1), func() *standin.Engine {
			seen := make(map[string]bool)
			for range step {
				seen[f.awaitPrefill(seen)] = true
			}
			return f.engines[f.awaitPrefill(seen)]
		})
	}
	// Kill the engine of the first part while another prefills the second.
	f.checkEngineLoss("earlier part", func() *standin.Engine {
		first := f.awaitPrefill(nil)
		f.awaitPrefill(map[string]bool{first: true})
		return f.engines[first]
	})
}

// checkEngineLoss kills the engine that victim returns while a group is being
// prefilled, checks the answer and restarts the engine.
func (f *fleet) checkEngineLoss(name string, victim func() *standin.Engine) {
	f.c.Helper()
	f.warmUp()
	prompt := promptText(name, groupPrompt)
	done := f.completeAsync(context.Background(), f.entries[1], prompt)
	f.awaitPartsHeld(3)
	engine := victim()
	engine.Inject(standin.Killed())
	got := <-done
	f.c.Assert(got.err, qt.IsNil)
	f.c.Assert(got.status, qt.Equals, 200, qt.Commentf("%s: %s", name, got.body))
	f.c.Assert(answerText(got.body), qt.Equals, standin.Sum(prompt).Answer(64))
	f.awaitEmpty()
	engine.Inject(standin.Cleared())
	f.eventually("all engines report again", func() bool {
		for _, entry := range f.entries {
			if !f.ready(entry.control.Snapshot()) {
				return false
			}
		}
		return true
	})
}

// TestPartsOfDeadEntryAreCancelled checks that keepers find the parts of a dead
// entry in the engines' reports and cancel them long before they expire.
func TestPartsOfDeadEntryAreCancelled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.start(3)
	dead := backend.NewOwner("entry-0", 1)
	for i, server := range f.servers {
		if server.Kind() != registry.KindEngine {
			continue
		}
		body := strings.NewReader(`{"tokens": 50000, "expires": "1h"}`)
		r, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/v1/kv/reserve", body)
		f.c.Assert(err, qt.IsNil)
		r.Header.Set("X-Request-Id", backend.AttemptID(dead, "archive", i))
		response, err := http.DefaultClient.Do(r)
		f.c.Assert(err, qt.IsNil)
		response.Body.Close()
		f.c.Assert(response.StatusCode, qt.Equals, 200, qt.Commentf("%s", server.ID()))
	}
	f.awaitPartsHeld(3)
	began := time.Now()
	f.awaitEmpty()
	f.c.Logf("memory free after %v", time.Since(began))
}

// TestGroupOfStoppedEntryIsFreed checks that a group's memory is freed soon after its entry stops.
func TestGroupOfStoppedEntryIsFreed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.start(3)
	f.warmUp()
	done := f.completeAsync(context.Background(), f.entries[2], promptText("archive", groupPrompt))
	f.awaitPartsHeld(3)
	f.awaitPrefill(nil)
	began := time.Now()
	f.entries[2].Kill()
	got := <-done
	f.c.Assert(got.err != nil || got.status != 200, qt.IsTrue)
	f.awaitEmpty()
	f.c.Logf("memory free after %v", time.Since(began))
}

// TestGroupOfDisconnectedCallerIsFreed checks that a group's memory is freed when
// its caller disconnects, also on an engine that is frozen when it is cancelled.
func TestGroupOfDisconnectedCallerIsFreed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.start(3)
	f.warmUp()
	ctx, leave := context.WithCancel(context.Background())
	done := f.completeAsync(ctx, f.entries[0], promptText("archive", groupPrompt))
	f.awaitPartsHeld(3)
	frozen := f.engines[f.awaitPrefill(nil)]
	frozen.Inject(standin.Frozen())
	leave()
	<-done
	f.awaitPartsHeld(1)
	frozen.Inject(standin.Cleared())
	f.awaitEmpty()
}

// TestCompetingGroups checks that groups that need the same engines are all answered.
func TestCompetingGroups(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.start(3)
	f.warmUp()
	var done []<-chan callResult
	var prompts []string
	for i, entry := range f.entries {
		prompts = append(prompts, promptText(fmt.Sprintf("archive %d", i), groupPrompt))
		done = append(done, f.completeAsync(context.Background(), entry, prompts[i]))
	}
	for i := range done {
		got := <-done[i]
		f.c.Assert(got.err, qt.IsNil)
		f.c.Assert(got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
		f.c.Assert(answerText(got.body), qt.Equals, standin.Sum(prompts[i]).Answer(64))
	}
	f.awaitEmpty()
}

// TestGroupLargerThanTheFleet checks that a prompt that all engines together can't hold is refused.
func TestGroupLargerThanTheFleet(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.start(2)
	status, body, err := f.complete(context.Background(), f.entries[0], promptText("archive", groupPrompt), 16)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(status, qt.Equals, 413, qt.Commentf("%s", body))
	f.c.Assert(strings.Contains(body, `"too_large"`) && strings.Contains(body, `"not_run"`), qt.IsTrue, qt.Commentf("%s", body))
}
