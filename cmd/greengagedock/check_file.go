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

// fileKind is what a checked file holds.
type fileKind string

const (
	kindSettings fileKind = "settings"
	kindDocument fileKind = "document"
)

// Keys that tell the kinds of files apart.
var (
	settingsKeys = []string{
		"id", "region", "failure_domain", "caller_address", "peer_address", "admin_address",
		"platform_address", "platform_addresses", "shutdown_deadline", "limits",
	}
	documentKeys = []string{"service", "team", "version", "accounts", "models", "calls", "backend_servers"}
)

// checkedFile is a file with what was found in it.
type checkedFile struct {
	path     string
	kind     fileKind
	document *registry.Document
	settings settings.Settings
	problems []checkedProblem
}

// checkFile checks a file's text, whose kind is told from its keys if empty.
func checkFile(path string, text []byte, kind fileKind) (*checkedFile, error) {
	f := &checkedFile{path: path, kind: kind}
	if f.kind == "" {
		f.kind = kindOf(text)
	}
	if f.kind == "" {
		return nil, eris.Errorf("%s: neither settings nor a service document by its keys, use --kind", path)
	}
	var err error
	switch f.kind {
	case kindSettings:
		f.settings, err = settings.Parse(path, text)
	case kindDocument:
		f.document, err = registry.ParseDocument(path, text)
	}
	f.problems = problemsOf(err)
	return f, nil
}

func problemsOf(err error) []checkedProblem {
	if refused, ok := errors.AsType[*settings.Error](err); ok {
		return checkedProblems(refused.Problems())
	}
	if refused, ok := errors.AsType[*registry.DocumentError](err); ok {
		return checkedProblems(refused.Problems())
	}
	return nil
}

// kindOf returns the kind that more of the text's keys speak for, that of a
// document for a malformed text, and none if no key does.
func kindOf(text []byte) fileKind {
	root := jsonc.NewReader("", text).Root()
	if !root.Present() {
		return kindDocument
	}
	forSettings, forDocument := 0, 0
	for _, key := range root.Object().Keys() {
		if slices.Contains(settingsKeys, key) {
			forSettings++
		}
		if slices.Contains(documentKeys, key) {
			forDocument++
		}
	}
	switch {
	case forSettings > forDocument:
		return kindSettings
	case forDocument > 0:
		return kindDocument
	default:
		return ""
	}
}

func (f *checkedFile) report(field, format string, args ...any) {
	f.problems = append(f.problems, checkedProblem{Field: field, Error: fmt.Sprintf(format, args...)})
}

func (f *checkedFile) output() checkedOutput {
	out := checkedOutput{
		File: f.path, Kind: f.kind, Fine: len(f.problems) == 0,
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
