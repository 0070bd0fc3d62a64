package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/operator"
	"greengagedock.example/registry"
	"greengagedock.example/standin"
)

const (
	region  = "scl"
	account = "key-of-norte"
	engines = 4
)

var domains = []string{"scl-a", "scl-b", "scl-c"}

// system is a stand-in platform and backend servers in the test's process, and
// three daemons in front of them as processes of their own.
type system struct {
	c                    *qt.C
	platform             *standin.Platform
	address              string
	engines              []*standin.Engine
	services             []*standin.Service
	servers              map[string][]registry.Instance
	daemons              []*daemon
	revisionBeforeUpdate int64             // the platform's revision before the last call of document
	modelsOnly           bool              // whether no plain service is published
	callerAddresses      map[string]string // a daemon's id to its published caller address, if it differs from d.callers
}

// newSystem starts a system and waits until every daemon is ready.
func newSystem(t *testing.T, options ...standin.Option) *system {
	t.Parallel()
	s := prepareSystem(t, options...)
	s.start()
	return s
}

// prepareSystem returns a system without daemons.
func prepareSystem(t *testing.T, options ...standin.Option) *system {
	s := &system{
		c: qt.New(t), platform: standin.NewPlatform(),
		servers: make(map[string][]registry.Instance), callerAddresses: make(map[string]string),
	}
	s.address = s.serve(s.platform)
	s.addServers(options)
	return s
}

// start publishes the documents, starts the daemons and waits until each is ready.
func (s *system) start() {
	s.document(1)
	if !s.modelsOnly {
		s.platform.Set(registry.ServicePrefix+"licensing", document(1, "licensing", `"calls": [
			{"method": "POST", "path": "/grants", "repeatable": false, "deadline": "10s"}]`, 0))
	}
	s.platform.Set(registry.DomainsKey, `{"scl-a": "in", "scl-b": "in", "scl-c": "in"}`)
	for i := range domains {
		s.daemons = append(s.daemons, startDaemon(s.c, fmt.Sprintf("entry-%d", i), domains[i], s.address, [3]string{}, nil))
	}
	s.publishEntries(nil)
	s.await("daemons ready", s.allReady)
}

// replace shuts a daemon down gracefully and restarts it.
func (s *system) replace(i int) {
	old := s.daemons[i]
	old.send(syscall.SIGTERM)
	s.c.Assert(old.exit(), qt.Equals, 0, qt.Commentf("%s", old.tail()))
	s.c.Check(old.logged("cut_requests=0"), qt.HasLen, 1)
	s.restart(i)
}

// restart starts a daemon with the id and addresses of one that has exited, and waits
// until it is ready.
func (s *system) restart(i int) {
	old := s.daemons[i]
	var peers []string
	for j, d := range s.daemons {
		if j != i {
			peers = append(peers, d.peers)
		}
	}
	s.daemons[i] = startDaemon(s.c, old.id, old.domain, s.address, [3]string{old.callers, old.peers, old.admin}, peers)
	s.await("replacement ready", s.daemons[i].ready)
}

// allHaveVersion reports whether a version of the item is active at every daemon.
func (s *system) allHaveVersion(key string, version int64) bool {
	for _, d := range s.daemons {
		config, err := operator.NewClient(d.admin).Config(s.c.Context())
		if err != nil {
			return false
		}
		has := func(i operator.Item) bool { return i.Key() == key && i.Version() == version }
		if !slices.ContainsFunc(config.Items(), has) {
			return false
		}
	}
	return true
}

// addServers starts engines and plain services and publishes them.
func (s *system) addServers(options []standin.Option) {
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		all := append([]standin.Option{
			standin.WithTimeScale(10), standin.WithKVTokens(1_200_000),
			standin.WithColdLimit(standin.NewLoad(2, 300_000), 3), standin.WithWarmLimit(standin.NewLoad(16, 1_200_000)),
		}, options...)
		engine := standin.NewEngine(id, all...)
		s.engines = append(s.engines, engine)
		s.add(i, id, registry.KindEngine, "strip-model", engine)
	}
	for i := range domains {
		id := fmt.Sprintf("licence-%d", i)
		service := standin.NewService(id, append([]standin.Option{standin.WithColdLimit(standin.NewLoad(2, 0), 3)}, options...)...)
		s.services = append(s.services, service)
		s.add(i, id, registry.KindService, "licensing", service)
	}
	for domain, list := range s.servers {
		text, err := registry.FormatList(list...)
		s.c.Assert(err, qt.IsNil)
		s.platform.Set(registry.ServersPrefix+domain, text)
	}
}

