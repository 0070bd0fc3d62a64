package main

import (
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"greengagedock.example/jsonc"
	"greengagedock.example/registry"
	"greengagedock.example/settings"
)

// fileKind is the kind of a checked file.
type fileKind string

const (
	kindSettings fileKind = "settings"
	kindDocument fileKind = "document"
)

// Keys by which the kind of a file is recognized.
var (
	settingsKeys = []string{
		"id", "region", "failure_domain", "caller_address", "peer_address", "admin_address",
		"platform_address", "platform_addresses", "shutdown_deadline", "limits",
	}
	documentKeys = []string{"service", "team", "version", "accounts", "models", "calls", "backend_servers"}
)

// checkedFile is a file with its parsed contents and the problems found in it.
type checkedFile struct {
	path     string
	kind     fileKind
	document *registry.Document
	settings settings.Settings
	problems []checkedProblem
}

// checkFile checks the text of a file; an empty kind is recognized by the file's keys.
func checkFile(path string, text []byte, kind fileKind) (*checkedFile, error) {
	f := &checkedFile{path: path, kind: kind}
	if f.kind == "" {
		f.kind = kindOf(text)
	}
	if f.kind == "" {
		return nil, eris.Errorf("%s: keys are neither those of settings nor of a service document, use --kind", path)
	}
	var err error
	switch f.kind {
	case kindSettings:
		f.settings, err = settings.Parse(path, text)
	case kindDocument:
		f.document, err = registry.ParseDocument(path, text)
	}
	f.problems = problemsIn(err)
	return f, nil
}

func problemsIn(err error) []checkedProblem {
	if refused, ok := errors.AsType[*settings.Error](err); ok {
		return checkedProblems(refused.Problems())
	}
	if refused, ok := errors.AsType[*registry.DocumentError](err); ok {
		return checkedProblems(refused.Problems())
	}
	return nil
}

// kindOf returns the kind that has more of the text's keys, or an empty kind if
// no key is known. A tie and malformed text count as a document.
func kindOf(text []byte) fileKind {
	root := jsonc.NewReader("", text).Root()
	if !root.Present() {
		return kindDocument
	}
	settingsCount, documentCount := 0, 0
	for _, key := range root.Object().Keys() {
		if slices.Contains(settingsKeys, key) {
			settingsCount++
		}
		if slices.Contains(documentKeys, key) {
			documentCount++
		}
	}
	switch {
	case settingsCount > documentCount:
		return kindSettings
	case documentCount > 0:
		return kindDocument
	default:
		return ""
	}
}

func (f *checkedFile) report(field, format string, args ...any) {
	f.problems = append(f.problems, checkedProblem{Field: field, Error: fmt.Sprintf(format, args...)})
}

func (f *checkedFile) result() checkResult {
	out := checkResult{
		File: f.path, Kind: f.kind, OK: len(f.problems) == 0,
		Problems: append([]checkedProblem{}, f.problems...),
	}
	switch {
	case f.document != nil:
		out.Name = f.document.Service()
		out.Version = f.document.Version()
	default:
		out.Name = f.settings.ID()
	}
	return out
}
