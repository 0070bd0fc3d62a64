package caller

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"greengagedock.example/backend"
	"greengagedock.example/quarantine"
	"greengagedock.example/registry"
)

const servicePath = "/v1/services/"

// plainCall is a call of a plain service.
type plainCall struct {
	call   registry.Call
	listed bool
	// path is the path below the service, with the query.
	path string
}

// service handles calls of plain services.
func (s *Server) service(q *request) {
	found, ok := q.identity.service(q.r.PathValue("service"))
	if !ok {
		q.fail(q.undecidedFailure(newFailure(http.StatusNotFound, OutcomeNotRun, ReasonNotFound, "the account has no such service")))
		return
	}
	q.access = found
	call := findCall(found.document, q.r)
	if call.listed && call.call.Repeatable() {
		s.serveIdempotent(q, call)
		return
	}
	s.serveNonIdempotent(q, call)
}

// findCall returns the call as the service's document lists it.
func findCall(document *registry.Document, r *http.Request) plainCall {
	_, below, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePath), "/")
	found := plainCall{path: "/" + below}
	for _, call := range document.Calls() {
		if call.Method() == r.Method && matchesPath(call.Path(), found.path) {
			found.call = call
			found.listed = true
		}
	}
	if r.URL.RawQuery != "" {
		found.path += "?" + r.URL.RawQuery
	}
	return found
}

// matchesPath reports whether the path matches the document's, in which a
// segment in braces matches any one segment.
func matchesPath(document, path string) bool {
	patternSegments := strings.Split(strings.TrimPrefix(document, "/"), "/")
	pathSegments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	return slices.EqualFunc(patternSegments, pathSegments, func(pattern, segment string) bool {
		wildcard := strings.HasPrefix(pattern, "{") && strings.HasSuffix(pattern, "}")
		return pattern == segment || wildcard && isSingleSegment(segment)
	})
}

// isSingleSegment reports whether an escaped segment is still one ordinary
// segment after a server unescapes it.
func isSingleSegment(escaped string) bool {
	segment, err := url.PathUnescape(escaped)
	return err == nil && segment != "" && segment != "." && segment != ".." && !strings.ContainsAny(segment, `/\`)
}

// serveIdempotent runs a call that may be sent more than once.
func (s *Server) serveIdempotent(q *request, call plainCall) {
	if !s.tracker.begin() {
		q.fail(draining)
		return
	}
	defer s.tracker.end()
	response, failure := q.callService(call, true)
	if failure != nil {
		q.endWithFailure(failure)
		return
	}
	q.writePlain(response)
}

// writePlain writes the response of a plain service and logs whether the caller
// received it.
func (q *request) writePlain(response *plainResponse) {
	q.log(q.writeResponse(response.status, response.header, response.body))
}

// endWithFailure writes the failure unless the caller has left.
func (q *request) endWithFailure(f *Failure) {
	if f.status == statusClientClosed {
		q.log(f)
		return
	}
	q.fail(f)
}

// callService runs a call and returns its response.
func (q *request) callService(call plainCall, idempotent bool) (*plainResponse, *Failure) {
	if !call.listed {
		return nil, unknownCall
	}
	body, release, failure := q.readBody(q.server.limits.MaxBody())
	if failure != nil {
		return nil, failure
	}
	defer release()
	tokens := (len(body) + bytesPerToken - 1) / bytesPerToken
	key := q.access.key()
	if failure := q.server.accountLimiter.admit(q.server.timers.Now(), key, q.access.account, tokens); failure != nil {
		return nil, failure
	}
	defer q.server.accountLimiter.release(key, 0)
	q.server.accountBudgets.credit(key)
	return q.sendCall(call, body, idempotent)
}

func (q *request) sendCall(call plainCall, body []byte, idempotent bool) (*plainResponse, *Failure) {
	deadline := q.deadline(call.call.Deadline())
	ctx, cancel := context.WithDeadline(q.r.Context(), deadline)
	defer cancel()
	plain := &plainDelivery{request: q}
	e := &execution{
		request:     q,
		workload:    backend.NewWorkload(q.access.document.Service(), ""),
		deadline:    deadline,
		body:        body,
		method:      q.r.Method,
		path:        call.path,
		header:      filterHeader(q.r.Header),
		idempotent:  idempotent,
		delivery:    plain,
		fingerprint: quarantine.NewFingerprint(q.access.account.Name(), q.r.Method, q.access.document.Service(), call.path, "", body),
	}
	if failure := e.run(ctx); failure != nil {
		return nil, failure
	}
	return plain.response, nil
}

// forwardedHeaders are the headers that are passed on between callers and plain
// services.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Cache-Control", "Content-Encoding", "Content-Language",
	"Content-Type", "Etag", "If-Match", "If-None-Match", "Last-Modified", "Location", "Retry-After", "Vary",
}

func filterHeader(header http.Header) http.Header {
	filtered := make(http.Header)
	for _, name := range forwardedHeaders {
		if values := header[name]; len(values) > 0 {
			filtered[name] = values
		}
	}
	return filtered
}
