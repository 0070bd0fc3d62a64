package registry

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// FuzzParseDocument checks that no text makes the parser panic, that the error
// for an invalid one lists its problems and that a valid one satisfies every rule.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(modelDocument))
	f.Add([]byte(callDocument))
	f.Add([]byte(strings.Repeat("[", 100_000)))
	for _, test := range invalidModelDocuments {
		f.Add([]byte(strings.Replace(modelDocument, test.old, test.new, 1)))
	}
	for _, test := range invalidCallDocuments {
		f.Add([]byte(strings.Replace(callDocument, test.old, test.new, 1)))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := ParseDocument("fuzz.json", text)
		if err != nil {
			checkRefusal(t, doc, err, text)
			return
		}
		if violated := violatedRules(doc); len(violated) > 0 {
			t.Fatalf("accepted although %v", violated)
		}
	})
}

func checkRefusal(t *testing.T, doc *Document, err error, text []byte) {
	var refused *DocumentError
	if doc != nil || !errors.As(err, &refused) || !errors.Is(err, ErrDocument) || len(refused.Problems()) == 0 {
		t.Fatalf("refused with %v, %v", doc, err)
	}
	last := 1 + strings.Count(string(text), "\n")
	for _, problem := range refused.Problems() {
		if problem.Line() < 1 || problem.Line() > last || problem.Message() == "" {
			t.Fatalf("problem %v of a text with %d lines", problem, last)
		}
	}
}

// violatedRules returns the rules of docs/CONFIG.md that an accepted document violates.
func violatedRules(d *Document) []string {
	var violated []string
	rule := func(kept bool, format string, args ...any) {
		if !kept {
			violated = append(violated, fmt.Sprintf(format, args...))
		}
	}
	rule(IsName(d.service) && IsName(d.team), "names are %q, %q", d.service, d.team)
	rule(d.version > 0, "version is %d", d.version)
	rule(len(d.accounts) > 0, "nobody may call")
	rule((len(d.models) > 0) != (len(d.calls) > 0), "%d models, %d calls", len(d.models), len(d.calls))
	names, hashes := make(map[string]bool), make(map[[32]byte]bool)
	for _, a := range d.accounts {
		rule(IsName(a.name) && !names[a.name] && !hashes[a.keyHash], "account %v", a)
		rule(a.share >= 1 && a.requests >= 0 && a.tokensPerSecond >= 0, "account %v", a)
		names[a.name], hashes[a.keyHash] = true, true
	}
	models := make(map[string]bool)
	for _, m := range d.models {
		rule(m.name != "" && !models[m.name] && m.promptTokens > 0 && m.answerTokens > 0 && m.deadline > 0, "model %v", m)
		models[m.name] = true
	}
	for i, c := range d.calls {
		rule(c.method != "" && c.deadline > 0 && strings.HasPrefix(c.path, "/"), "call %v", c)
		rule(!slices.Contains(strings.Split(c.path, "/"), ".."), "call %v", c)
		for _, other := range d.calls[:i] {
			rule(c.method != other.method || c.path != other.path, "call %v twice", c)
		}
	}
	checkCapacity(rule, d)
	return violated
}

func checkCapacity(rule func(kept bool, format string, args ...any), d *Document) {
	cold, warm := d.serverCapacity.cold, d.serverCapacity.warm
	rule(cold.requests >= 1 && cold.requests <= warm.requests, "cold %v, warm %v", cold, warm)
	rule(cold.tokens <= warm.tokens, "cold %v, warm %v", cold, warm)
	rule((cold.tokens > 0) == (len(d.models) > 0), "cold %v, %d models", cold, len(d.models))
	rule(d.serverCapacity.warmAfter > 0 || d.serverCapacity.warmAfter == 0 && cold == warm, "warm after %d", d.serverCapacity.warmAfter)
}
