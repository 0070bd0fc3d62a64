package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"greengagedock.example/standin"
)

const (
	// maxSendAttempts is the maximum number of addresses tried for a request that has not run.
	maxSendAttempts = 4
	// lostGrace is how long after its deadline a request counts as lost.
	lostGrace = 5 * time.Second
)

// verdict is the outcome of a request, as judged by its caller.
type verdict string

const (
	verdictWhole   verdict = "whole"
	verdictRefused verdict = "refused" // it has not run, according to the error
	verdictFailed  verdict = "failed"  // it may have run, according to the error
	verdictWrong   verdict = "wrong"   // the answer is not that of the request
	verdictCut     verdict = "cut"     // the answer ended without a terminating event or an error
	verdictLost    verdict = "lost"    // no answer came
)

// The verdicts in the order of the table, and those that make the load fail.
var (
	verdicts        = []verdict{verdictWhole, verdictRefused, verdictFailed, verdictWrong, verdictCut, verdictLost}
	failingVerdicts = []verdict{verdictWrong, verdictCut, verdictLost}
)

// result is the outcome of one request and its latencies, counted from when it was due.
type result struct {
	job              job
	verdict          verdict
	reason           string
	timeToFirstToken time.Duration
	totalTime        time.Duration
}

type failureBody struct {
	Error struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
	} `json:"error"`
}

// verdict returns the verdict for an outcome that an entry reports.
func (f failureBody) verdict() verdict {
	switch f.Error.Outcome {
	case "not_run":
		return verdictRefused
	case "ran", "unknown":
		return verdictFailed
	}
	return verdictWrong
}

// send sends a request and retries it at other addresses as long as it has not run.
func (d *driver) send(ctx context.Context, j job) result {
	ctx, cancel := context.WithDeadline(ctx, j.due.Add(d.timeLeft+lostGrace))
	defer cancel()
	r := result{job: j, verdict: verdictLost}
	var avoid []string
	for range maxSendAttempts {
		address, prefix, err := d.addresses.get(ctx, j, avoid)
		if err != nil {
			r.reason = "no_address"
			break
		}
		r = d.sendTo(ctx, j, address, prefix)
		if r.reason != reasonNotConnected && r.reason != reasonDraining {
			break
		}
		avoid = append(avoid, address)
	}
	if r.verdict != verdictWhole && r.verdict != verdictRefused {
		d.addresses.invalidate(j)
	}
	r.totalTime = time.Since(j.due)
	return r
}

// The reasons for which a request is retried at another address.
const (
	reasonNotConnected = "not_connected"
	reasonDraining     = "draining"
)

func (d *driver) sendTo(ctx context.Context, j job, address, prefix string) result {
	r := result{job: j, verdict: verdictLost}
	request, err := d.request(ctx, j, address)
	if err != nil {
		r.reason = err.Error()
		return r
	}
	request.Header.Set("Authorization", "Bearer "+j.key)
	request.Header.Set("X-Request-Id", prefix+strconv.Itoa(j.number))
	request.Header.Set("X-Time-Left", time.Until(j.due.Add(d.timeLeft)).String())
	response, err := d.client.Do(request)
	if err != nil {
		r.reason = transportReason(err)
		return r
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode != http.StatusOK:
		r.verdict, r.reason = readFailure(response.Body)
	case j.isServiceCall:
		r.verdict, r.reason = d.checkServiceResponse(response.Body, j)
		r.timeToFirstToken = time.Since(j.due)
	default:
		check := newStreamChecker(d.prompt(j), j.answerTokens)
		r.verdict, r.reason = check.read(response.Body)
		r.timeToFirstToken = check.firstTokenAt.Sub(j.due)
	}
	return r
}

func transportReason(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return reasonNotConnected
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "no_answer"
	}
	return "connection"
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (d *driver) request(ctx context.Context, j job, address string) (*http.Request, error) {
	if j.isServiceCall {
		target := "http://" + address + "/v1/services/" + d.service + d.path
		return http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(d.serviceCallBody(j)))
	}
	body, err := json.Marshal(completionBody{Model: d.model, Prompt: d.prompt(j), MaxTokens: j.answerTokens, Stream: true})
	if err != nil {
		return nil, err
	}
	target := "http://" + address + "/v1/completions"
	return http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(string(body)))
}

// serviceCallBody returns the body of a call, which is unique to it.
func (d *driver) serviceCallBody(j job) string {
	return fmt.Sprintf("record %d of seed %d", j.number, d.seed)
}

func (d *driver) checkServiceResponse(body io.Reader, j job) (verdict, string) {
	text, err := io.ReadAll(body)
	if err != nil {
		return verdictCut, "call"
	}
	var response standin.ServiceResponse
	if json.Unmarshal(text, &response) != nil || !response.Matches(http.MethodPost, d.path, d.serviceCallBody(j)) {
		return verdictWrong, "call"
	}
	return verdictWhole, ""
}

func readFailure(body io.Reader) (verdict, string) {
	var failure failureBody
	if err := json.NewDecoder(body).Decode(&failure); err != nil {
		return verdictWrong, "failure_body"
	}
	return failure.verdict(), failure.Error.Reason
}

type eventBody struct {
	ID      string `json:"id"`
	Index   int    `json:"index"`
	Tokens  int    `json:"tokens"`
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// streamChecker compares a streamed answer with the one expected for the prompt.
type streamChecker struct {
	remaining    string
	id           string
	index        int
	finished     bool
	firstTokenAt time.Time
}

func newStreamChecker(prompt string, tokens int) *streamChecker {
	return &streamChecker{remaining: standin.Sum(prompt).Answer(tokens)}
}

// read reads a stream to its end and returns the verdict and its reason.
func (c *streamChecker) read(body io.Reader) (verdict, string) {
	lines := bufio.NewReader(body)
	event := ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return verdictCut, "stream"
		}
		line = strings.TrimRight(line, "\r\n")
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case event == "error":
			return readFailure(strings.NewReader(data))
		case data == "[DONE]" && c.finished && c.remaining == "":
			return verdictWhole, ""
		case data == "[DONE]":
			return verdictWrong, "early_end"
		}
		if reason := c.checkEvent(data); reason != "" {
			return verdictWrong, reason
		}
	}
}

// checkEvent compares one event with the expected answer and returns the reason of a mismatch, or "".
func (c *streamChecker) checkEvent(data string) string {
	var event eventBody
	if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 {
		return "event"
	}
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt, c.id = time.Now(), event.ID
	}
	if event.ID != c.id {
		return "another_id"
	}
	if event.Index != c.index {
		return "index"
	}
	rest, ok := strings.CutPrefix(c.remaining, event.Choices[0].Text)
	if !ok {
		return "another_text"
	}
	c.remaining = rest
	c.finished = event.Choices[0].FinishReason != ""
	if event.Choices[0].Text != "" {
		c.index += max(event.Tokens, 1)
	}
	return ""
}
