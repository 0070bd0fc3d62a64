package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a text, with its position.
type Problem struct {
	name    string
	line    int
	offset  int
	field   string
	message string
}

// Name returns the name of the text, such as its file.
func (p Problem) Name() string { return p.name }

// Line returns the line of the problem, counted from 1.
func (p Problem) Line() int { return p.line }

// Field returns the path of the field, such as accounts[0].name; it is empty for
// the text as a whole.
func (p Problem) Field() string { return p.field }

// Message returns what is wrong with the field.
func (p Problem) Message() string { return p.message }

// Error returns the name, line, field and message, separated by colons.
func (p Problem) Error() string {
	if p.field == "" {
		return fmt.Sprintf("%s:%d: %s", p.name, p.line, p.message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.name, p.line, p.field, p.message)
}

// Problems is the error that lists the problems of a text in the order of the text.
type Problems []Problem

// Error returns all problems on one line, separated by semicolons.
func (ps Problems) Error() string {
	texts := make([]string, 0, len(ps))
	for _, p := range ps {
		texts = append(texts, p.Error())
	}
	return strings.Join(texts, "; ")
}

func sortProblems(ps Problems) {
	slices.SortStableFunc(ps, func(a, b Problem) int { return cmp.Compare(a.offset, b.offset) })
}
