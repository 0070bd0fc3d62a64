package experiment

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// worstFraction is the fraction of a report's spans over which WorstSpanWorth is calculated.
const worstFraction = 0.2

// spanLength is the length of the time spans into which a report is divided.
const spanLength = 2 * time.Second

// Report holds the results of an experiment.
type Report struct {
	workload  Workload
	policy    Policy
	seed      uint64
	requests  []*request
	samples   []sample
	preempted int
	rejected  int
}

// sample is a snapshot of the schedulers' queues and of the engines' load.
type sample struct {
	at                time.Duration
	waiting           int
	memory            int
	decodingRequests  int
	decodingEngines   int
	prefillingEngines int
	backlog           time.Duration
}

func newReport(w Workload, p Policy, seed uint64) *Report {
	return &Report{workload: w, policy: p, seed: seed}
}

func (r *Report) add(request *request) { r.requests = append(r.requests, request) }

// Summary holds the results of some of an experiment's requests.
type Summary struct {
	requests          int
	onTime            int
	late              int
	lateFirstToken    int
	lateInterval      int
	refused           map[string]int
	disconnected      int
	deadline          int
	earned            float64
	possible          float64
	timesToFirstToken []time.Duration
	maxIntervals      []time.Duration
	refusalWaits      []time.Duration
	returned          int
	returnedServed    int
}

// Requests returns the number of requests.
func (s Summary) Requests() int { return s.requests }

// Refused returns the number of requests that were refused, also when they came again.
func (s Summary) Refused() int {
	refused := 0
	for _, n := range s.refused {
		refused += n
	}
	return refused
}

// OnTime returns the number of requests that were answered within their objectives.
func (s Summary) OnTime() int { return s.onTime }

// Late returns the number of requests that were answered, but not within their objectives.
func (s Summary) Late() int { return s.late }

// RefusalWait returns a quantile, from 0 to 1, of the time that callers waited for a refusal.
func (s Summary) RefusalWait(quantile float64) time.Duration {
	return quantileOf(s.refusalWaits, quantile)
}

// Returned returns the number of requests whose callers were refused and returned.
func (s Summary) Returned() int { return s.returned }

// ReturnedServed returns the number of those that were then answered.
func (s Summary) ReturnedServed() int { return s.returnedServed }

// Worth returns the worth of the answers as a fraction of that of answering all
// requests on time, 1 without requests.
func (s Summary) Worth() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

// TimeToFirstToken returns a quantile, from 0 to 1, of the time from a request's
// arrival to its first event, over the requests that had one.
func (s Summary) TimeToFirstToken(quantile float64) time.Duration {
	return quantileOf(s.timesToFirstToken, quantile)
}

// MaxTokenInterval returns a quantile, from 0 to 1, of the longest interval between
// two events of an answer.
func (s Summary) MaxTokenInterval(quantile float64) time.Duration {
	return quantileOf(s.maxIntervals, quantile)
}

func quantileOf(times []time.Duration, quantile float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(quantile*float64(len(sorted)-1)+0.5)]
}

// Summarize returns the summary of a kind's requests, or of all requests if the name is empty.
func (r *Report) Summarize(kind string) Summary {
	return r.summarizeIf(func(q *request) bool { return kind == "" || q.kind.name == kind })
}

// Largest returns the summary of the given fraction of a kind's requests that
// have the longest prompts.
func (r *Report) Largest(kind string, fraction float64) Summary {
	var prompts []int
	for _, q := range r.requests {
		if q.kind.name == kind {
			prompts = append(prompts, q.prompt)
		}
	}
	if len(prompts) == 0 {
		return Summary{}
	}
	slices.Sort(prompts)
	minPrompt := prompts[int(float64(len(prompts)-1)*(1-fraction))]
	return r.summarizeIf(func(q *request) bool { return q.kind.name == kind && q.prompt >= minPrompt })
}

// WorstSpanWorth returns the worth of the requests that arrived in the fifth of
// the time spans with the lowest worth.
func (r *Report) WorstSpanWorth() float64 {
	spans := r.Spans()
	slices.SortFunc(spans, func(a, b Summary) int { return cmp.Compare(a.Worth(), b.Worth()) })
	earned, possible := 0.0, 0.0
	for _, s := range spans[:max(1, int(worstFraction*float64(len(spans))))] {
		earned += s.earned
		possible += s.possible
	}
	return Summary{earned: earned, possible: possible}.Worth()
}

// Spans returns a summary for each span of 2 s, of the requests that arrived in it.
func (r *Report) Spans() []Summary {
	var out []Summary
	for from := time.Duration(0); from < r.workload.length; from += spanLength {
		out = append(out, r.summarizeIf(func(q *request) bool { return q.arrived >= from && q.arrived < from+spanLength }))
	}
	return out
}

