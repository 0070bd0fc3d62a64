package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/standin"
)

// newFakeEntry returns a server that forwards completions to an engine and calls to a service.
func newFakeEntry(engine, service http.Handler) *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/address", func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(addressBody{Address: r.Host, KeepFor: "30s", Prefix: "e1."})
	})
	mux.Handle("/v1/services/repairs/", http.StripPrefix("/v1/services/repairs", service))
	mux.Handle("POST /v1/completions", engine)
	return httptest.NewServer(mux)
}

func TestLoadChecksAnswers(t *testing.T) {
	tests := []struct {
		name    string
		fault   standin.Fault
		verdict verdict
		reason  string
	}{
		{"none", standin.Cleared(), verdictWhole, ""},
		{"misdelivered", standin.Misdelivered(0), verdictWrong, "another_text"},
		{"truncated", standin.Truncated(0, 0), verdictCut, "stream"},
		{"killed", standin.Killed(), verdictLost, "connection"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			engine := standin.NewEngine("engine-1", standin.WithTimeScale(1000), standin.WithKVTokens(1_200_000))
			engine.Inject(test.fault)
			server := newFakeEntry(engine, standin.NewService("repairs-1"))
			defer server.Close()
			d := &driver{
				entries: []string{address(server)}, keys: []string{"key"}, domains: []string{"scl-a"},
				model: "strip-1", rate: 200, duration: 100 * time.Millisecond, timeLeft: time.Minute, seed: 1,
				answerTokens: 8, maxPrompt: 20_000,
			}
			table := d.run(t.Context())
			c.Assert(len(table.results) > 0, qt.IsTrue)
			for _, r := range table.results {
				c.Assert(r.verdict, qt.Equals, test.verdict)
				c.Assert(r.reason, qt.Equals, test.reason)
			}
			c.Assert(table.err() == nil, qt.Equals, test.verdict == verdictWhole)
		})
	}
}

func TestLoadCallsService(t *testing.T) {
	c := qt.New(t)
	service := standin.NewService("repairs-1", standin.WithWorkTime(time.Millisecond))
	server := newFakeEntry(standin.NewEngine("engine-1"), service)
	defer server.Close()
	d := &driver{
		entries: []string{"127.0.0.1:1", address(server)}, keys: []string{"key"}, domains: []string{""},
		service: "repairs", path: "/records", serviceShare: 1,
		rate: 200, duration: 100 * time.Millisecond, timeLeft: time.Minute, seed: 2, answerTokens: 8, maxPrompt: 20_000,
	}
	table := d.run(t.Context())
	c.Assert(table.err(), qt.IsNil)
	rows := table.rows()
	c.Assert(rows, qt.HasLen, 1)
	c.Assert(rows[0].Verdicts[verdictWhole], qt.Equals, len(table.results))
	id, body := service.Stats().MaxRuns()
	c.Assert([]int{id, body}, qt.DeepEquals, []int{1, 1})
}

func TestLoadRetriesAtAlternateOfDrainingEntry(t *testing.T) {
	c := qt.New(t)
	engine := standin.NewEngine("engine-1", standin.WithTimeScale(1000))
	alternate := newFakeEntry(engine, standin.NewService("repairs-1"))
	defer alternate.Close()
	draining := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/address" {
			json.NewEncoder(w).Encode(addressBody{Address: r.Host, Alternates: []string{address(alternate)}, KeepFor: "30s"})
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte(`{"error": {"outcome": "not_run", "reason": "draining"}}`))
	}))
	defer draining.Close()
	d := &driver{
		entries: []string{address(draining)}, keys: []string{"key"}, domains: []string{""}, model: "strip-1",
		rate: 100, duration: 100 * time.Millisecond, timeLeft: time.Minute, seed: 3, answerTokens: 8, maxPrompt: 2_000,
	}
	c.Assert(d.run(t.Context()).allWhole(), qt.IsTrue)
}

// address returns the IP and port of a server.
func address(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// A flag that can't be used is refused before anything is sent.
func TestLoadRefusesUnusableFlags(t *testing.T) {
	c := qt.New(t)
	for flag, want := range map[string]string{
		"--rate=0":            "--rate is 0, .*",
		"--duration=0s":       "--duration is 0s, .*",
		"--time-left=-1s":     "--time-left is -1s, .*",
		"--service-share=2":   "--service-share is 2, .*",
		"--service-share=0.5": "--service: missing.*",
		"--answer-tokens=0":   "--answer-tokens is 0, .*",
		"--max-prompt=0":      "--max-prompt is 0, .*",
	} {
		cmd := newLoadCommand()
		cmd.SetArgs([]string{"--keys", "k", flag})
		cmd.SetOut(io.Discard)
		cmd.SetErr(io.Discard)
		c.Assert(cmd.Execute(), qt.ErrorMatches, want, qt.Commentf("%s", flag))
	}
}
