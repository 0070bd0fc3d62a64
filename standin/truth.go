package standin

import (
	"encoding/json"
	"maps"
)

// Stats is what really happened at a stand-in since it was made, over all its incarnations.
type Stats struct {
	body truthBody
}

type truthBody struct {
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

	peakCold Load
	peakWarm Load
}

// snapshot returns the truth of now; p.mu is held.
func (p *process) snapshot() Stats {
	body := p.truth
	body.ColdPeakRequests, body.ColdPeakTokens = body.peakCold.requests, body.peakCold.tokens
	body.WarmPeakRequests, body.WarmPeakTokens = body.peakWarm.requests, body.peakWarm.tokens
	body.ColdRequests, body.ColdTokens = p.cold.requests, p.cold.tokens
	body.WarmRequests, body.WarmTokens = p.warm.requests, p.warm.tokens
	body.Requests = p.load.requests
	body.Runs = maps.Clone(body.Runs)
	body.BodyRuns = maps.Clone(body.BodyRuns)
	return Stats{body: body}
}

// ColdPeak returns the greatest load at once while cold, that which made it fall over included.
func (t Stats) ColdPeak() Load { return t.body.peakCold }

// WarmPeak returns the greatest load at once while warm.
func (t Stats) WarmPeak() Load { return t.body.peakWarm }

// Overloads returns how often the server fell over because it was cold.
func (t Stats) Overloads() int { return t.body.Overloads }

// Refused returns how many requests were refused because the server was full.
func (t Stats) Refused() int { return t.body.Refused }

// Requests returns the number of requests that are held now.
func (t Stats) Requests() int { return t.body.Requests }

// UsedTokens returns the KV memory that streams, exports and imports hold now, in tokens.
func (t Stats) UsedTokens() int { return t.body.UsedTokens }

// CachedTokens returns the KV memory that only the prefix cache holds now, in tokens.
func (t Stats) CachedTokens() int { return t.body.CachedTokens }

// PrefilledTokens returns the prompt tokens worked on.
func (t Stats) PrefilledTokens() int { return t.body.Prefilled }

// ReusedTokens returns the prompt tokens that the prefix cache saved.
func (t Stats) ReusedTokens() int { return t.body.Reused }

// ProducedTokens returns the answer tokens produced.
func (t Stats) ProducedTokens() int { return t.body.Produced }

// CancelledTokens returns the answer tokens produced for requests that did not finish.
func (t Stats) CancelledTokens() int { return t.body.Cancelled }

// Answers returns the number of whole answers.
func (t Stats) Answers() int { return t.body.Answers }

// Runs returns how often work with the request id was started.
func (t Stats) Runs(id string) int { return t.body.Runs[id] }

// BodyRuns returns how often work with the request body was started.
func (t Stats) BodyRuns(body string) int { return t.body.BodyRuns[Sum(body).String()] }

// MaxRuns returns how often the request id, and the request body, that was started most often was started.
func (t Stats) MaxRuns() (id, body int) {
	for _, n := range t.body.Runs {
		id = max(id, n)
	}
	for _, n := range t.body.BodyRuns {
		body = max(body, n)
	}
	return id, body
}

// MarshalJSON returns the body of GET /truth.
func (t Stats) MarshalJSON() ([]byte, error) { return json.Marshal(t.body) }
