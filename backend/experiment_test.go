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
	experimentWarmUp = 60 * time.Second
	experimentTime   = 180 * time.Second
	allPrompts       = 1_000_000
)

// result is what one run of the experiment showed.
type result struct {
	first     [len(classes)][]time.Duration
	whole     [len(classes)][]time.Duration
	asked     int
	delivered int
	late      [len(classes)]int
	busy      [len(classes)]int
	refused   map[Reason]int
	tokens    float64
	useful    float64
	small     float64
	large     float64
	over      int
}

// accountShare is the part of an account group's asked tokens that was delivered.
type accountShare struct{ asked, delivered int }

func (a *accountShare) add(j *job) {
	if j.refusal == ReasonTooLarge {
		return
	}
	a.asked += j.cost.prompt
	if j.outcome == OutcomeFinished {
		a.delivered += j.cost.prompt
	}
}

func (a *accountShare) part() float64 { return float64(a.delivered) / float64(max(a.asked, 1)) }

// experiment runs a policy at a load and returns what it delivered.
func experiment(f *fleet, policy string, load float64, longest int) result {
	var to sender = alone{f}
	if policy == "keepers" {
		to = newKept(f)
	}
	f.traffic(load, longest, to)
	f.RunUntil(f.until + 5*time.Minute)
	return f.result()
}

func fullFleet(policy string) *fleet {
	return newFleet(*experimentSeed, policy == "keepers", experimentWarmUp, experimentWarmUp+experimentTime)
}

func (f *fleet) result() result {
	r := result{refused: map[Reason]int{}}
	spent, useful := 0, 0
	var small, large accountShare
	for _, j := range f.jobs {
		if j.arrived < f.from {
			continue
		}
		r.asked++
		class := j.cost.Class().index()
		spent += j.spent()
		if j.large() {
			large.add(j)
		} else {
			small.add(j)
		}
		switch {
		case j.outcome == OutcomeFinished:
			r.delivered++
			useful += j.spent()
			r.first[class] = append(r.first[class], j.first-j.arrived)
			r.whole[class] = append(r.whole[class], j.ended-j.arrived)
		case j.refusal != "":
			r.refused[j.refusal]++
			if j.refusal == ReasonBusy {
				r.busy[class]++
			}
		default:
			r.late[class]++
		}
	}
	r.tokens = float64(f.tokens) / (f.until - f.from).Seconds()
	r.over = f.over
	r.small, r.large = small.part(), large.part()
	r.useful = float64(useful) / float64(max(spent, 1))
	return r
}

// percentile returns the time that 95 in 100 are within.
func percentile(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)*95/100].Round(time.Millisecond)
}

// TestExperimentSmall runs the keepers' policy for a short while.
func TestExperimentSmall(t *testing.T) {
	c := qt.New(t)
	r := experiment(newFleet(*experimentSeed, true, 10*time.Second, 30*time.Second), "keepers", 1, allPrompts)
	c.Assert(r.asked > 0, qt.IsTrue)
	c.Assert(r.late, qt.Equals, [len(classes)]int{})
	c.Assert(r.useful, qt.Equals, 1.0)
	c.Assert(r.over, qt.Equals, 0)
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
			policy, ratio(full.first[0], short.first[0]), ratio(full.whole[0], short.whole[0]),
			100*results[policy+"1.5"].tokens/full.tokens, 100*results[policy+"3"].tokens/full.tokens)
	}
	for name, r := range results {
		if strings.HasPrefix(name, "keepers") {
			qt.Assert(t, r.over, qt.Equals, 0, qt.Commentf("%s: servers over their bearing", name))
		}
	}
}

func ratio(a, b []time.Duration) float64 {
	return percentile(a).Seconds() / max(percentile(b).Seconds(), 1e-9)
}

func (r result) print(w *tabwriter.Writer, policy, load string) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\t%d\t%.0f\t%.1f%%\t%.1f%%\t%.1f%%", policy, load, r.asked, r.delivered, r.late,
		r.busy, r.refused[ReasonTooLarge], r.tokens, 100*r.useful, 100*r.small, 100*r.large)
	for _, times := range [][len(classes)][]time.Duration{r.first, r.whole} {
		for _, class := range times {
			fmt.Fprintf(w, "\t%v", percentile(class))
		}
	}
	fmt.Fprintln(w)
}
