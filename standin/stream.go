package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// defaultAnswerTokens is the answer's length if the request does not set max_tokens.
const defaultAnswerTokens = 16

type completionBody struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []messageBody `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prompt returns the text that determines the answer: the prompt, or the
// contents of the messages with a newline after each.
func (b completionBody) prompt() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// stream is one attempt at an engine. The fields below the blank line are
// guarded by the engine's mutex.
type stream struct {
	id           string
	model        string
	chat         bool
	streamed     bool
	sum          PromptSum
	blockSums    []PromptSum
	promptTokens int
	answerTokens int
	resumeFrom   int
	priority     int
	deadline     time.Time
	startBy      time.Time
	wake         chan struct{} // buffered, capacity 1
	ended        <-chan struct{}

	part      *promptPart // nil for an undivided prompt
	phase     phase
	refusal   *refusal
	toPrefill int
	produced  int
	stuck     bool // the caller disconnected and the engine does not detect it
}

// phase is the state of a stream.
type phase string

const (
	phaseWaiting   phase = "waiting"
	phaseRunning   phase = "running"
	phaseFinished  phase = "finished"
	phaseRefused   phase = "refused"
	phaseCancelled phase = "cancelled"
)

// readStream returns the stream that a request asks for and its prompt's text.
func readStream(r *http.Request, chat bool, arrived time.Time) (*stream, string, error) {
	var body completionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, "", &refusal{status: http.StatusBadRequest, reason: "body"}
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultAnswerTokens
	}
	prompt := body.prompt()
	s := &stream{
		id:           r.Header.Get("X-Request-Id"),
		model:        body.Model,
		chat:         chat,
		streamed:     body.Stream,
		sum:          Sum(prompt),
		blockSums:    prefixSums(prompt),
		promptTokens: PromptTokens(prompt),
		answerTokens: body.MaxTokens,
		wake:         make(chan struct{}, 1),
		phase:        phaseWaiting,
	}
	if s.id == "" {
		s.id = newIncarnation()
	}
	return s, prompt, s.readHeader(r, arrived)
}

func (s *stream) readHeader(r *http.Request, arrived time.Time) error {
	var err error
	if s.priority, err = headerInt(r, "X-Priority"); err != nil {
		return err
	}
	if s.resumeFrom, err = headerInt(r, "X-Resume-From"); err != nil {
		return err
	}
	if s.deadline, err = headerDeadline(r, "X-Time-Left", arrived); err != nil {
		return err
	}
	if s.startBy, err = headerDeadline(r, "X-Not-After", arrived); err != nil {
		return err
	}
	if s.resumeFrom < 0 || s.resumeFrom > s.answerTokens {
		return &refusal{status: http.StatusBadRequest, reason: "X-Resume-From"}
	}
	s.produced = s.resumeFrom
	return nil
}

func headerInt(r *http.Request, name string) (int, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, &refusal{status: http.StatusBadRequest, reason: name}
	}
	return n, nil
}

// load returns the stream's share of the engine's load.
func (s *stream) load() Load {
	if s.part != nil {
		return Load{} // Already counted by the reservation.
	}
	return Load{requests: 1, tokens: s.promptTokens + s.answerTokens}
}

// totalPromptTokens returns the length of the prompt up to the end of this part, in tokens.
func (s *stream) totalPromptTokens() int {
	if s.part == nil {
		return s.promptTokens
	}
	return s.part.earlierTokens + s.promptTokens
}

// before reports whether the stream has a higher priority than another.
func (s *stream) before(other *stream) bool { return s.priority > other.priority }

// notify wakes the goroutine that writes the answer; it never blocks.
func (s *stream) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// appendEvent appends the event of the token at index to buf.
func (s *stream) appendEvent(buf []byte, index int) []byte {
	buf = append(buf, `data: {"id":`...)
	buf = strconv.AppendQuote(buf, s.id)
	buf = append(buf, `,"index":`...)
	buf = strconv.AppendInt(buf, int64(index), 10)
	if s.chat {
		buf = append(buf, `,"choices":[{"delta":{"content":"`...)
		buf = s.sum.appendToken(buf, index)
		return append(buf, "\"}}]}\n\n"...)
	}
	buf = append(buf, `,"choices":[{"text":"`...)
	buf = s.sum.appendToken(buf, index)
	return append(buf, "\"}]}\n\n"...)
}

// appendEnd appends the last event and the terminating [DONE] event to buf.
func (s *stream) appendEnd(buf []byte) []byte {
	choice := `"text":""`
	if s.chat {
		choice = `"delta":{}`
	}
	buf = append(buf, `data: {"id":`...)
	buf = strconv.AppendQuote(buf, s.id)
	buf = append(buf, `,"index":`...)
	buf = strconv.AppendInt(buf, int64(s.answerTokens), 10)
	buf = append(buf, `,"choices":[{`+choice+`,"finish_reason":"stop"}],"usage":{"prompt_tokens":`...)
	buf = strconv.AppendInt(buf, int64(s.totalPromptTokens()), 10)
	buf = append(buf, `,"completion_tokens":`...)
	buf = strconv.AppendInt(buf, int64(s.answerTokens), 10)
	return append(buf, "}}\n\ndata: [DONE]\n\n"...)
}

type answerBody struct {
	ID      string         `json:"id"`
	Choices []answerChoice `json:"choices"`
	Usage   usageBody      `json:"usage"`
}

type answerChoice struct {
	Text         string       `json:"text,omitempty"`
	Message      *messageBody `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// marshalAnswer returns the body of a response that is not streamed.
func (s *stream) marshalAnswer() []byte {
	text := s.sum.Answer(s.answerTokens)
	choice := answerChoice{Text: text, FinishReason: "stop"}
	if s.chat {
		choice = answerChoice{Message: &messageBody{Role: "assistant", Content: text}, FinishReason: "stop"}
	}
	body, err := json.Marshal(answerBody{
		ID:      s.id,
		Choices: []answerChoice{choice},
		Usage:   usageBody{PromptTokens: s.totalPromptTokens(), CompletionTokens: s.answerTokens},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// fabricateOther returns the stream of an invented request, to be misdelivered if no other is running.
func (s *stream) fabricateOther() *stream {
	other := *s
	other.id = "crossed-" + s.id
	other.sum = s.sum + 1
	return &other
}
