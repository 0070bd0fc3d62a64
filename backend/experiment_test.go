package backend

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	experimentWarmUp   = 60 * time.Second
	experimentDuration = 180 * time.Second
	allPrompts         = 1_000_000
)

// result holds the measurements of one run of the experiment. usefulFraction
// is the share of the processed tokens that belong to delivered answers;
// smallFraction and largeFraction are the shares of the requested tokens
// delivered to the accounts with few and with most of the requests.
type result struct {
	timeToFirstToken [len(classes)][]time.Duration
	duration         [len(classes)][]time.Duration
	requested        int
	delivered        int
	late             [len(classes)]int
	busy             [len(classes)]int
	refused          map[Reason]int
	tokensPerSecond  float64
	usefulFraction   float64
	smallFraction    float64
	largeFraction    float64
	overloads        int
}

// tokenShare counts the prompt tokens requested by and delivered to a group
// of accounts.
type tokenShare struct{ requested, delivered int }

func (s *tokenShare) add(j *job) {
	if j.refusal == ReasonTooLarge {
		return
	}
	s.requested += j.cost.prompt
	if j.outcome == OutcomeFinished {
		s.delivered += j.cost.prompt
	}
}

func (s *tokenShare) fraction() float64 { return float64(s.delivered) / float64(max(s.requested, 1)) }

// experiment runs a policy at a load and returns the measurements.
func experiment(f *fleet, policy string, load float64, longest int) result {
	var to sender = baseline{f}
	if policy == "keepers" {
		to = newKeeperSender(f)
	}
	f.traffic(load, longest, to)
	f.RunUntil(f.until + 5*time.Minute)
	return f.result()
}

func fullFleet(policy string) *fleet {
	return newFleet(*experimentSeed, policy == "keepers", experimentWarmUp, experimentWarmUp+experimentDuration)
}

func (f *fleet) result() result {
	r := result{refused: map[Reason]int{}}
	processed, useful := 0, 0
	var small, large tokenShare
	for _, j := range f.jobs {
		if j.arrived < f.from {
			continue
		}
		r.requested++
		class := j.cost.Class().index()
		processed += j.tokens()
		if j.large() {
			large.add(j)
		} else {
			small.add(j)
		}
		switch {
		case j.outcome == OutcomeFinished:
			r.delivered++
			useful += j.tokens()
			r.timeToFirstToken[class] = append(r.timeToFirstToken[class], j.firstToken-j.arrived)
			r.duration[class] = append(r.duration[class], j.ended-j.arrived)
		case j.refusal != "":
			r.refused[j.refusal]++
			if j.refusal == ReasonBusy {
				r.busy[class]++
			}
		default:
			r.late[class]++
		}
	}
	r.tokensPerSecond = float64(f.tokens) / (f.until - f.from).Seconds()
	r.overloads = f.overloads
	r.smallFraction, r.largeFraction = small.fraction(), large.fraction()
	r.usefulFraction = float64(useful) / float64(max(processed, 1))
	return r
}

// percentile95 returns the 95th percentile.
func percentile95(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)*95/100].Round(time.Millisecond)
}

// TestExperimentSmall runs the keepers' policy for a short time.
func TestExperimentSmall(t *testing.T) {
	c := qt.New(t)
	r := experiment(newFleet(*experimentSeed, true, 10*time.Second, 30*time.Second), "keepers", 1, allPrompts)
	c.Assert(r.requested > 0, qt.IsTrue)
	c.Assert(r.late, qt.Equals, [len(classes)]int{})
	c.Assert(r.usefulFraction, qt.Equals, 1.0)
	c.Assert(r.overloads, qt.Equals, 0)
}

// TestExperiment prints the table of all policies and loads; it needs -v.
func TestExperiment(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table, run it with -v")
	}
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "policy\tload\tasked\tdelivered\tlate\tbusy\ttoo large\ttokens/s\tuseful\tsmall\tlarge\tfirst p95: short\tmedium\tlong\twhole p95: short\tmedium\tlong")
	results := map[string]result{}
	for _, policy := range []string{"alone", "keepers"} {
		for _, load := range []float64{0.1, 1, 1.5, 3} {
			r := experiment(fullFleet(policy), policy, load, allPrompts)
			results[fmt.Sprint(policy, load)] = r
			r.print(w, policy, fmt.Sprintf("%.1fx", load))
		}
		r := experiment(fullFleet(policy), policy, 1, shortPromptTokens)
		results[policy+"short"] = r
		r.print(w, policy, "1.0x, short only")
	}
	w.Flush()
	t.Logf("seed %d, %d engines, %d entries\n%s", *experimentSeed, *fleetEngines, fleetEntries, text.String())
	for _, policy := range []string{"alone", "keepers"} {
		full, short := results[policy+"1"], results[policy+"short"]
		t.Logf("%s: short prompts' slowdown p95: first token %.2fx, whole answer %.2fx; tokens of 1.0x: %.1f%% at 1.5x, %.1f%% at 3.0x",
			policy, ratio(full.timeToFirstToken[0], short.timeToFirstToken[0]), ratio(full.duration[0], short.duration[0]),
			100*results[policy+"1.5"].tokensPerSecond/full.tokensPerSecond, 100*results[policy+"3"].tokensPerSecond/full.tokensPerSecond)
	}
	for name, r := range results {
		if strings.HasPrefix(name, "keepers") {
			qt.Assert(t, r.overloads, qt.Equals, 0, qt.Commentf("%s: servers over their capacity", name))
		}
	}
}

func ratio(a, b []time.Duration) float64 {
	return percentile95(a).Seconds() / max(percentile95(b).Seconds(), 1e-9)
}

func (r result) print(w *tabwriter.Writer, policy, load string) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\t%d\t%.0f\t%.1f%%\t%.1f%%\t%.1f%%", policy, load, r.requested, r.delivered, r.late,
		r.busy, r.refused[ReasonTooLarge], r.tokensPerSecond, 100*r.usefulFraction, 100*r.smallFraction, 100*r.largeFraction)
	for _, times := range [][len(classes)][]time.Duration{r.timeToFirstToken, r.duration} {
		for _, class := range times {
			fmt.Fprintf(w, "\t%v", percentile95(class))
		}
	}
	fmt.Fprintln(w)
}
