package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/jsonc"
)

// TestConfigPageCoversExamples checks that docs/CONFIG.md contains the example
// files verbatim and explains each of their keys.
func TestConfigPageCoversExamples(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "CONFIG.md"))
	qt.Assert(t, err, qt.IsNil)
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", "*", "*.json"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, paths, qt.HasLen, 6)
	for _, path := range paths {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			text, err := os.ReadFile(path)
			c.Assert(err, qt.IsNil)
			c.Check(strings.Contains(string(page), "```\n"+string(text)+"```\n"), qt.IsTrue)
			for _, key := range nestedKeys(jsonc.NewReader(path, text).Root()) {
				c.Check(strings.Contains(string(page), "\n| `"+key+"` | "), qt.IsTrue, qt.Commentf("key %s", key))
			}
		})
	}
}

// nestedKeys returns the keys of all objects in a value, at any depth.
func nestedKeys(v jsonc.Value) []string {
	var keys []string
	switch {
	case v.IsArray():
		for _, element := range v.Array() {
			keys = append(keys, nestedKeys(element)...)
		}
	case v.IsObject():
		o := v.Object()
		for _, key := range o.Keys() {
			keys = append(append(keys, key), nestedKeys(o.Optional(key))...)
		}
	}
	return keys
}
