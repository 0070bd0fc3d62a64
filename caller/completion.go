package caller

import (
	"context"
	"net/http"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// completions answers completions whose prompt stands in the named field.
func (s *Server) completions(promptField string) endpoint {
	return func(q *request) {
		if !s.open.enter() {
			q.fail(draining)
			return
		}
		defer s.open.leave()
		body, release, failure := q.readBody(q.promptLimit())
		if failure != nil {
			q.fail(failure)
			return
		}
		defer release()
		asked, failure := scanCompletion(body, promptField)
		if failure != nil {
			q.fail(failure)
			return
		}
		q.complete(asked, body)
	}
}

// complete finds the service of the model and carries the request out.
func (q *request) complete(asked completion, body []byte) {
	found, model, ok := q.who.model(asked.model)
	if !ok {
		q.fail(newFailure(http.StatusNotFound, OutcomeNotRun, ReasonNotFound, "the account has no model %q", asked.model))
		return
	}
	q.access = found
	q.model = model.Name()
	cost, failure := modelCost(asked, model)
	if failure != nil {
		q.fail(failure)
		return
	}
	now := q.server.timers.Now()
	if failure := q.server.usages.open(now, found.key(), found.account, cost.Tokens()); failure != nil {
		q.fail(failure)
		return
	}
	q.server.accountBudgets.earn(found.key())
	failure = q.execute(asked, model, cost, body)
	q.server.usages.close(found.key(), unused(cost, q.tokens, failure))
}

// unused returns the tokens of the cost that a request did not use: all of
// them if it has not run.
func unused(cost backend.Cost, answered int, failure *Failure) int {
	if failure != nil && failure.outcome == OutcomeNotRun {
		return cost.Tokens()
	}
	return cost.Answer() - answered
}

// execute runs the request until its deadline, answers the caller and returns
// nil if the answer was whole.
func (q *request) execute(asked completion, model registry.Model, cost backend.Cost, body []byte) *Failure {
	deadline := q.deadline(model.Deadline())
	ctx, cancel := context.WithDeadline(q.r.Context(), deadline)
	defer cancel()
	work := backend.NewWorkload(q.access.document.Service(), model.Name())
	e := &execution{
		request:    q,
		work:       work,
		cost:       cost,
		prefix:     asked.prefix,
		deadline:   deadline,
		body:       body,
		method:     http.MethodPost,
		path:       q.r.URL.Path,
		header:     http.Header{"Content-Type": {"application/json"}},
		repeatable: true,
		delivery:   q.delivery(asked.stream),
	}
	failure := e.carry(ctx)
	e.end(failure)
	q.log(failure)
	return failure
}

func (q *request) delivery(stream bool) delivery {
	if stream {
		return &relay{request: q, fresh: true}
	}
	return &wholeAnswer{request: q}
}

// modelCost returns what the request may take of a server, within the model's bounds.
func modelCost(asked completion, model registry.Model) (backend.Cost, *Failure) {
	prompt := asked.promptTokens()
	if prompt > model.PromptTokens() {
		return backend.Cost{}, newFailure(http.StatusRequestEntityTooLarge, OutcomeNotRun, ReasonTooLarge,
			"the prompt has %d tokens, %s takes %d", prompt, model.Name(), model.PromptTokens())
	}
	answer := asked.maxTokens
	if answer == 0 {
		answer = model.AnswerTokens()
	}
	if answer > model.AnswerTokens() {
		return backend.Cost{}, badRequest("max_tokens is %d, %s answers with %d", answer, model.Name(), model.AnswerTokens())
	}
	return backend.NewCost(prompt, answer), nil
}
