package registry

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/jsonc"
)

// ErrDocument is the error that every refused service document wraps.
var ErrDocument = eris.New("registry: service document refused")

// MaxValueBytes is the size of the largest value that the platform holds, in bytes.
const MaxValueBytes = 1_000_000

// Bounds of a document's values.
const (
	maxVersion     = 1<<53 - 1 // the largest that every JSON reader keeps whole
	minPriority    = -100
	maxPriority    = 100
	maxShare       = 1_000_000
	maxRequests    = 1_000_000
	maxTokens      = 1_000_000_000
	maxPrompt      = 2_000_000 // tokens
	maxAnswer      = 1_000_000 // tokens
	maxWarmAfter   = 1_000_000
	minDeadline    = time.Millisecond
	maxDeadline    = 24 * time.Hour
	maxModelsCalls = 1_000
	maxAccounts    = 10_000
)

// DocumentError lists everything that is wrong with a service document; it wraps ErrDocument.
type DocumentError struct {
	problems jsonc.Problems
}

// Problems returns what is wrong, in the order of the lines.
func (e *DocumentError) Problems() jsonc.Problems { return e.problems }

// Error returns all problems on one line.
func (e *DocumentError) Error() string {
	return "registry: service document refused: " + e.problems.Error()
}

// Unwrap returns ErrDocument.
func (e *DocumentError) Unwrap() error { return ErrDocument }

// ParseDocument reads a service document written in JSON with comments; name
// is what errors call the text, such as its file, and a refused document is a
// *DocumentError.
func ParseDocument(name string, text []byte) (*Document, error) {
	reader := jsonc.NewReader(name, text)
	if len(text) > MaxValueBytes {
		reader.Root().Report("document has %d bytes, want at most %d", len(text), MaxValueBytes)
	}
	doc := parseDocument(reader.Root())
	if err := reader.Err(); err != nil {
		return nil, refusedDocument(err)
	}
	return doc, nil
}

func refusedDocument(err error) error {
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
		priority: intOr(o.Optional("priority"), minPriority, maxPriority, 0),
		accounts: parseAccounts(o.Required("accounts")),
	}
	models, calls := o.Optional("models"), o.Optional("calls")
	doc.models = parseModels(models)
	doc.calls = parseCalls(calls)
	reportWork(root, models, calls)
	doc.serverCapacity = parseServers(o.Required("backend_servers"), kindOfWork(models, calls))
	return doc
}

// work is what a document says that its service does.
type work string

const (
	workUnknown work = "unknown"
	workModels  work = "models"
	workCalls   work = "calls"
)

func kindOfWork(models, calls jsonc.Value) work {
	switch {
	case models.Present() == calls.Present():
		return workUnknown
	case models.Present():
		return workModels
	default:
		return workCalls
	}
}

// reportWork reports a document that has both kinds of work, or none.
func reportWork(root, models, calls jsonc.Value) {
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

func intOr(v jsonc.Value, least, most int64, byDefault int) int {
	if n, ok := v.Int(least, most); ok {
		return int(n)
	}
	return byDefault
}

// parseArray returns the elements of an array that has at most the given number.
func parseArray(v jsonc.Value, most int) []jsonc.Value {
	elements := v.Array()
	if len(elements) > most {
		v.Report("has %d elements, want at most %d", len(elements), most)
		return nil
	}
	return elements
}

// unique remembers on which line each key of a list stands first.
type unique map[string]int

// report reports the value if its key stands in the list already.
func (u unique) report(v jsonc.Value, key string) {
	if line, found := u[key]; found {
		v.Report("is the same as on line %d", line)
		return
	}
	u[key] = v.Line()
}
