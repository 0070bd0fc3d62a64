package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// sizeClass is a row of the table: the prompts up to a length in tokens.
type sizeClass struct {
	name      string
	maxTokens int
}

var sizeClasses = []sizeClass{
	{"1k to 4k", 4_000},
	{"4k to 32k", 32_000},
	{"32k to 100k", 100_000},
	{"100k to 300k", 300_000},
	{"300k to 1M", maxPromptTokens},
}

// serviceCallClass is the row of calls to a plain service.
const serviceCallClass = "plain calls"

func (j job) class() string {
	if j.isServiceCall {
		return serviceCallClass
	}
	i := slices.IndexFunc(sizeClasses, func(c sizeClass) bool { return j.promptTokens <= c.maxTokens })
	return sizeClasses[i].name
}

// table collects the results of the requests.
type table struct {
	mu      sync.Mutex
	results []result
}

func (t *table) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// err returns errBadAnswers if an answer was wrong, cut or lost.
func (t *table) err() error {
	bad := func(r result) bool { return slices.Contains(failingVerdicts, r.verdict) }
	if slices.ContainsFunc(t.results, bad) {
		return errBadAnswers
	}
	return nil
}

// allWhole reports whether there are results and all requests got their answers.
func (t *table) allWhole() bool {
	notWhole := func(r result) bool { return r.verdict != verdictWhole }
	return len(t.results) > 0 && !slices.ContainsFunc(t.results, notWhole)
}

type rowBody struct {
	Prompts  string          `json:"prompts"`
	Count    int             `json:"count"`
	FirstP50 float64         `json:"first_p50_ms"`
	FirstP95 float64         `json:"first_p95_ms"`
	TotalP50 float64         `json:"total_p50_ms"`
	TotalP95 float64         `json:"total_p95_ms"`
	Verdicts map[verdict]int `json:"verdicts"`
	Reasons  map[string]int  `json:"reasons"`
}

// rows returns a row for each class with requests.
func (t *table) rows() []rowBody {
	var rows []rowBody
	for _, class := range sizeClasses {
		rows = append(rows, t.row(class.name))
	}
	rows = append(rows, t.row(serviceCallClass))
	return slices.DeleteFunc(rows, func(r rowBody) bool { return r.Count == 0 })
}

func (t *table) row(class string) rowBody {
	row := rowBody{Prompts: class, Verdicts: make(map[verdict]int), Reasons: make(map[string]int)}
	var first, total []time.Duration
	for _, r := range t.results {
		if r.job.class() != class {
			continue
		}
		row.Count++
		row.Verdicts[r.verdict]++
		if r.verdict == verdictWhole {
			first, total = append(first, r.timeToFirstToken), append(total, r.totalTime)
			continue
		}
		row.Reasons[fmt.Sprintf("%s: %s", r.verdict, r.reason)]++
	}
	row.FirstP50, row.FirstP95 = percentile(first, 50), percentile(first, 95)
	row.TotalP50, row.TotalP95 = percentile(total, 50), percentile(total, 95)
	return row
}

// percentile returns a percentile of the times, in milliseconds; it sorts times.
func percentile(times []time.Duration, percent int) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[(len(times)-1)*percent/100].Microseconds()) / 1000
}

// write prints the table as text or JSON.
func (t *table) write(w io.Writer, asJSON bool) error {
	rows := t.rows()
	if asJSON {
		return json.NewEncoder(w).Encode(rows)
	}
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tab, "prompt tokens\tcount\tfirst p50\tfirst p95\ttotal p50\ttotal p95\t")
	for _, v := range verdicts {
		fmt.Fprintf(tab, "%s\t", v)
	}
	for _, r := range rows {
		fmt.Fprintf(tab, "\n%s\t%d\t%.0f ms\t%.0f ms\t%.0f ms\t%.0f ms\t",
			r.Prompts, r.Count, r.FirstP50, r.FirstP95, r.TotalP50, r.TotalP95)
		for _, v := range verdicts {
			fmt.Fprintf(tab, "%d\t", r.Verdicts[v])
		}
	}
	fmt.Fprintln(tab)
	if err := tab.Flush(); err != nil {
		return err
	}
	return writeReasons(w, rows)
}

func writeReasons(w io.Writer, rows []rowBody) error {
	var lines []string
	for _, row := range rows {
		for reason, n := range row.Reasons {
			lines = append(lines, fmt.Sprintf("%s: %s: %d\n", row.Prompts, reason, n))
		}
	}
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}
