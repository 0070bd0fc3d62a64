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
	// maxLatency is the highest value of the histograms; longer times count as it.
	maxLatency = time.Minute
	// latencyDigits is the precision of the histograms in significant decimal digits.
	latencyDigits = 2
)

// metrics counts requests by kind and result and records their latencies by kind.
type metrics struct {
	mu      sync.Mutex
	results map[string]int64
	// first holds the time to first token, total the time to the end of the response.
	first map[string]*hdrhistogram.Histogram
	total map[string]*hdrhistogram.Histogram
}

// Ended records the end of a request; first is 0 for a request without a response.
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
		recordLatency(m.first, string(kind), first)
	}
	recordLatency(m.total, string(kind), total)
}

func recordLatency(histograms map[string]*hdrhistogram.Histogram, name string, d time.Duration) {
	h := histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		histograms[name] = h
	}
	// The value is clamped to the histogram's range, so recording can't fail.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds()))
}

// quantiles is a summary of a histogram, in milliseconds.
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

// handler returns a handler that serves the metrics, the additional gauges and
// the expvar variables as one JSON object.
func (m *metrics) handler(gauges func() map[string]any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		values := map[string]any{
			"requests": m.results, "first": quantilesOf(m.first), "total": quantilesOf(m.total),
		}
		m.mu.Unlock()
		for name, value := range gauges() {
			values[name] = value
		}
		expvar.Do(func(v expvar.KeyValue) { values[v.Key] = json.RawMessage(v.Value.String()) })
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(values) // fails only if the client has disconnected
	})
	return mux
}
