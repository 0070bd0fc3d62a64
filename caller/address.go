package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// emptyAnswerTTL is how long a caller may cache an address response that names
// no entry or has no prefix for request IDs.
const emptyAnswerTTL = time.Second

type addressResponse struct {
	Address         string   `json:"address"`
	Alternates      []string `json:"alternates"`
	KeepFor         string   `json:"keep_for"`
	RequestIDPrefix string   `json:"request_id_prefix,omitempty"`
}

// address returns which entry to use, for how long, and the prefix for the
// request IDs of non-idempotent calls.
func (s *Server) address(q *request) {
	entries, keepFor := q.snapshot.Addresses(q.r.URL.Query().Get("failure_domain"))
	if len(entries) == 0 {
		q.fail(newFailure(http.StatusServiceUnavailable, OutcomeNotRun, ReasonNoServer,
			"no entry takes callers").withRetryAfter(emptyAnswerTTL))
		return
	}
	if s.tracker.isDraining() {
		keepFor = emptyAnswerTTL // The prefix must come from the entry that is named.
	}
	response := addressResponse{
		Address:    entries[0].Address(),
		Alternates: make([]string, 0, len(entries)-1),
		KeepFor:    min(keepFor, epochLength).String(),
	}
	for _, entry := range entries[1:] {
		response.Alternates = append(response.Alternates, entry.Address())
	}
	if !s.tracker.isDraining() {
		response.RequestIDPrefix = s.callIDPrefix(q.snapshot.Self())
	}
	q.writeJSON(response)
}

type modelsResponse struct {
	Object string          `json:"object"`
	Data   []modelResponse `json:"data"`
}

type modelResponse struct {
	ID           string `json:"id"`
	Object       string `json:"object"`
	OwnedBy      string `json:"owned_by"`
	PromptTokens int    `json:"prompt_tokens"`
	AnswerTokens int    `json:"answer_tokens"`
}

// models lists the models that the account may use.
func (s *Server) models(q *request) {
	response := modelsResponse{Object: "list", Data: []modelResponse{}}
	for _, a := range q.identity.services {
		for _, m := range a.document.Models() {
			response.Data = append(response.Data, modelResponse{
				ID: m.Name(), Object: "model", OwnedBy: a.document.Team(),
				PromptTokens: m.PromptTokens(), AnswerTokens: m.AnswerTokens(),
			})
		}
	}
	q.writeJSON(response)
}

func (q *request) writeJSON(value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // Strings and numbers always marshal.
	}
	q.writeResponse(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, text)
}

// writeResponse writes a whole response and returns why the caller did not
// receive it, nil if it did.
func (q *request) writeResponse(status int, header http.Header, body []byte) *Failure {
	h := q.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerRequestID, q.id)
	q.extendWriteDeadline()
	q.w.WriteHeader(status)
	return q.write(body)
}
