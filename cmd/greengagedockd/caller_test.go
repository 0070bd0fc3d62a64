package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
)

// client is the HTTP client of callers. It opens a connection for each request,
// so that no result depends on a connection that an earlier request left open.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// addressAnswer is the response of /v1/address.
type addressAnswer struct {
	Address string `json:"address"`
	Prefix  string `json:"request_id_prefix"`
}

// failureAnswer is the response to a request that was refused or failed.
type failureAnswer struct {
	Error struct {
		Outcome    string `json:"outcome"`
		Reason     string `json:"reason"`
		RetryAfter string `json:"come_back"`
	} `json:"error"`
}

// request sends a request with the account's key.
func (s *system) request(ctx context.Context, method, address, path, id, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+account)
	if id != "" {
		r.Header.Set("X-Request-Id", id)
	}
	return client.Do(r)
}

// addressAt asks a daemon for the address that callers in a failure domain should
// use; the answer is empty if it gives none.
func (s *system) addressAt(d *daemon, domain string) addressAnswer {
	var answer addressAnswer
	response, err := s.request(s.c.Context(), http.MethodGet, d.callers, "/v1/address?failure_domain="+domain, "", "")
	if err != nil {
		return answer
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return answer
}

// post sends a daemon a short completion request and returns the status, 0 for
// no response, and the failure, if any.
func (s *system) post(d *daemon, id, prompt string) (int, failureAnswer) {
	var failure failureAnswer
	body := fmt.Sprintf(`{"model": "strip-1", "prompt": %q, "max_tokens": 4}`, prompt)
	response, err := s.request(s.c.Context(), http.MethodPost, d.callers, "/v1/completions", id, body)
	if err != nil {
		return 0, failure
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&failure)
	return response.StatusCode, failure
}

// callGrants makes a non-idempotent call and returns the status, 0 for no
// response, and the failure, if any.
func (s *system) callGrants(ctx context.Context, address, id, body string) (int, failureAnswer) {
	var failure failureAnswer
	response, err := s.request(ctx, http.MethodPost, address, "/v1/services/licensing/grants", id, body)
	if err != nil {
		return 0, failure
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&failure)
	return response.StatusCode, failure
}

// streamEnd is how a streamed answer ended.
type streamEnd string

const (
	endWhole streamEnd = "whole"
	endError streamEnd = "error"
	endCut   streamEnd = "cut"
)

// stream is a streamed answer that has begun.
type stream struct{ ended chan streamEnd }

// openStreams opens count long streams at a daemon and waits for each one's first token.
func (s *system) openStreams(d *daemon, count int) []*stream {
	var streams []*stream
	for i := range count {
		body := fmt.Sprintf(`{"model": "strip-1", "prompt": "archive %d", "max_tokens": 1500, "stream": true}`, i)
		response, err := s.request(s.c.Context(), http.MethodPost, d.callers, "/v1/completions", "", body)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		lines := bufio.NewReader(response.Body)
		_, err = lines.ReadString('\n')
		s.c.Assert(err, qt.IsNil)
		st := &stream{ended: make(chan streamEnd, 1)}
		go func() {
			defer response.Body.Close()
			st.ended <- readStream(lines)
		}()
		streams = append(streams, st)
	}
	return streams
}

// readStream reads a stream to its end and returns how it ended.
func readStream(lines *bufio.Reader) streamEnd {
	for {
		line, err := lines.ReadString('\n')
		switch {
		case strings.HasPrefix(line, "data: [DONE]"):
			return endWhole
		case strings.HasPrefix(line, "event: error"):
			_, _ = io.Copy(io.Discard, lines)
			return endError
		case err != nil:
			return endCut
		}
	}
}

// end waits for the stream's end and returns how it ended, "none" on timeout.
func (st *stream) end() streamEnd {
	select {
	case end := <-st.ended:
		return end
	case <-time.After(awaitTimeout):
		return "none"
	}
}
