package registry

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const modelDocument = `{
	"service": "strip-model", "team": "strips", "version": 7, "priority": 5,
	"accounts": [
		{"name": "editors", "key_sha256": "11111111111111111111111111111111111111111111111111111111111111aA"},
		{"name": "desk", "key_sha256": "2222222222222222222222222222222222222222222222222222222222222222",
			"share": 3, "requests": 9, "tokens_per_second": 500},
	],
	"models": [
		{"name": "strip-1", "prompt_tokens": 1000000, "answer_tokens": 8000, "deadline": "15m"},
		{"name": "org/strip:2", "prompt_tokens": 32000, "answer_tokens": 1000, "deadline": "30s"},
	],
	"backend_servers": {
		"cold": {"requests": 2, "tokens": 48000},
		"warm": {"requests": 24, "tokens": 480000},
		"warm_after": 12, // whole answers
	},
}`

const callDocument = `{
	"service": "licensing", "team": "licences", "version": 3,
	"accounts": [{"name": "desk", "key_sha256": "2222222222222222222222222222222222222222222222222222222222222222"}],
	"calls": [
		{"method": "POST", "path": "/grants", "repeatable": false, "deadline": "20s"},
		{"method": "GET", "path": "/grants", "repeatable": true, "deadline": "5s"},
	],
	"backend_servers": {"cold": {"requests": 8}, "warm": {"requests": 100}, "warm_after": 50},
}`

func TestParseDocumentModels(t *testing.T) {
	c := qt.New(t)
	doc, err := ParseDocument("strip.json", []byte(modelDocument))
	c.Assert(err, qt.IsNil)
	c.Check(doc.Service(), qt.Equals, "strip-model")
	c.Check(doc.Team(), qt.Equals, "strips")
	c.Check(doc.Version(), qt.Equals, int64(7))
	c.Check(doc.Priority(), qt.Equals, 5)
	c.Assert(doc.Accounts(), qt.HasLen, 2)
	hash := doc.Accounts()[0].KeyHash()
	c.Check(hash[0], qt.Equals, byte(0x11))
	c.Check(hash[31], qt.Equals, byte(0xaa))
	c.Check(doc.Accounts()[0].Share(), qt.Equals, 1)
	c.Check(doc.Accounts()[1].Name(), qt.Equals, "desk")
	c.Check(doc.Accounts()[1].Share(), qt.Equals, 3)
	c.Check(doc.Accounts()[1].Requests(), qt.Equals, 9)
	c.Check(doc.Accounts()[1].TokensPerSecond(), qt.Equals, 500)
	c.Check(doc.Models(), qt.CmpEquals(cmpModels), []Model{
		{name: "strip-1", promptTokens: 1_000_000, answerTokens: 8000, deadline: 15 * time.Minute},
		{name: "org/strip:2", promptTokens: 32_000, answerTokens: 1000, deadline: 30 * time.Second},
	})
	c.Check(doc.Calls(), qt.HasLen, 0)
	c.Check(doc.ServerCapacity(), qt.Equals, ServerCapacity{
		cold: Capacity{requests: 2, tokens: 48_000}, warm: Capacity{requests: 24, tokens: 480_000}, warmAfter: 12,
	})
}

func TestParseDocumentCalls(t *testing.T) {
	c := qt.New(t)
	doc, err := ParseDocument("licensing.json", []byte(callDocument))
	c.Assert(err, qt.IsNil)
	c.Check(doc.Models(), qt.HasLen, 0)
	c.Check(doc.Calls(), qt.CmpEquals(cmpModels), []Call{
		{method: "POST", path: "/grants", repeatable: false, deadline: 20 * time.Second},
		{method: "GET", path: "/grants", repeatable: true, deadline: 5 * time.Second},
	})
	c.Check(doc.ServerCapacity().Cold(), qt.Equals, Capacity{requests: 8})
}

func TestParseDocumentWildcards(t *testing.T) {
	c := qt.New(t)
	more := `{"method": "GET", "path": "/grants/{id}", "repeatable": true, "deadline": "5s"},
		{"method": "GET", "path": "/grants/new", "repeatable": true, "deadline": "5s"},
		{"method": "POST", "path": "/grants/{id}/end", "repeatable": false, "deadline": "5s"},
		{"method": "GET", "path": "/grants/{id}/{part}", "repeatable": true, "deadline": "7s"},
	],
	"backend`
	doc, err := ParseDocument("licensing.json", []byte(strings.Replace(callDocument, "],\n\t\"backend", more, 1)))
	c.Assert(err, qt.IsNil)
	c.Assert(doc.Calls(), qt.HasLen, 6)
}

func TestParseDocumentRefuses(t *testing.T) {
	for _, test := range append(invalidModelDocuments, invalidCallDocuments...) {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := modelDocument
			if test.calls {
				text = callDocument
			}
			c.Assert(text, qt.Contains, test.old)
			_, err := ParseDocument("doc.json", []byte(strings.Replace(text, test.old, test.new, 1)))
			c.Assert(errors.Is(err, ErrDocument), qt.IsTrue)
			c.Assert(lines(err), qt.DeepEquals, test.want)
		})
	}
}

func TestParseDocumentTooLarge(t *testing.T) {
	c := qt.New(t)
	_, err := ParseDocument("doc.json", []byte(callDocument+strings.Repeat(" ", MaxValueBytes)))
	c.Assert(err, qt.ErrorMatches, `registry: service document refused: doc\.json:1: document has \d+ bytes, want at most 1000000`)
}

func TestParseDocumentExamples(t *testing.T) {
	for _, path := range []string{
		"kinross/log-summary.json", "kinross/repair-record.json", "vineta/strip-model.json", "vineta/licensing.json",
	} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			text, err := os.ReadFile(filepath.Join("..", "examples", path))
			c.Assert(err, qt.IsNil)
			doc, err := ParseDocument(path, text)
			c.Assert(err, qt.IsNil)
			c.Assert(doc.Service()+".json", qt.Equals, filepath.Base(path))
		})
	}
}

func lines(err error) []string {
	var refused *DocumentError
	if !errors.As(err, &refused) {
		return nil
	}
	var texts []string
	for _, problem := range refused.Problems() {
		texts = append(texts, problem.Error())
	}
	return texts
}
