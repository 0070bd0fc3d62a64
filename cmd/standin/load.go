package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// Prompt lengths in tokens; one prompt in longPromptOneIn is long.
const (
	minPromptTokens  = 1_000
	longPromptTokens = 100_000
	maxPromptTokens  = 1_000_000
	longPromptOneIn  = 50
)

// errBadAnswers is returned when an answer was wrong, cut or lost; see verdict.
var errBadAnswers = errors.New("load: an answer was wrong, cut or lost")

// driver sends an open-loop load to entries and checks every answer.
type driver struct {
	entries      []string
	keys         []string
	domains      []string
	model        string
	service      string
	path         string
	serviceShare float64
	rate         float64
	duration     time.Duration
	timeLeft     time.Duration
	seed         uint64
	answerTokens int
	maxPrompt    int

	client    *http.Client
	addresses *addressCache
	corpus    string // the text that prompts are slices of
}

func newLoadCommand() *cobra.Command {
	d := &driver{}
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send a mixed load to entries and check every answer",
		Example: `  standin load --entries 127.0.0.1:8001,127.0.0.1:8002 --keys KEY1,KEY2 --rate 40 --duration 15s
  standin load --entries 127.0.0.1:8001 --keys KEY1 --service repairs --service-share 0.2 --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := d.check(); err != nil {
				return err
			}
			table := d.run(cmd.Context())
			if err := table.write(os.Stdout, asJSON); err != nil {
				return err
			}
			return table.err()
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&d.entries, "entries", []string{"127.0.0.1:8001"}, "entries to query for the address to use")
	flags.StringSliceVar(&d.keys, "keys", nil, "API keys of the client accounts")
	flags.StringSliceVar(&d.domains, "failure-domains", []string{""}, "failure domains of the callers")
	flags.StringVar(&d.model, "model", "strip-1", "model to request")
	flags.StringVar(&d.service, "service", "", "plain service to call")
	flags.StringVar(&d.path, "path", "/repairs", "path below the plain service")
	flags.Float64Var(&d.serviceShare, "service-share", 0, "share of the requests that call the plain service")
	flags.Float64Var(&d.rate, "rate", 20, "requests per second")
	flags.DurationVar(&d.duration, "duration", 15*time.Second, "duration of the load")
	flags.DurationVar(&d.timeLeft, "time-left", time.Minute, "timeout of a request")
	flags.Uint64Var(&d.seed, "seed", 1, "seed of the arrivals and prompts")
	flags.IntVar(&d.answerTokens, "answer-tokens", 64, "longest answer, in tokens")
	flags.IntVar(&d.maxPrompt, "max-prompt", maxPromptTokens, "longest prompt, in tokens")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	cmd.MarkFlagRequired("keys")
	return cmd
}

// check returns an error that names the first flag with a value that can't be used.
func (d *driver) check() error {
	switch {
	case d.rate <= 0:
		return eris.Errorf("--rate is %g, want more than 0", d.rate)
	case d.duration <= 0:
		return eris.Errorf("--duration is %v, want more than 0", d.duration)
	case d.timeLeft <= 0:
		return eris.Errorf("--time-left is %v, want more than 0", d.timeLeft)
	case d.serviceShare < 0 || d.serviceShare > 1:
		return eris.Errorf("--service-share is %g, want 0 to 1", d.serviceShare)
	case d.serviceShare > 0 && d.service == "":
		return eris.New("--service: missing, but --service-share sends calls to it")
	case d.answerTokens < 1:
		return eris.Errorf("--answer-tokens is %d, want 1 or more", d.answerTokens)
	case d.maxPrompt < 1 || d.maxPrompt > maxPromptTokens:
		return eris.Errorf("--max-prompt is %d, want 1 to %d", d.maxPrompt, maxPromptTokens)
	}
	return nil
}

// job is one request to send.
type job struct {
	number        int
	key           string
	domain        string
	isServiceCall bool
	promptTokens  int
	answerTokens  int
	offset        int // of its prompt in the corpus
	due           time.Time
}

// run sends the load, waits for every answer and returns the table of results.
func (d *driver) run(ctx context.Context) *table {
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	defer d.client.CloseIdleConnections()
	d.addresses = &addressCache{client: d.client, entries: d.entries, cached: make(map[string]addressBody)}
	random := rand.New(rand.NewPCG(d.seed, 0))
	d.corpus = newCorpus(random)
	results := &table{}
	var running sync.WaitGroup
	start := time.Now()
	due := start
	for number := 0; ; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / d.rate * float64(time.Second)))
		if due.Sub(start) > d.duration || !sleepUntil(ctx, due) {
			break
		}
		j := d.randomJob(random, number, due)
		running.Go(func() { results.add(d.send(ctx, j)) })
	}
	running.Wait()
	return results
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-ctx.Done():
		return false
	}
}

// randomJob returns a random request; prompt lengths are log-uniform.
func (d *driver) randomJob(random *rand.Rand, number int, due time.Time) job {
	low, high := minPromptTokens, longPromptTokens
	if random.IntN(longPromptOneIn) == 0 {
		low, high = longPromptTokens, maxPromptTokens
	}
	tokens := int(float64(low) * math.Pow(float64(high)/float64(low), random.Float64()))
	return job{
		number:        number,
		key:           d.keys[random.IntN(len(d.keys))],
		domain:        d.domains[random.IntN(len(d.domains))],
		isServiceCall: random.Float64() < d.serviceShare,
		promptTokens:  min(tokens, d.maxPrompt),
		answerTokens:  1 + random.IntN(d.answerTokens),
		offset:        randomOffset(random),
		due:           due,
	}
}

// Prompts are slices of a corpus of corpusSize bytes. One in sharedPrefixOneIn begins
// at one of sharedPrefixes offsets, so that it shares a prefix with others; the rest
// begin at random.
const (
	tokenBytes        = 4
	corpusSize        = 2 * maxPromptTokens * tokenBytes
	sharedPrefixes    = 8
	sharedPrefixOneIn = 3
)

// newCorpus returns a random text in which a prompt of any length can begin at any token of the first half.
func newCorpus(random *rand.Rand) string {
	text := make([]byte, corpusSize)
	for i := range text {
		text[i] = 'a' + byte(random.Uint32()%26)
	}
	return string(text)
}

// randomOffset returns a random offset for a prompt in the corpus, in bytes.
func randomOffset(random *rand.Rand) int {
	if random.IntN(sharedPrefixOneIn) == 0 {
		return random.IntN(sharedPrefixes) * tokenBytes
	}
	return random.IntN(maxPromptTokens) * tokenBytes
}

// prompt returns the job's prompt: a slice of the corpus with a unique suffix.
func (d *driver) prompt(j job) string {
	suffix := fmt.Sprintf("request %d of seed %d", j.number, d.seed)
	return d.corpus[j.offset:j.offset+j.promptTokens*tokenBytes-len(suffix)] + suffix
}