// Accounts returns the names of the accounts with requests, those with the most requests first.
func (r *Report) Accounts() []string {
	counts := make(map[string]int)
	for _, q := range r.requests {
		if q.account != "" {
			counts[q.account]++
		}
	}
	return slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}

// SummarizeAccount returns the summary of an account's requests.
func (r *Report) SummarizeAccount(account string) Summary {
	return r.summarizeIf(func(q *request) bool { return q.account == account })
}

func (r *Report) summarizeIf(belongs func(*request) bool) Summary {
	s := Summary{refused: make(map[string]int)}
	for _, q := range r.requests {
		if belongs(q) {
			s.add(q)
		}
	}
	return s
}

func (s *Summary) add(q *request) {
	s.requests++
	value := q.kind.value(q.prompt)
	s.possible += value
	s.refusalWaits = append(s.refusalWaits, q.refusals...)
	if len(q.refusals) > 0 && q.attempts > 1 {
		s.returned++
		if q.result == resultComplete {
			s.returnedServed++
		}
	}
	if q.firstTokenAt > 0 {
		s.timesToFirstToken = append(s.timesToFirstToken, q.timeToFirstToken())
		s.maxIntervals = append(s.maxIntervals, q.maxInterval)
	}
	switch q.result {
	case resultComplete:
		if q.onTime() {
			s.onTime++
			s.earned += value
			return
		}
		s.late++
		if q.timeToFirstToken() > q.kind.objective {
			s.lateFirstToken++
		} else {
			s.lateInterval++
		}
		s.earned += value * q.kind.lateWorth / q.kind.worth
	case resultRefused:
		s.refused[string(q.reason)]++
	case resultDisconnected:
		s.disconnected++
	case resultDeadline:
		s.deadline++
	}
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) error {
	all := r.Summarize("")
	fmt.Fprintf(out, "placing %s, seed %d, %d servers: %d requests, worth %.3f, worst spans %.3f, %d preempted, %d refused by engines\n",
		r.policy, r.seed, r.workload.servers, all.requests, all.Worth(), r.WorstSpanWorth(), r.preempted, r.rejected)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\trequests\ton time\tlate first\tlate pause\trefused\trefusal p95\treturned\tserved\tleft\tdeadline\tworth\tfirst p50\tp95\tpause p95\t")
	for _, k := range r.workload.kinds {
		r.row(table, k.name, r.Summarize(k.name))
		r.row(table, "largest tenth", r.Largest(k.name, 0.1))
	}
	for _, account := range r.Accounts() {
		r.row(table, "account "+account, r.SummarizeAccount(account))
	}
	return table.Flush()
}

func (r *Report) row(out io.Writer, name string, s Summary) {
	fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%d\t%d\t%d\t%d\t%.3f\t%v\t%v\t%v\t\n", name, s.requests, s.onTime, s.lateFirstToken, s.lateInterval, s.Refused(),
		s.RefusalWait(0.95).Round(time.Millisecond), s.returned, s.returnedServed, s.disconnected, s.deadline,
		s.Worth(), s.TimeToFirstToken(0.5).Round(time.Millisecond), s.TimeToFirstToken(0.95).Round(time.Millisecond), s.MaxTokenInterval(0.95).Round(time.Millisecond))
}

// PrintMean writes the means of several reports of one workload and policy.
func PrintMean(out io.Writer, reports []*Report) error {
	if len(reports) == 0 {
		return nil
	}
	worth, worst := 0.0, 0.0
	for _, r := range reports {
		worth += r.Summarize("").Worth() / float64(len(reports))
		worst += r.WorstSpanWorth() / float64(len(reports))
	}
	_, err := fmt.Fprintf(out, "placing %s, mean of %d seeds: worth %.3f, worst spans %.3f", reports[0].policy, len(reports), worth, worst)
	if err != nil {
		return err
	}
	for _, k := range reports[0].workload.kinds {
		of, largest := 0.0, 0.0
		for _, r := range reports {
			of += r.Summarize(k.name).Worth() / float64(len(reports))
			largest += r.Largest(k.name, 0.1).Worth() / float64(len(reports))
		}
		if _, err := fmt.Fprintf(out, ", %s %.3f (largest tenth %.3f)", k.name, of, largest); err != nil {
			return err
		}
	}
	for _, account := range reports[0].Accounts() {
		worth := 0.0
		for _, r := range reports {
			worth += r.SummarizeAccount(account).Worth() / float64(len(reports))
		}
		if _, err := fmt.Fprintf(out, ", account %s %.3f", account, worth); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out)
	return err
}
