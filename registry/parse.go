package registry

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/jsonc"
)

// ErrDocument is wrapped by the error of every invalid service document.
var ErrDocument = eris.New("registry: service document refused")

// MaxValueBytes is the size of the largest value that the platform holds, in bytes.
const MaxValueBytes = 1_000_000

// Bounds of a document's values.
const (
	maxVersion       = 1<<53 - 1 // the largest integer that every JSON parser represents exactly
	minPriority      = -100
	maxPriority      = 100
	maxShare         = 1_000_000
	maxRequests      = 1_000_000
	maxTokens        = 1_000_000_000
	maxPrompt        = 2_000_000 // tokens
	maxAnswer        = 1_000_000 // tokens
	maxWarmAfter     = 1_000_000
	minDeadline      = time.Millisecond
	maxDeadline      = 24 * time.Hour
	maxModelsOrCalls = 1_000
	maxAccounts      = 10_000
)

// DocumentError lists all problems of a service document; it wraps ErrDocument.
type DocumentError struct {
	problems jsonc.Problems
}

// Problems returns the problems in the order of the lines.
func (e *DocumentError) Problems() jsonc.Problems { return e.problems }

// Error returns all problems on one line.
func (e *DocumentError) Error() string {
	return "registry: service document refused: " + e.problems.Error()
}

// Unwrap returns ErrDocument.
func (e *DocumentError) Unwrap() error { return ErrDocument }

// ParseDocument parses a service document written in JSON with comments; errors
// refer to the text by name, such as its file name. The error for an invalid
// document is a *DocumentError.
func ParseDocument(name string, text []byte) (*Document, error) {
	reader := jsonc.NewReader(name, text)
	if len(text) > MaxValueBytes {
		reader.Root().Report("document has %d bytes, want at most %d", len(text), MaxValueBytes)
	}
	doc := parseDocument(reader.Root())
	if err := reader.Err(); err != nil {
		return nil, newDocumentError(err)
	}
	return doc, nil
}

func newDocumentError(err error) error {
	var problems jsonc.Problems
	errors.As(err, &problems)
	return &DocumentError{problems: problems}
}

func parseDocument(root jsonc.Value) *Document {
	o := root.Object()
	doc := &Document{
		service:  parseName(o.Required("service")),
		team:     parseName(o.Required("team")),
		version:  parseVersion(o.Required("version")),
		priority: intOrDefault(o.Optional("priority"), minPriority, maxPriority, 0),
		accounts: parseAccounts(o.Required("accounts")),
	}
	models, calls := o.Optional("models"), o.Optional("calls")
	doc.models = parseModels(models)
	doc.calls = parseCalls(calls)
	reportWorkload(root, models, calls)
	doc.serverCapacity = parseServerCapacity(o.Required("backend_servers"), workloadOf(models, calls))
	return doc
}

// workload is what a service offers according to its document.
type workload string

const (
	workloadUnknown workload = "unknown"
	workloadModels  workload = "models"
	workloadCalls   workload = "calls"
)

func workloadOf(models, calls jsonc.Value) workload {
	switch {
	case models.Present() == calls.Present():
		return workloadUnknown
	case models.Present():
		return workloadModels
	default:
		return workloadCalls
	}
}

// reportWorkload reports a document that has both kinds of workload, or none.
func reportWorkload(root, models, calls jsonc.Value) {
	switch {
	case models.Present() && calls.Present():
		calls.Report("stands beside models, want one of both: a service is a model service or a plain one")
	case !models.Present() && !calls.Present() && root.IsObject():
		root.Report("has neither models nor calls, want one of both")
	}
	for _, v := range []jsonc.Value{models, calls} {
		if v.IsArray() && v.Len() == 0 {
			v.Report("is empty, want at least one")
		}
	}
}

func parseName(v jsonc.Value) string {
	text, ok := v.Text()
	if ok && !IsName(text) {
		v.Report("is %s, want %s", jsonc.Quote(text), NameRule)
	}
	return text
}

func parseVersion(v jsonc.Value) int64 {
	version, _ := v.Int(1, maxVersion)
	return version
}

func intOrDefault(v jsonc.Value, minimum, maximum int64, defaultValue int) int {
	if n, ok := v.Int(minimum, maximum); ok {
		return int(n)
	}
	return defaultValue
}

// parseArray returns the elements of an array; it reports more than maximum elements.
func parseArray(v jsonc.Value, maximum int) []jsonc.Value {
	elements := v.Array()
	if len(elements) > maximum {
		v.Report("has %d elements, want at most %d", len(elements), maximum)
		return nil
	}
	return elements
}

// firstLines maps each key of a list to the line on which it appears first.
type firstLines map[string]int

// reportDuplicate reports the value if its key has appeared in the list already.
func (f firstLines) reportDuplicate(v jsonc.Value, key string) {
	if line, found := f[key]; found {
		v.Report("is the same as on line %d", line)
		return
	}
	f[key] = v.Line()
}
