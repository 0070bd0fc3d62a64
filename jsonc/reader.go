package jsonc

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Bounds on the work that a malicious text can cause.
const (
	// maxDepth is the deepest nesting of objects and arrays.
	maxDepth = 32
	// maxProblems is the number of problems reported per text.
	maxProblems = 100
)

// Reader reads one text and collects its problems.
type Reader struct {
	name     string
	text     []byte
	newlines []int
	root     Value
	objects  []*Object
	problems Problems
}

// NewReader returns a reader of the text; problems refer to the text by name.
func NewReader(name string, text []byte) *Reader {
	r := &Reader{name: name, text: text, newlines: newlineOffsets(text)}
	r.root = Value{reader: r}
	r.parse()
	return r
}

// Root returns the top-level value, absent if the text is malformed.
func (r *Reader) Root() Value { return r.root }

// Err returns the first hundred problems as Problems, or nil if there are none;
// it also reports keys that have not been read by then.
func (r *Reader) Err() error {
	for _, o := range r.objects {
		o.reportUnknown()
	}
	r.objects = nil
	if len(r.problems) == 0 {
		return nil
	}
	sortProblems(r.problems)
	return r.problems
}

func (r *Reader) parse() {
	if offset, ok := findInvalidUTF8(r.text); ok {
		r.report(offset, "", "text is not valid UTF-8")
		return
	}
	if offset, ok := findTooDeep(r.text); ok {
		r.report(offset, "", "more than %d objects and arrays within each other", maxDepth)
		return
	}
	value, err := hujson.Parse(r.text)
	if err != nil {
		r.reportSyntax(err)
		return
	}
	r.root.node = value.Value
	r.root.offset = value.StartOffset
}

func (r *Reader) reportSyntax(err error) {
	line, column := 1, 1
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); scanErr != nil {
		line, column = 1, 1
	}
	if inner := errors.Unwrap(err); inner != nil {
		err = inner
	}
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	r.problems = append(r.problems, Problem{name: r.name, line: line, message: fmt.Sprintf("column %d: %s", column, message)})
}

func (r *Reader) report(offset int, field, format string, args ...any) {
	if len(r.problems) == maxProblems {
		return
	}
	r.problems = append(r.problems, Problem{
		name:    r.name,
		line:    r.line(offset),
		offset:  offset,
		field:   field,
		message: fmt.Sprintf(format, args...),
	})
}

func (r *Reader) line(offset int) int {
	before, _ := slices.BinarySearch(r.newlines, offset)
	return 1 + before
}

func newlineOffsets(text []byte) []int {
	var offsets []int
	for i, char := range text {
		if char == '\n' {
			offsets = append(offsets, i)
		}
	}
	return offsets
}

func findInvalidUTF8(text []byte) (offset int, found bool) {
	if utf8.Valid(text) {
		return 0, false
	}
	for offset < len(text) {
		char, size := utf8.DecodeRune(text[offset:])
		if char == utf8.RuneError && size == 1 {
			break
		}
		offset += size
	}
	return offset, true
}
