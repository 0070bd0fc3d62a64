package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/backend"
	"greengagedock.example/operator"
	"greengagedock.example/registry"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// fakeEntry is an operator.Source and Drainer whose state a test sets.
type fakeEntry struct {
	unhealthy error
	notReady  error
	refused   []operator.RefusedItem
	onDrain   func()
}

func (f *fakeEntry) Healthy() error { return f.unhealthy }
func (f *fakeEntry) Ready() error   { return f.notReady }
func (f *fakeEntry) Drain()         { f.onDrain() }

func (f *fakeEntry) Status() operator.Status {
	peer := registry.NewEntry("entry-2", registry.NewLocation("scl", "scl-b"), registry.StateLive, "10.0.0.2:1", "10.0.0.2:2")
	return operator.NewStatus("entry-1", "b81f", registry.NewLocation("scl", "scl-a"), noon).
		WithProcess("v1", noon.Add(-time.Hour)).
		WithReadiness(f.notReady).
		WithOpenRequests(3, false).
		WithPlatform(noon.Add(-time.Second), true, 41).
		WithEntries(operator.NewEntry(peer).WithHeartbeat(noon.Add(-time.Minute), 2, true, 40).WithSilent(true)).
		WithDomains(operator.NewDomain("scl-a", registry.StateIn), operator.NewDomain("scl-b", registry.StateOut))
}

func (f *fakeEntry) Config() operator.Config {
	return operator.NewConfig([]operator.Item{operator.NewItem("service/strip-model", 7, noon, "platform")}, f.refused)
}

func (f *fakeEntry) BackendServers() []operator.BackendServer {
	return []operator.BackendServer{
		operator.NewBackendServer("engine-7", "x1", backend.NewLoad(1, 900), backend.NewLoad(2, 48_000)).
			WithService("strip-model").WithWarmth("cold", 0, "full").WithSuspendedReason("leaving"),
	}
}

// start runs an admin server for the entry on loopback until the test ends or end is called.
func start(t *testing.T, entry *fakeEntry) (address string, end func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var decisions operator.DecisionLog
	decisions.Add(operator.NewDecision(noon, operator.KindRouted, "balloon-3", "entry-1-7.1").
		WithService("strip-model", "strip-1", 7).WithChoice("engine-7", "entry-2", "prefix").
		WithRunnersUp(operator.NewRunnerUp("engine-8", "full")))
	server := operator.NewServer(entry, entry, &decisions, hclog.NewNullLogger())
	go server.Serve(listener)
	end = func() { server.Shutdown(context.Background()) }
	t.Cleanup(end)
	return listener.Addr().String(), end
}

// call runs a command line with address as the default admin address.
func call(address, input string, args ...string) (status int, out, errors string) {
	var stdout, stderr bytes.Buffer
	getenv := func(name string) string {
		if name == addressVariable {
			return address
		}
		return ""
	}
	status = run(args, getenv, streams{in: strings.NewReader(input), out: &stdout, errors: &stderr})
	return status, stdout.String(), stderr.String()
}

