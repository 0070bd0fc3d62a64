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
	// sendTries is how many addresses a caller tries for a request that has not run.
	sendTries = 4
	// lostAfter is how long after a request's time is over its caller gives it up as lost.
	lostAfter = 5 * time.Second
)

// verdict is what became of a request.
type verdict string

const (
	verdictWhole   verdict = "whole"
	verdictRefused verdict = "refused" // it has not run, as its failure says
	verdictFailed  verdict = "failed"  // it may have run, as its failure says
	verdictWrong   verdict = "wrong"   // the answer is not its own
	verdictCut     verdict = "cut"     // the answer ended with neither its end nor an error
	verdictLost    verdict = "lost"    // no answer came
)

// The verdicts in the order of the table, and those that no request may have.
var (
	verdicts    = []verdict{verdictWhole, verdictRefused, verdictFailed, verdictWrong, verdictCut, verdictLost}
	badVerdicts = []verdict{verdictWrong, verdictCut, verdictLost}
)

// result is what became of one request and when.
type result struct {
	job     job
	verdict verdict
	reason  string
	first   time.Duration
	total   time.Duration
}

type failureBody struct {
	Error struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
	} `json:"error"`
}

// verdict returns what a failure says became of the request.
func (f failureBody) verdict() verdict {
	switch f.Error.Outcome {
	case "not_run":
		return verdictRefused
	case "ran", "unknown":
		return verdictFailed
	}
	return verdictWrong
}

// send sends a request, to another address while it has not run.
func (d *driver) send(ctx context.Context, j job) result {
	ctx, cancel := context.WithDeadline(ctx, j.due.Add(d.timeLeft+lostAfter))
	defer cancel()
	r := result{job: j, verdict: verdictLost}
	var avoid []string
	for range sendTries {
		address, prefix, err := d.book.get(ctx, j, avoid)
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
		d.book.forget(j)
	}
	r.total = time.Since(j.due)
	return r
}

// The reasons for which a request is sent to another address.
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
	case j.isCall:
		r.verdict, r.reason = d.checkCall(response.Body, j)
		r.first = time.Since(j.due)
	default:
		check := newChecker(d.prompt(j), j.answerTokens)
		r.verdict, r.reason = check.read(response.Body)
		r.first = check.firstAt.Sub(j.due)
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
	if j.isCall {
		target := "http://" + address + "/v1/services/" + d.service + d.path
		return http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(d.callBody(j)))
	}
	body, err := json.Marshal(completionBody{Model: d.model, Prompt: d.prompt(j), MaxTokens: j.answerTokens, Stream: true})
	if err != nil {
		return nil, err
	}
	target := "http://" + address + "/v1/completions"
	return http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(string(body)))
}

// callBody returns the body of a call, unlike that of any other.
func (d *driver) callBody(j job) string { return fmt.Sprintf("record %d of seed %d", j.number, d.seed) }

func (d *driver) checkCall(body io.Reader, j job) (verdict, string) {
	text, err := io.ReadAll(body)
	if err != nil {
		return verdictCut, "call"
	}
	var answer standin.ServiceResponse
	if json.Unmarshal(text, &answer) != nil || !answer.Matches(http.MethodPost, d.path, d.callBody(j)) {
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

// checker holds a streamed answer against the one that the prompt has.
type checker struct {
	want     string
	tokens   int
	id       string
	index    int
	finished bool
	firstAt  time.Time
}

func newChecker(prompt string, tokens int) *checker {
	return &checker{want: standin.Sum(prompt).Answer(tokens), tokens: tokens}
}

// read reads a stream to its end and says what it was.
func (c *checker) read(body io.Reader) (verdict, string) {
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
		case data == "[DONE]" && c.finished && c.want == "":
			return verdictWhole, ""
		case data == "[DONE]":
			return verdictWrong, "early_end"
		}
		if reason := c.take(data); reason != "" {
			return verdictWrong, reason
		}
	}
}

// take holds one event against the answer and returns what is wrong with it, if anything.
func (c *checker) take(data string) string {
	var event eventBody
	if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 {
		return "event"
	}
	if c.firstAt.IsZero() {
		c.firstAt, c.id = time.Now(), event.ID
	}
	if event.ID != c.id {
		return "another_id"
	}
	if event.Index != c.index {
		return "index"
	}
	rest, ok := strings.CutPrefix(c.want, event.Choices[0].Text)
	if !ok {
		return "another_text"
	}
	c.want = rest
	c.finished = event.Choices[0].FinishReason != ""
	if event.Choices[0].Text != "" {
		c.index += max(event.Tokens, 1)
	}
	return ""
}
