package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"greengagedock.example/http1"
	"greengagedock.example/registry"
)

const (
	forwardIdleTimeout = 30 * time.Second
	// silencePollInterval is the time between two checks whether an owner is
	// silent.
	silencePollInterval = 250 * time.Millisecond
	// defaultForwardTimeout applies when neither the caller nor the document
	// sets a deadline.
	defaultForwardTimeout = time.Minute
)

// newForwardTransport returns a transport that waits for the owner of a call until
// the call's deadline, or until the owner is silent, since no other entry may run it.
func newForwardTransport() http.RoundTripper {
	return http1.NewTransport(&http.Transport{
		DialContext:        new(net.Dialer).DialContext,
		DisableCompression: true,
		IdleConnTimeout:    forwardIdleTimeout,
	})
}

// forward sends a non-idempotent call to its owner, once. If the owner does not
// respond the outcome is unknown, because an earlier call with the ID may have
// reached it.
func (s *Server) forward(q *request, owner registry.Instance, call plainCall) {
	response, failure := s.sendForward(q, owner, call)
	if failure != nil {
		q.endWithFailure(failure)
		return
	}
	q.writePlain(response)
}

func (s *Server) sendForward(q *request, owner registry.Instance, call plainCall) (*plainResponse, *Failure) {
	s.tracker.addWork()
	defer s.tracker.endWork()
	body, release, failure := q.readBody(s.limits.MaxBody())
	if failure != nil {
		return nil, failure.withOutcome(OutcomeUnknown)
	}
	defer release()
	timeout := call.call.Deadline()
	if timeout <= 0 {
		timeout = defaultForwardTimeout
	}
	deadlineCtx, cancel := context.WithDeadline(q.r.Context(), q.deadline(timeout))
	defer cancel()
	ctx, cancelCall := context.WithCancelCause(deadlineCtx)
	defer cancelCall(nil)
	go s.cancelOnSilence(ctx, owner.ID(), cancelCall)
	request, err := q.forwardRequest(ctx, owner.Address(), body)
	if err != nil {
		return nil, ownerUnreachable
	}
	q.server.log.Info("forwarded", append(q.logArgs(), "server", owner.ID())...)
	response, err := s.forwardTransport.RoundTrip(request)
	if errors.Is(context.Cause(ctx), ownerSilent) {
		return nil, ownerSilent
	}
	if err != nil {
		return nil, ownerUnreachable
	}
	defer response.Body.Close()
	return s.readForwarded(response)
}

// cancelOnSilence cancels a forwarded call when its owner has gone silent. A
// frozen process still accepts connections, but would never respond.
func (s *Server) cancelOnSilence(ctx context.Context, owner string, cancel context.CancelCauseFunc) {
	tick := s.timers.Every(silencePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C():
			if s.snapshots.Snapshot().Silent(owner) {
				cancel(ownerSilent)
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
	request.Header = filterHeader(q.r.Header)
	request.Header.Set("Authorization", q.r.Header.Get("Authorization"))
	request.Header.Set(headerRequestID, q.id)
	request.Header.Set(headerForwardedBy, q.snapshot.Self().Entry())
	deadline, _ := ctx.Deadline()
	request.Header.Set(headerTimeLeft, deadline.Sub(q.server.timers.Now()).String())
	return request, nil
}

// readForwarded reads the owner's whole response.
func (s *Server) readForwarded(response *http.Response) (*plainResponse, *Failure) {
	length := response.ContentLength
	if response.Body == http.NoBody {
		length = 0
	}
	if length < 0 || length > s.limits.MaxAnswer() {
		return nil, ownerUnreachable
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, ownerUnreachable
	}
	return &plainResponse{status: response.StatusCode, header: filterHeader(response.Header), body: body}, nil
}

// bodyReader reads a body that net/http cannot rewind, so that it never sends
// the call a second time by itself.
type bodyReader struct{ body []byte }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.body) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.body)
	r.body = r.body[n:]
	return n, nil
}
