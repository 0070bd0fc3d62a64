package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// worstPart is the part of the spans that counts as the worst.
const worstPart = 0.2

// span is the length of the spans into which a report is cut.
const span = 2 * time.Second

// Report is what came of an experiment.
type Report struct {
	load      Workload
	placing   Policy
	seed      uint64
	requests  []*request
	samples   []sample
	preempted int
	full      int
}

// sample is what the engines and the books had at a moment.
type sample struct {
	at      time.Duration
	waiting int
	memory  int
	// writing counts requests; writers and reading count engines.
	writing int
	writers int
	reading int
	backlog time.Duration
}

func newReport(l Workload, p Policy, seed uint64) *Report {
	return &Report{load: l, placing: p, seed: seed}
}

func (r *Report) began(request *request) { r.requests = append(r.requests, request) }

// Summary is how some requests of an experiment fared.
type Summary struct {
	requests  int
	onTime    int
	late      int
	lateFirst int
	latePause int
	refused   map[string]int
	left      int
	deadline  int
	earned    float64
	possible  float64
	firsts    []time.Duration
	pauses    []time.Duration
}

// Requests returns how many there were.
func (s Summary) Requests() int { return s.requests }

// OnTime returns how many were answered within their objectives.
func (s Summary) OnTime() int { return s.onTime }

// Late returns how many were answered, but not within their objectives.
func (s Summary) Late() int { return s.late }

// Worth returns the part of the possible worth that was earned, 1 without requests.
func (s Summary) Worth() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

// TimeToFirstToken returns a quantile of the time to the first event, from 0 to 1, of
// those that had one.
func (s Summary) TimeToFirstToken(quantile float64) time.Duration {
	return quantileOf(s.firsts, quantile)
}

// MaxTokenInterval returns a quantile of the longest pause of an answer.
func (s Summary) MaxTokenInterval(quantile float64) time.Duration {
	return quantileOf(s.pauses, quantile)
}

func quantileOf(times []time.Duration, quantile float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(quantile*float64(len(sorted)-1)+0.5)]
}

// Summarize returns how the requests of a kind fared, all kinds if the name is empty.
func (r *Report) Summarize(kind string) Summary {
	return r.serve(func(q *request) bool { return kind == "" || q.kind.name == kind })
}

// Largest returns how the largest part of a kind's prompts fared, such as 0.1 for a tenth.
func (r *Report) Largest(kind string, part float64) Summary {
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
	least := prompts[int(float64(len(prompts)-1)*(1-part))]
	return r.serve(func(q *request) bool { return q.kind.name == kind && q.prompt >= least })
}

// WorstSpanWorth returns the worth of the worst spans of the load's length together.
func (r *Report) WorstSpanWorth() float64 {
	spans := r.Spans()
	slices.SortFunc(spans, func(a, b Summary) int { return cmp.Compare(a.Worth(), b.Worth()) })
	earned, possible := 0.0, 0.0
	for _, s := range spans[:max(1, int(worstPart*float64(len(spans))))] {
		earned += s.earned
		possible += s.possible
	}
	return Summary{earned: earned, possible: possible}.Worth()
}

// Spans returns how the requests fared that came in each two seconds.
func (r *Report) Spans() []Summary {
	var out []Summary
	for from := time.Duration(0); from < r.load.length; from += span {
		out = append(out, r.serve(func(q *request) bool { return q.arrived >= from && q.arrived < from+span }))
	}
	return out
}

func (r *Report) serve(belongs func(*request) bool) Summary {
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
	if q.first > 0 {
		s.firsts = append(s.firsts, q.firstAfter())
		s.pauses = append(s.pauses, q.pause)
	}
	switch q.result {
	case resultWhole:
		if q.onTime() {
			s.onTime++
			s.earned += value
			return
		}
		s.late++
		if q.firstAfter() > q.kind.objective {
			s.lateFirst++
		} else {
			s.latePause++
		}
		s.earned += value * q.kind.lateWorth / q.kind.worth
	case resultRefused:
		s.refused[string(q.reason)]++
	case resultLeft:
		s.left++
	case resultDeadline:
		s.deadline++
	}
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) error {
	all := r.Summarize("")
	fmt.Fprintf(out, "placing %s, seed %d, %d servers: %d requests, worth %.3f, worst spans %.3f, %d preempted, %d refused by engines\n",
		r.placing, r.seed, r.load.servers, all.requests, all.Worth(), r.WorstSpanWorth(), r.preempted, r.full)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\trequests\ton time\tlate first\tlate pause\trefused\tleft\tdeadline\tworth\tfirst p50\tp95\tpause p95\t")
	for _, k := range r.load.kinds {
		r.row(table, k.name, r.Summarize(k.name))
		r.row(table, "largest tenth", r.Largest(k.name, 0.1))
	}
	return table.Flush()
}

func (r *Report) row(out io.Writer, name string, s Summary) {
	refused := 0
	for _, n := range s.refused {
		refused += n
	}
	fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%v\t%v\t%v\t\n", name, s.requests, s.onTime, s.lateFirst, s.latePause, refused, s.left, s.deadline,
		s.Worth(), s.TimeToFirstToken(0.5).Round(time.Millisecond), s.TimeToFirstToken(0.95).Round(time.Millisecond), s.MaxTokenInterval(0.95).Round(time.Millisecond))
}

// PrintMean writes the means of several reports of one load and placing.
func PrintMean(out io.Writer, reports []*Report) error {
	if len(reports) == 0 {
		return nil
	}
	worth, worst := 0.0, 0.0
	for _, r := range reports {
		worth += r.Summarize("").Worth() / float64(len(reports))
		worst += r.WorstSpanWorth() / float64(len(reports))
	}
	_, err := fmt.Fprintf(out, "placing %s, mean of %d seeds: worth %.3f, worst spans %.3f", reports[0].placing, len(reports), worth, worst)
	if err != nil {
		return err
	}
	for _, k := range reports[0].load.kinds {
		of, largest := 0.0, 0.0
		for _, r := range reports {
			of += r.Summarize(k.name).Worth() / float64(len(reports))
			largest += r.Largest(k.name, 0.1).Worth() / float64(len(reports))
		}
		if _, err := fmt.Fprintf(out, ", %s %.3f (largest tenth %.3f)", k.name, of, largest); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out)
	return err
}
