package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/backend"
	"greengagedock.example/cuttest"
	"greengagedock.example/peer"
	"greengagedock.example/registry"
	"greengagedock.example/settings"
	"greengagedock.example/standin"
	"greengagedock.example/upstream"
)

// fleetTimeout is how long a test waits for an expected state.
const fleetTimeout = 20 * time.Second

// fleet is a small system on loopback: a stand-in platform and backend servers, and entries.
type fleet struct {
	c        *qt.C
	platform *standin.Platform
	published
	address string
	engines map[string]*standin.Engine
	service *standin.Service
	entries []*Process
	// networks are the ways of the entries to the servers.
	networks []*cuttest.Network
	// callIDs counts the IDs of the calls that must run at most once.
	callIDs atomic.Int64
}

// published holds the instances that the fleet's platform lists.
type published struct {
	entries []registry.Instance
	servers []registry.Instance
}

const fleetRegion = "scl"

var fleetDomains = []string{"scl-a", "scl-b", "scl-c"}

// newFleet starts a platform, engines and one plain service; start adds the entries.
func newFleet(t *testing.T, engines int) *fleet {
	f := &fleet{c: qt.New(t), platform: standin.NewPlatform(), engines: make(map[string]*standin.Engine)}
	f.address = f.serve(f.platform)
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		engine := standin.NewEngine(id, standin.WithTimeScale(20), standin.WithColdLimit(standin.NewLoad(2, 100_000), 3),
			standin.WithWarmLimit(standin.NewLoad(16, 400_000)))
		f.engines[id] = engine
		f.publishServer(id, registry.KindEngine, i, f.serve(engine), "strip-model")
	}
	f.service = standin.NewService("licence-0")
	f.publishServer("licence-0", registry.KindService, 0, f.serve(f.service), "licensing")
	f.platform.Set(registry.ServicePrefix+"strip-model", fleetDocument(1, "strip-model", `"models": [
		{"name": "strip-1", "prompt_tokens": 1000000, "answer_tokens": 4096, "deadline": "60s"}]`, 400_000))
	f.platform.Set(registry.ServicePrefix+"licensing", fleetDocument(1, "licensing", `"calls": [
		{"method": "POST", "path": "/grants", "repeatable": false, "deadline": "10s"},
		{"method": "GET", "path": "/grants", "repeatable": true, "deadline": "10s"}]`, 0))
	f.platform.Set(registry.DomainsKey, `{"scl-a": "in", "scl-b": "in", "scl-c": "in"}`)
	return f
}

// fleetKey is the key of the fleet's only client account.
const fleetKey = "key-of-norte"

func fleetDocument(version int, service, offers string, tokens int) string {
	return fmt.Sprintf(`{
		// A document of the tests.
		"service": %q, "team": "editorial", "version": %d, "priority": 1,
		"accounts": [{"name": "norte", "key_sha256": "%x", "share": 1}],
		%s,
		"backend_servers": {
			"cold": {"requests": 2, "tokens": %d},
			"warm": {"requests": 16, "tokens": %d},
			"warm_after": 3
		}
	}`, service, version, sha256.Sum256([]byte(fleetKey)), offers, tokens/4, tokens)
}

// serve serves a stand-in on loopback and returns its address.
func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.c.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (f *fleet) publishServer(id string, kind registry.Kind, index int, address, service string) {
	domain := fleetDomains[index%len(fleetDomains)]
	f.servers = append(f.servers, registry.NewServer(id, kind, registry.NewLocation(fleetRegion, domain), registry.StateLive, address, service))
	f.publishServers()
}

// publishServers publishes the list of servers of each failure domain.
func (f *fleet) publishServers() {
	for _, domain := range fleetDomains {
		var in []registry.Instance
		for _, server := range f.servers {
			if server.Location().Domain() == domain {
				in = append(in, server)
			}
		}
		text, err := registry.FormatList(in...)
		f.c.Assert(err, qt.IsNil)
		f.platform.Set(registry.ServersPrefix+domain, text)
	}
}

// start starts count entries, publishes them and waits until all are ready.
func (f *fleet) start(count int) {
	for i := range count {
		id := fmt.Sprintf("entry-%d", i)
		domain := fleetDomains[i%len(fleetDomains)]
		process := f.startEntry(id, domain)
		f.entries = append(f.entries, process)
		f.published.entries = append(f.published.entries, registry.NewEntry(id, registry.NewLocation(fleetRegion, domain),
			registry.StateLive, process.CallerAddress(), process.PeerAddress()))
	}
	text, err := registry.FormatList(f.published.entries...)
	f.c.Assert(err, qt.IsNil)
	f.platform.Set(registry.EntriesPrefix+fleetRegion, text)
	for _, process := range f.entries {
		f.eventually("entry ready", func() bool {
			return f.ready(process.control.Snapshot())
		})
	}
}

// ready reports whether an entry has synced the configuration and may send
// requests to every server that it keeps.
func (f *fleet) ready(s *peer.Snapshot) bool {
	for _, server := range s.Servers() {
		if server.KeeperLease() != backend.KeeperLeaseFull || server.SuspendedReason() != "" {
			return false
		}
	}
	return s.Synced() && s.HasQuorumLease() && len(s.Documents()) == 2
}

// startEntry starts one entry process.
func (f *fleet) startEntry(id, domain string) *Process {
	s, err := settings.Parse(id, fmt.Appendf(nil, `{
		"id": %q, "region": %q, "failure_domain": %q,
		"caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
		"platform_addresses": [%q]
	}`, id, fleetRegion, domain, f.address))
	f.c.Assert(err, qt.IsNil)
	network := cuttest.NewNetwork(upstream.Dialer{})
	f.networks = append(f.networks, network)
	process, err := start(s, hclog.New(&hclog.LoggerOptions{Name: id, Level: hclog.Info, Output: testWriter{f.c}}), network)
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(process.Kill)
	return process
}

// testWriter writes log lines to the test's log in verbose mode.
type testWriter struct{ c *qt.C }

func (w testWriter) Write(line []byte) (int, error) {
	w.c.Helper()
	if testing.Verbose() {
		w.c.Log(strings.TrimSuffix(string(line), "\n"))
	}
	return len(line), nil
}

// eventually waits until reached returns true, and fails the test if it does not in time.
func (f *fleet) eventually(what string, reached func() bool) {
	f.c.Helper()
	for end := time.Now().Add(fleetTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if reached() {
			return
		}
	}
	f.c.Fatalf("timed out waiting for: %s", what)
}

// complete sends an entry a completion request without streaming.
func (f *fleet) complete(ctx context.Context, entry *Process, prompt string, tokens int) (status int, body string, err error) {
	request := fmt.Sprintf(`{"model": "strip-1", "prompt": %q, "max_tokens": %d}`, prompt, tokens)
	return f.call(ctx, entry, http.MethodPost, "/v1/completions", "", request)
}

// call sends an entry one request with the fleet's key.
func (f *fleet) call(ctx context.Context, entry *Process, method, path, id, body string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+fleetKey)
	r.Header.Set("Content-Type", "application/json")
	if id != "" {
		r.Header.Set("X-Request-Id", id)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// answerText returns the text of a completion, empty if the body is not one.
func answerText(body string) string {
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(body), &answer); err != nil || len(answer.Choices) == 0 {
		return ""
	}
	return answer.Choices[0].Text
}
