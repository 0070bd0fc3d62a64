package caller

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

const servicePath = "/v1/services/"

// plainCall is a caller's call of a plain service.
type plainCall struct {
	call   registry.Call
	listed bool
	// path is the path below the service, with the query.
	path string
}

// service answers the calls of plain services.
func (s *Server) service(q *request) {
	found, ok := q.who.service(q.r.PathValue("service"))
	if !ok {
		q.fail(q.truthful(newFailure(http.StatusNotFound, OutcomeNotRun, ReasonNotFound, "the account has no such service")))
		return
	}
	q.access = found
	call := findCall(found.document, q.r)
	if call.listed && call.call.Repeatable() {
		s.repeatable(q, call)
		return
	}
	s.nonRepeatable(q, call)
}

// findCall finds the call in the service's document.
func findCall(document *registry.Document, r *http.Request) plainCall {
	_, below, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePath), "/")
	found := plainCall{path: "/" + below}
	for _, call := range document.Calls() {
		if call.Method() == r.Method && samePath(call.Path(), found.path) {
			found.call = call
			found.listed = true
		}
	}
	if r.URL.RawQuery != "" {
		found.path += "?" + r.URL.RawQuery
	}
	return found
}

// samePath reports whether the path fits the document's, in which a segment
// in braces stands for any one segment.
func samePath(document, path string) bool {
	want := strings.Split(strings.TrimPrefix(document, "/"), "/")
	have := strings.Split(strings.TrimPrefix(path, "/"), "/")
	return slices.EqualFunc(want, have, func(w, h string) bool {
		wildcard := strings.HasPrefix(w, "{") && strings.HasSuffix(w, "}")
		return w == h || wildcard && oneSegment(h)
	})
}

// oneSegment reports whether the escaped segment stays one segment and the
// same when a server unescapes it.
func oneSegment(escaped string) bool {
	segment, err := url.PathUnescape(escaped)
	return err == nil && segment != "" && segment != "." && segment != ".." && !strings.ContainsAny(segment, `/\`)
}

// repeatable carries out a call that may run more than once.
func (s *Server) repeatable(q *request, call plainCall) {
	if !s.open.enter() {
		q.fail(draining)
		return
	}
	defer s.open.leave()
	answer, failure := q.call(call, true)
	if failure != nil {
		q.end(failure)
		return
	}
	q.reply(answer)
}

// reply answers with a plain service's answer and logs whether its caller took it.
func (q *request) reply(answer *plainAnswer) {
	q.log(q.answer(answer.status, answer.header, answer.body))
}

// end answers with the failure unless the caller is gone.
func (q *request) end(f *Failure) {
	if f.status == statusClientClosed {
		q.log(f)
		return
	}
	q.fail(f)
}

// call carries out a call and returns its answer.
func (q *request) call(call plainCall, repeatable bool) (*plainAnswer, *Failure) {
	if !call.listed {
		return nil, noCall
	}
	body, release, failure := q.readBody(q.server.limits.MaxBody())
	if failure != nil {
		return nil, failure
	}
	defer release()
	tokens := (len(body) + bytesPerToken - 1) / bytesPerToken
	key := q.access.key()
	if failure := q.server.usages.open(q.server.timers.Now(), key, q.access.account, tokens); failure != nil {
		return nil, failure
	}
	defer q.server.usages.close(key, 0)
	q.server.accountBudgets.earn(key)
	return q.send(call, body, repeatable)
}

func (q *request) send(call plainCall, body []byte, repeatable bool) (*plainAnswer, *Failure) {
	deadline := q.deadline(call.call.Deadline())
	ctx, cancel := context.WithDeadline(q.r.Context(), deadline)
	defer cancel()
	kept := &plainDelivery{request: q}
	e := &execution{
		request:    q,
		work:       backend.NewWorkload(q.access.document.Service(), ""),
		deadline:   deadline,
		body:       body,
		method:     q.r.Method,
		path:       call.path,
		header:     passedHeader(q.r.Header),
		repeatable: repeatable,
		delivery:   kept,
	}
	if failure := e.run(ctx); failure != nil {
		return nil, failure
	}
	return kept.answer, nil
}

// passedHeaders are the headers that pass between callers and plain services.
var passedHeaders = []string{
	"Accept", "Accept-Language", "Cache-Control", "Content-Encoding", "Content-Language",
	"Content-Type", "Etag", "If-Match", "If-None-Match", "Last-Modified", "Location", "Retry-After", "Vary",
}

func passedHeader(header http.Header) http.Header {
	passed := make(http.Header)
	for _, name := range passedHeaders {
		if values := header[name]; len(values) > 0 {
			passed[name] = values
		}
	}
	return passed
}
