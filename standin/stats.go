package standin

import (
	"encoding/json"
	"maps"
)

// Stats holds the counters of a simulated backend server since its creation, over all its
// incarnations. Tests compare them with what the gateway reports.
type Stats struct {
	body statsBody
}

type statsBody struct {
	ColdPeakRequests int            `json:"cold_peak_requests"`
	ColdPeakTokens   int            `json:"cold_peak_tokens"`
	ColdRequests     int            `json:"cold_requests"`
	ColdTokens       int            `json:"cold_tokens"`
	WarmPeakRequests int            `json:"warm_peak_requests"`
	WarmPeakTokens   int            `json:"warm_peak_tokens"`
	WarmRequests     int            `json:"warm_requests"`
	WarmTokens       int            `json:"warm_tokens"`
	Overloads        int            `json:"overload_total"`
	Refused          int            `json:"refused_total"`
	Requests         int            `json:"requests"`
	UsedTokens       int            `json:"used_tokens"`
	CachedTokens     int            `json:"cached_tokens"`
	Prefilled        int            `json:"tokens_prefilled"`
	Reused           int            `json:"tokens_reused"`
	Produced         int            `json:"tokens_produced"`
	Cancelled        int            `json:"tokens_cancelled"`
	Answers          int            `json:"answer_total"`
	Role             string         `json:"role,omitempty"`
	Runs             map[string]int `json:"runs"`
	BodyRuns         map[string]int `json:"body_runs"`

	coldPeak Load
	warmPeak Load
}

// snapshot returns the current counters; p.mu is held.
func (p *process) snapshot() Stats {
	body := p.stats
	body.ColdPeakRequests, body.ColdPeakTokens = body.coldPeak.requests, body.coldPeak.tokens
	body.WarmPeakRequests, body.WarmPeakTokens = body.warmPeak.requests, body.warmPeak.tokens
	body.ColdRequests, body.ColdTokens = p.coldLimit.requests, p.coldLimit.tokens
	body.WarmRequests, body.WarmTokens = p.warmLimit.requests, p.warmLimit.tokens
	body.Requests = p.load.requests
	body.Runs = maps.Clone(body.Runs)
	body.BodyRuns = maps.Clone(body.BodyRuns)
	return Stats{body: body}
}

// ColdPeak returns the peak load while cold, including the load that caused a crash.
func (s Stats) ColdPeak() Load { return s.body.coldPeak }

// WarmPeak returns the peak load while warm.
func (s Stats) WarmPeak() Load { return s.body.warmPeak }

// Overloads returns how often the server crashed from overload while cold.
func (s Stats) Overloads() int { return s.body.Overloads }

// Refused returns how many requests were refused because the server was full.
func (s Stats) Refused() int { return s.body.Refused }

// Requests returns the current number of requests.
func (s Stats) Requests() int { return s.body.Requests }

// UsedTokens returns the KV memory now held by streams, exports, imports and reservations, in tokens.
func (s Stats) UsedTokens() int { return s.body.UsedTokens }

// CachedTokens returns the KV memory now held by the prefix cache only, in tokens.
func (s Stats) CachedTokens() int { return s.body.CachedTokens }

// PrefilledTokens returns the number of prompt tokens processed.
func (s Stats) PrefilledTokens() int { return s.body.Prefilled }

// ReusedTokens returns the number of prompt tokens taken from the prefix cache.
func (s Stats) ReusedTokens() int { return s.body.Reused }

// ProducedTokens returns the number of answer tokens generated.
func (s Stats) ProducedTokens() int { return s.body.Produced }

// CancelledTokens returns the number of answer tokens generated for requests that did not finish.
func (s Stats) CancelledTokens() int { return s.body.Cancelled }

// Answers returns the number of completed answers.
func (s Stats) Answers() int { return s.body.Answers }

// Runs returns how often a request with the ID was started.
func (s Stats) Runs(id string) int { return s.body.Runs[id] }

// BodyRuns returns how often a request with the body was started.
func (s Stats) BodyRuns(body string) int { return s.body.BodyRuns[Sum(body).String()] }

// MaxRuns returns the maximum number of starts of any request ID, and of any request body.
func (s Stats) MaxRuns() (id, body int) {
	for _, n := range s.body.Runs {
		id = max(id, n)
	}
	for _, n := range s.body.BodyRuns {
		body = max(body, n)
	}
	return id, body
}

// MarshalJSON returns the body of GET /truth.
func (s Stats) MarshalJSON() ([]byte, error) { return json.Marshal(s.body) }