func TestCommands(t *testing.T) {
	refused := []operator.RefusedItem{operator.NewRefusedItem("service/strip-model", 8, noon, errors.New("cold above warm"))}
	tests := []struct {
		name   string
		entry  *fakeEntry
		args   string
		status int
		out    string
	}{
		{"status", &fakeEntry{}, "status", statusOK, "ready"},
		{"status of peers", &fakeEntry{}, "status", statusOK,
			"entry-2  scl-b           live       1m0s ago  2         40    silent, draining"},
		{"status of domains", &fakeEntry{}, "status", statusOK, "scl-b           out"},
		{"status, no callers", &fakeEntry{notReady: errors.New("not synced")}, "status", statusNegative, "gets no callers: not synced"},
		{"status, unhealthy", &fakeEntry{unhealthy: errors.New("stuck")}, "status", statusNegative, "unhealthy: stuck"},
		{"status as JSON", &fakeEntry{}, "status --json", statusOK, `"failure_domain": "scl-a"`},
		{"config", &fakeEntry{}, "config", statusOK, "service/strip-model  7        2026-01-02T12:00:00.000Z  platform"},
		{"config refused", &fakeEntry{refused: refused}, "config", statusNegative,
			"refused: service/strip-model version 8 since 2026-01-02T12:00:00.000Z: cold above warm"},
		{"config of a key", &fakeEntry{}, "config service/strip-model", statusOK, "service/strip-model"},
		{"config of an unknown key", &fakeEntry{refused: refused}, "config service/x", statusNegative, "not in force: service/x"},
		{"config as JSON", &fakeEntry{refused: refused}, "config --json", statusNegative, `"error": "cold above warm"`},
		{"servers", &fakeEntry{}, "servers", statusOK,
			"engine-7  strip-model  x1           cold    full   1/2       900/48000  leaving"},
		{"servers as JSON", &fakeEntry{}, "servers --json", statusOK, `"halted": "leaving"`},
		{"explain", &fakeEntry{}, "explain balloon-3", statusOK, "engine-7  entry-2  prefix  engine-8 (full)"},
		{"explain an attempt", &fakeEntry{}, "explain entry-1-7.1", statusOK, "strip-model strip-1"},
		{"explain as JSON", &fakeEntry{}, "explain --json balloon-3", statusOK, `"runners_up"`},
		{"explain an unknown request", &fakeEntry{}, "explain x", statusNegative, "knows no decision about x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := start(t, test.entry)
			status, out, errors := call(address, "", strings.Fields(test.args)...)
			c.Check(status, qt.Equals, test.status)
			c.Check(out, qt.Contains, test.out)
			c.Check(errors, qt.Equals, "")
		})
	}
}

func TestCommandErrors(t *testing.T) {
	closed := "127.0.0.1:1"
	tests := []struct {
		name    string
		address string
		args    string
		status  int
		errors  string
	}{
		{"unknown command", closed, "stat", statusUsage, "unknown command \"stat\" for \"greengagedock\"\n"},
		{"unknown flag", closed, "status --jsn", statusUsage, "unknown flag: --jsn\nRun 'greengagedock status --help' for usage.\n"},
		{"argument missing", closed, "explain", statusUsage, "accepts 1 arg(s), received 0"},
		{"address without port", "127.0.0.1", "status", statusUsage, `admin address "127.0.0.1": want an IP and port such as 127.0.0.1:8102`},
		{"not reachable", closed, "status", statusUnreachable, "connection refused: operator: entry not reachable\n"},
		{"drain not reachable", closed, "drain", statusUnreachable, "operator: entry not reachable\n"},
		{"check of a missing file", closed, "check gone.json", statusUsage, "open gone.json: no such file or directory\n"},
		{"check of an unsupported --kind", closed, "check --kind yaml -", statusUsage, "--kind yaml: want settings or document\n"},
		{"check of an unknown kind", closed, "check -", statusUsage, "-: keys are neither those of settings nor of a service document, use --kind\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			status, out, errors := call(test.address, "{}", strings.Fields(test.args)...)
			c.Check(status, qt.Equals, test.status)
			c.Check(out, qt.Equals, "")
			c.Check(errors, qt.Contains, test.errors)
		})
	}
}

func TestDrain(t *testing.T) {
	c := qt.New(t)
	entry := &fakeEntry{}
	address, end := start(t, entry)
	entry.onDrain = func() { go end() }
	status, _, errors := call(address, "", "drain", "--id", "entry-9")
	c.Check(status, qt.Equals, statusNegative)
	c.Check(errors, qt.Equals, "greengagedock: this entry is entry-1: operator: refused\n")
	status, out, _ := call(address, "", "drain", "--id", "entry-1", "--wait", "1m")
	c.Check(status, qt.Equals, statusOK)
	c.Check(out, qt.Equals, "entry-1 has ended\n")
}

func TestDrainWaitTimeout(t *testing.T) {
	c := qt.New(t)
	address, _ := start(t, &fakeEntry{onDrain: func() {}})
	status, out, _ := call(address, "", "drain", "--wait", "10ms", "--json")
	c.Check(status, qt.Equals, statusNegative)
	c.Check(out, qt.Equals, "{\n  \"id\": \"entry-1\",\n  \"ended\": false\n}\n")
}