func (s *system) add(i int, id string, kind registry.Kind, service string, handler http.Handler) {
	domain := domains[i%len(domains)]
	instance := registry.NewServer(id, kind, registry.NewLocation(region, domain), registry.StateLive, s.serve(handler), service)
	s.servers[domain] = append(s.servers[domain], instance)
}

// serve serves a stand-in on loopback and returns its address.
func (s *system) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	s.c.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// document publishes a version of the engines' service document and records the
// revision before it.
func (s *system) document(version int) {
	revision := s.platform.Set(registry.ServicePrefix+"strip-model", document(version, "strip-model", `"models": [
		{"name": "strip-1", "prompt_tokens": 1000000, "answer_tokens": 4096, "deadline": "40s"}]`, 1_200_000))
	s.revisionBeforeUpdate = revision - 1
}

func document(version int, service, work string, tokens int) string {
	return fmt.Sprintf(`{"service": %q, "team": "editorial", "version": %d, "priority": 1,
		"accounts": [{"name": "norte", "key_sha256": "%x", "share": 1}], %s,
		"backend_servers": {"cold": {"requests": 2, "tokens": %d}, "warm": {"requests": 16, "tokens": %d}, "warm_after": 3}}`,
		service, version, sha256.Sum256([]byte(account)), work, tokens/4, tokens)
}

// publishEntries publishes the list of daemons. Each is live, or in its state in
// states; an empty state removes it from the list.
func (s *system) publishEntries(states map[string]registry.State) {
	var list []registry.Instance
	for _, d := range s.daemons {
		state, found := states[d.id]
		if !found {
			state = registry.StateLive
		}
		if state == "" {
			continue
		}
		address := d.callers
		if other := s.callerAddresses[d.id]; other != "" {
			address = other
		}
		list = append(list, registry.NewEntry(d.id, registry.NewLocation(region, d.domain), state, address, d.peers))
	}
	text, err := registry.FormatList(list...)
	s.c.Assert(err, qt.IsNil)
	s.platform.Set(registry.EntriesPrefix+region, text)
}

// allReady reports whether every daemon is ready.
func (s *system) allReady() bool {
	for _, d := range s.daemons {
		if !d.ready() {
			return false
		}
	}
	return true
}

// await waits until reached returns true, and returns how long that took; it fails
// the test on timeout.
func (s *system) await(what string, reached func() bool) time.Duration {
	s.c.Helper()
	began := time.Now()
	for time.Since(began) < awaitTimeout {
		if reached() {
			return time.Since(began)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, d := range s.daemons {
		s.c.Logf("%s:\n%s", d.id, d.tail())
	}
	s.c.Fatalf("timed out waiting for: %s", what)
	return 0
}

// usedTokens returns the KV memory in use on all engines together, in tokens.
func (s *system) usedTokens() int {
	sum := 0
	for _, e := range s.engines {
		sum += e.Stats().UsedTokens()
	}
	return sum
}

// checkServers checks that no server was overloaded while cold and no call ran twice.
func (s *system) checkServers() {
	s.c.Helper()
	for i, e := range s.engines {
		s.c.Check(e.Stats().Overloads(), qt.Equals, 0, qt.Commentf("engine-%d", i))
	}
	for i, service := range s.services {
		s.c.Check(service.Stats().Overloads(), qt.Equals, 0, qt.Commentf("licence-%d", i))
	}
	for call, runs := range s.runs() {
		s.c.Check(runs, qt.Equals, 1, qt.Commentf("runs of the call with body checksum %s", call))
	}
}

// runs returns how often all services together ran each call, keyed by the checksum
// of its body.
func (s *system) runs() map[string]int {
	all := make(map[string]int)
	for _, service := range s.services {
		text, err := service.Stats().MarshalJSON()
		s.c.Assert(err, qt.IsNil)
		var truth struct {
			Runs map[string]int `json:"body_runs"`
		}
		s.c.Assert(json.Unmarshal(text, &truth), qt.IsNil)
		for body, runs := range truth.Runs {
			all[body] += runs
		}
	}
	return all
}
