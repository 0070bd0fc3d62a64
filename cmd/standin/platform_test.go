package main

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/standin"
)

func TestPublishOnlyChangedValues(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "values.json")
	p := &publisher{platform: standin.NewPlatform(), file: file, published: make(map[string]string)}
	tests := []struct{ text, want string }{
		{"{\"domains\": {\"a\": \"in\"}} // first\n", `{"revision":1,"values":[{"key":"domains","revision":1,"value":"{\"a\": \"in\"}"}]}`},
		{`{"domains": {"a": "in"}}`, `{"revision":1,"values":[{"key":"domains","revision":1,"value":"{\"a\": \"in\"}"}]}`},
		{`{"domains": {}}`, `{"revision":2,"values":[{"key":"domains","revision":2,"value":"{}"}]}`},
		{`{}`, `{"revision":3,"values":[]}`},
	}
	for _, test := range tests {
		c.Assert(os.WriteFile(file, []byte(test.text), 0o600), qt.IsNil)
		c.Assert(p.publish(), qt.IsNil)
		w := httptest.NewRecorder()
		p.platform.ServeHTTP(w, httptest.NewRequest("GET", "/v1/values", nil))
		c.Assert(w.Body.String(), qt.Equals, test.want+"\n")
	}
}