func TestVersionAndCompletion(t *testing.T) {
	c := qt.New(t)
	status, out, _ := call("", "", "version")
	c.Check(status, qt.Equals, statusOK)
	c.Check(strings.TrimSpace(out), qt.Equals, operator.Version())
	status, out, _ = call("", "", "completion", "bash")
	c.Check(status, qt.Equals, statusOK)
	c.Check(out, qt.Contains, "bash completion V2 for greengagedock")
}

func TestCheckExamples(t *testing.T) {
	for _, example := range []string{"kinross", "vineta"} {
		t.Run(example, func(t *testing.T) {
			c := qt.New(t)
			paths, err := filepath.Glob(filepath.Join("..", "..", "examples", example, "*.json"))
			c.Assert(err, qt.IsNil)
			c.Assert(paths, qt.HasLen, 3)
			status, out, _ := call("", "", append([]string{"check", "--json"}, paths...)...)
			c.Check(status, qt.Equals, statusOK)
			var outputs []checkResult
			c.Assert(json.Unmarshal([]byte(out), &outputs), qt.IsNil)
			for _, output := range outputs {
				c.Check(output.OK, qt.IsTrue)
				c.Check(output.Name+".json", qt.Equals, filepath.Base(output.File))
			}
		})
	}
}

const shortEntry = `{
	"id": "entry-9", "region": "scl", "failure_domain": "scl-a",
	"caller_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2", "admin_address": "127.0.0.1:3",
	"platform_address": "127.0.0.1:4", "limits": {"max_body": "3MB"},
}`

func TestCheckRefuses(t *testing.T) {
	strip, err := os.ReadFile(filepath.Join("..", "..", "examples", "vineta", "strip-model.json"))
	qt.Assert(t, err, qt.IsNil)
	other := strings.Replace(string(strip), `"strip-model"`, `"strip-copy"`, 1)
	renamed := strings.Replace(other, `"regional-editors"`, `"editors"`, 1)
	tests := []struct {
		name  string
		args  string
		input string
		want  string
	}{
		{"invalid document", "check -", `{"service": "a", "version": 0}`, "-:1: version: is 0, want 1 to 9007199254740991\n"},
		{"invalid settings", "check -", `{"id": "a", "region": 1}`, "-:1: region: is a number, want a string\n"},
		{"malformed", "check -", `{"id": "a"`, "-:1: column 11: parsing object after value: unexpected EOF\n-: refused\n"},
		{"service twice", "check ../../examples/vineta/strip-model.json -", string(strip),
			"-: service: is \"strip-model\" as in ../../examples/vineta/strip-model.json\n"},
		{"model of two services", "check ../../examples/vineta/strip-model.json -", other,
			"-: models: \"strip-1\" is also offered to \"regional-editors\" in ../../examples/vineta/strip-model.json\n"},
		{"key of two accounts", "check ../../examples/vineta/strip-model.json -", renamed,
			"-: accounts: \"editors\" has the key of \"regional-editors\" in ../../examples/vineta/strip-model.json\n"},
		{"shutdown deadline below a request deadline", "check ../../examples/vineta/strip-model.json -", shortEntry,
			"-: shutdown_deadline: is 1m0s, less than the request deadline of 15m0s in ../../examples/vineta/strip-model.json\n"},
		{"body limit below a prompt", "check ../../examples/vineta/strip-model.json -", shortEntry,
			"-: limits.max_body: is 3MB, less than the longest prompt of 4MB in ../../examples/vineta/strip-model.json\n"},
		{"version already active", "check --in-force -", string(strip),
			"-: version: is 7, want more than 7, active since 2026-01-02T12:00:00.000Z\n-: refused\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := start(t, &fakeEntry{})
			status, out, errors := call(address, test.input, strings.Fields(test.args)...)
			c.Check(status, qt.Equals, statusNegative)
			c.Check(out, qt.Contains, test.want)
			c.Check(errors, qt.Equals, "")
		})
	}
}
