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

// groupPrompt needs more than twice one engine's memory, in tokens.
const groupPrompt = 900_000

// warm sends whole answers until every engine may get its full load.
func (f *fleet) warm() {
	f.c.Helper()
	for round := 0; !f.isWarm(); round++ {
		f.c.Assert(round < 100, qt.IsTrue, qt.Commentf("engines never got warm"))
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

// text returns a prompt of so many tokens that begins with a name.
func text(name string, tokens int) string {
	const word = `wörd and words without number follow each other here "ü" `
	s := name + " " + strings.Repeat(word, tokens*4/len(word)+1)
	return strings.ToValidUTF8(s[:tokens*4-len(name)], "?")
}

// empty waits until no engine holds memory for a request.
func (f *fleet) empty() {
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
	f.warm()
	prompt := text("archive", groupPrompt)
	began := time.Now()
	status, body, err := f.complete(context.Background(), f.entries[0], prompt, 16)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	f.c.Assert(answerText(body), qt.Equals, standin.Sum(prompt).Answer(16), qt.Commentf("%s", body))
	f.c.Logf("answered in %v", time.Since(began))
	f.empty()
	for id, engine := range f.engines {
		f.c.Assert(engine.Stats().Overloads(), qt.Equals, 0, qt.Commentf("%s", id))
	}
	// With a domain out the rest can't hold it now, but could again.
	f.platform.Set(registry.DomainsKey, `{"scl-a": "in", "scl-b": "out", "scl-c": "in"}`)
	f.eventually("refused while a domain is out", func() bool {
		status, body, err = f.complete(context.Background(), f.entries[0], prompt, 16)
		f.c.Assert(err, qt.IsNil)
		return status == 503
	})
	f.c.Assert(strings.Contains(body, `"busy"`) && strings.Contains(body, `"not_run"`), qt.IsTrue, qt.Commentf("%s", body))
	f.empty()
}

// asked is what a caller got for one request.
type asked struct {
	status int
	body   string
	err    error
}

// background asks an entry in a goroutine of its own.
func (f *fleet) background(ctx context.Context, entry *Process, prompt string) <-chan asked {
	done := make(chan asked, 1)
	go func() {
		status, body, err := f.complete(ctx, entry, prompt, 64)
		done <- asked{status: status, body: body, err: err}
	}()
	return done
}

// holding waits until so many engines hold a part.
func (f *fleet) holding(engines int) {
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

// working returns the engine whose work on a prompt goes on, as its prefilled
// tokens show.
func (f *fleet) working(after map[string]bool) string {
	f.c.Helper()
	before := make(map[string]int)
	for id, engine := range f.engines {
		before[id] = engine.Stats().PrefilledTokens()
	}
	found := ""
	f.eventually("an engine works", func() bool {
		for id, engine := range f.engines {
			if !after[id] && engine.Stats().PrefilledTokens() > before[id]+1000 {
				found = id
			}
		}
		return found != ""
	})
	return found
}

// An engine that dies while any part is prefilled costs a new try on the
// others, or an honest failure; either way all memory is free in the end.
func TestGroupSurvivesAnEngine(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.start(3)
	for step := range 3 {
		f.survive(fmt.Sprintf("part %d", step+1), func() *standin.Engine {
			worked := make(map[string]bool)
			for range step {
				worked[f.working(worked)] = true
			}
			return f.engines[f.working(worked)]
		})
	}
	// The engine of the first part, while another is at work on the second.
	f.survive("earlier part", func() *standin.Engine {
		first := f.working(nil)
		f.working(map[string]bool{first: true})
		return f.engines[first]
	})
}

// survive kills the engine that victim returns while a group is at work, and
// starts it anew after the answer.
func (f *fleet) survive(name string, victim func() *standin.Engine) {
	f.c.Helper()
	f.warm()
	prompt := text(name, groupPrompt)
	done := f.background(context.Background(), f.entries[1], prompt)
	f.holding(3)
	engine := victim()
	engine.Inject(standin.Killed())
	got := <-done
	f.c.Assert(got.err, qt.IsNil)
	f.c.Assert(got.status, qt.Equals, 200, qt.Commentf("%s: %s", name, got.body))
	f.c.Assert(answerText(got.body), qt.Equals, standin.Sum(prompt).Answer(64))
	f.empty()
	engine.Inject(standin.Cleared())
	f.eventually("all engines heard again", func() bool {
		for _, entry := range f.entries {
			if !f.ready(entry.control.Snapshot()) {
				return false
			}
		}
		return true
	})
}

// A part whose entry died leaves nothing behind: the keepers find it in the
// engines' reports and cancel it long before it would expire.
func TestPartsOfADeadEntry(t *testing.T) {
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
	f.holding(3)
	began := time.Now()
	f.empty()
	f.c.Logf("memory free after %v", time.Since(began))
}

// The memory of a group whose entry ends is freed at once.
func TestGroupOfAnEndedEntry(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.start(3)
	f.warm()
	done := f.background(context.Background(), f.entries[2], text("archive", groupPrompt))
	f.holding(3)
	f.working(nil)
	began := time.Now()
	f.entries[2].Kill()
	got := <-done
	f.c.Assert(got.err != nil || got.status != 200, qt.IsTrue)
	f.empty()
	f.c.Logf("memory free after %v", time.Since(began))
}

// The memory of a group whose caller leaves is freed at once, also on an
// engine that did not hear of it at first.
func TestGroupOfAGoneCaller(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.start(3)
	f.warm()
	ctx, leave := context.WithCancel(context.Background())
	done := f.background(ctx, f.entries[0], text("archive", groupPrompt))
	f.holding(3)
	frozen := f.engines[f.working(nil)]
	frozen.Inject(standin.Frozen())
	leave()
	<-done
	f.holding(1)
	frozen.Inject(standin.Cleared())
	f.empty()
}

// Two groups that need the same engines both get their answers.
func TestGroupsAgainstEachOther(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.start(3)
	f.warm()
	var done []<-chan asked
	var prompts []string
	for i, entry := range f.entries {
		prompts = append(prompts, text(fmt.Sprintf("archive %d", i), groupPrompt))
		done = append(done, f.background(context.Background(), entry, prompts[i]))
	}
	for i := range done {
		got := <-done[i]
		f.c.Assert(got.err, qt.IsNil)
		f.c.Assert(got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
		f.c.Assert(answerText(got.body), qt.Equals, standin.Sum(prompts[i]).Answer(64))
	}
	f.empty()
}

// A prompt that all engines together can't hold is refused at once.
func TestGroupLargerThanTheFleet(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.start(2)
	status, body, err := f.complete(context.Background(), f.entries[0], text("archive", groupPrompt), 16)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(status, qt.Equals, 413, qt.Commentf("%s", body))
	f.c.Assert(strings.Contains(body, `"too_large"`) && strings.Contains(body, `"not_run"`), qt.IsTrue, qt.Commentf("%s", body))
}
