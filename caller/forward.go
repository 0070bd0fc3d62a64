package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"greengagedock.example/registry"
)

const (
	forwardDialTimeout = time.Second
	forwardIdle        = 30 * time.Second
	// silencePoll is the time between two looks at whether a home is silent.
	silencePoll = 250 * time.Millisecond
	// defaultForwardTime bounds a forwarded call that neither caller nor document bounds.
	defaultForwardTime = time.Minute
)

func newForwards() http.RoundTripper {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: forwardDialTimeout}).DialContext,
		DisableCompression: true,
		IdleConnTimeout:    forwardIdle,
	}
}

// forward passes a non-repeatable call on to its home once. If the home gives
// no answer the outcome is unknown, because an earlier try may have reached it.
func (s *Server) forward(q *request, home registry.Instance, call plainCall) {
	answer, failure := s.tryForward(q, home, call)
	if failure != nil {
		q.end(failure)
		return
	}
	q.reply(answer)
}

func (s *Server) tryForward(q *request, home registry.Instance, call plainCall) (*plainAnswer, *Failure) {
	s.open.hold()
	defer s.open.letGo()
	body, release, failure := q.readBody(s.limits.MaxBody())
	if failure != nil {
		return nil, failure.with(OutcomeUnknown)
	}
	defer release()
	limit := call.call.Deadline()
	if limit <= 0 {
		limit = defaultForwardTime
	}
	bounded, cancel := context.WithDeadline(q.r.Context(), q.deadline(limit))
	defer cancel()
	ctx, end := context.WithCancelCause(bounded)
	defer end(nil)
	go s.endOnSilence(ctx, home.ID(), end)
	request, err := q.forwardRequest(ctx, home.Address(), body)
	if err != nil {
		return nil, homeUnreached
	}
	q.server.log.Info("forwarded", append(q.logArgs(), "server", home.ID())...)
	response, err := s.forwards.RoundTrip(request)
	if errors.Is(context.Cause(ctx), homeSilent) {
		return nil, homeSilent
	}
	if err != nil {
		return nil, homeUnreached
	}
	defer response.Body.Close()
	return s.forwarded(response)
}

// endOnSilence ends a forwarded call when its home is no longer heard: one
// that is frozen takes the connection all the same, and would not answer.
func (s *Server) endOnSilence(ctx context.Context, home string, end context.CancelCauseFunc) {
	tick := s.timers.Every(silencePoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C():
			if s.directories.Snapshot().Silent(home) {
				end(homeSilent)
				return
			}
		}
	}
}

func (q *request) forwardRequest(ctx context.Context, address string, body []byte) (*http.Request, error) {
	url := "http://" + address + q.r.URL.RequestURI()
	request, err := http.NewRequestWithContext(ctx, q.r.Method, url, nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(&bodyReader{body: body})
		request.ContentLength = int64(len(body))
	}
	request.Header = passedHeader(q.r.Header)
	request.Header.Set("Authorization", q.r.Header.Get("Authorization"))
	request.Header.Set(headerRequestID, q.id)
	request.Header.Set(headerForwardedBy, q.view.Self().Entry())
	deadline, _ := ctx.Deadline()
	request.Header.Set(headerTimeLeft, deadline.Sub(q.server.timers.Now()).String())
	return request, nil
}

// forwarded returns the home's answer, once it is whole.
func (s *Server) forwarded(response *http.Response) (*plainAnswer, *Failure) {
	length := response.ContentLength
	if response.Body == http.NoBody {
		length = 0
	}
	if length < 0 || length > s.limits.MaxAnswer() {
		return nil, homeUnreached
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, homeUnreached
	}
	return &plainAnswer{status: response.StatusCode, header: passedHeader(response.Header), body: body}, nil
}

// bodyReader reads a body of which net/http makes no second copy by itself.
type bodyReader struct{ body []byte }

// Read reads the next bytes of the body.
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.body) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.body)
	r.body = r.body[n:]
	return n, nil
}
