package gateway

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"greengagedock.example/ingress"
	"greengagedock.example/routing"
)

const (
	// mostLatency is the longest time that the histograms hold.
	mostLatency = time.Minute
	// latencyDigits is the precision of the histograms in decimal digits.
	latencyDigits = 2
)

// metrics counts what became of requests and how long they took.
type metrics struct {
	mu      sync.Mutex
	results map[string]int64
	first   map[string]*hdrhistogram.Histogram
	total   map[string]*hdrhistogram.Histogram
}

// Ended counts a request.
func (m *metrics) Ended(kind routing.Kind, result ingress.Result, first, total time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.results == nil {
		m.results = make(map[string]int64)
		m.first = make(map[string]*hdrhistogram.Histogram)
		m.total = make(map[string]*hdrhistogram.Histogram)
	}
	m.results[string(kind)+"_"+string(result)]++
	if first > 0 {
		recordTime(m.first, string(kind), first)
	}
	recordTime(m.total, string(kind), total)
}

func recordTime(histograms map[string]*hdrhistogram.Histogram, name string, d time.Duration) {
	h := histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, mostLatency.Microseconds(), latencyDigits)
		histograms[name] = h
	}
	// The value is within the bounds, so that recording can't fail.
	_ = h.RecordValue(min(max(1, d.Microseconds()), mostLatency.Microseconds()))
}

// quantiles are the times of a histogram in milliseconds.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func quantilesOf(histograms map[string]*hdrhistogram.Histogram) map[string]quantiles {
	out := make(map[string]quantiles)
	for name, h := range histograms {
		out[name] = quantiles{
			Count: h.TotalCount(),
			P50:   float64(h.ValueAtQuantile(50)) / 1000,
			P95:   float64(h.ValueAtQuantile(95)) / 1000,
			P99:   float64(h.ValueAtQuantile(99)) / 1000,
			Max:   float64(h.Max()) / 1000,
		}
	}
	return out
}

// handler serves the metrics as one JSON object of expvar variables.
func (m *metrics) handler(more func() map[string]any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		values := map[string]any{
			"requests": m.results, "first": quantilesOf(m.first), "total": quantilesOf(m.total),
		}
		m.mu.Unlock()
		for name, value := range more() {
			values[name] = value
		}
		expvar.Do(func(v expvar.KeyValue) { values[v.Key] = json.RawMessage(v.Value.String()) })
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(values) // the reader is gone if this fails
	})
	return mux
}
