package caller

import (
	"context"
	"net/http"

	"greengagedock.example/backend"
	"greengagedock.example/quarantine"
	"greengagedock.example/registry"
)

// completions handles completion requests whose prompt is in the named field.
func (s *Server) completions(promptField string) endpoint {
	return func(q *request) {
		if !s.tracker.begin() {
			q.fail(draining)
			return
		}
		defer s.tracker.end()
		body, release, failure := q.readBody(q.maxCompletionBody())
		if failure != nil {
			q.fail(failure)
			return
		}
		defer release()
		params, failure := parseCompletion(body, promptField)
		if failure != nil {
			q.fail(failure)
			return
		}
		q.complete(params, body)
	}
}

// complete finds the service that has the model, admits the request and runs
// it.
func (q *request) complete(params completionParams, body []byte) {
	found, model, ok := q.identity.model(params.model)
	if !ok {
		q.fail(newFailure(http.StatusNotFound, OutcomeNotRun, ReasonNotFound, "the account has no model %q", params.model))
		return
	}
	q.access = found
	q.model = model.Name()
	cost, failure := modelCost(params, model)
	if failure != nil {
		q.fail(failure)
		return
	}
	now := q.server.timers.Now()
	if failure := q.server.accountLimiter.admit(now, found.key(), found.account, cost.Tokens()); failure != nil {
		q.fail(failure)
		return
	}
	q.server.accountBudgets.credit(found.key())
	failure = q.runCompletion(params, model, cost, body)
	q.server.accountLimiter.release(found.key(), unusedTokens(cost, q.tokens, failure))
}

// unusedTokens returns the tokens of the cost that a request did not use: all
// of them if it has not run.
func unusedTokens(cost backend.Cost, answerTokens int, failure *Failure) int {
	if failure != nil && failure.outcome == OutcomeNotRun {
		return cost.Tokens()
	}
	return cost.Answer() - answerTokens
}

// runCompletion runs the request until its deadline and writes the response. It
// returns nil if the response was whole.
func (q *request) runCompletion(params completionParams, model registry.Model, cost backend.Cost, body []byte) *Failure {
	deadline := q.deadline(model.Deadline())
	ctx, cancel := context.WithDeadline(q.r.Context(), deadline)
	defer cancel()
	workload := backend.NewWorkload(q.access.document.Service(), model.Name())
	e := &execution{
		request:     q,
		workload:    workload,
		cost:        cost,
		prefix:      params.prefixHash,
		deadline:    deadline,
		body:        body,
		method:      http.MethodPost,
		path:        q.r.URL.Path,
		header:      http.Header{"Content-Type": {"application/json"}},
		idempotent:  true,
		delivery:    q.newDelivery(params.stream),
		fingerprint: quarantine.NewFingerprint(q.access.account.Name(), http.MethodPost, q.access.document.Service(), q.r.URL.Path, "", body),
	}
	failure := e.runOnServers(ctx)
	e.sendFailure(failure)
	q.log(failure)
	return failure
}

func (q *request) newDelivery(stream bool) delivery {
	if stream {
		return &streamDelivery{request: q, flushed: true}
	}
	return &completionDelivery{request: q}
}

// modelCost returns the tokens that the request may take of a server, or a
// failure if they exceed the limits of the model.
func modelCost(params completionParams, model registry.Model) (backend.Cost, *Failure) {
	prompt := params.promptTokens()
	if prompt > model.PromptTokens() {
		return backend.Cost{}, newFailure(http.StatusRequestEntityTooLarge, OutcomeNotRun, ReasonTooLarge,
			"the prompt has %d tokens, %s takes %d", prompt, model.Name(), model.PromptTokens())
	}
	answer := params.maxTokens
	if answer == 0 {
		answer = model.AnswerTokens()
	}
	if answer > model.AnswerTokens() {
		return backend.Cost{}, badRequest("max_tokens is %d, %s answers with %d", answer, model.Name(), model.AnswerTokens())
	}
	return backend.NewCost(prompt, answer), nil
}
