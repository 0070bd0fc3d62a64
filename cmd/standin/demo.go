package main

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"greengagedock.example/entry"
	"greengagedock.example/registry"
	"greengagedock.example/settings"
	"greengagedock.example/standin"
)

const (
	demoRegion          = "scl"
	demoModelService    = "strip-model"
	demoPlainService    = "licensing"
	demoPath            = "/grants"
	demoEngines         = 6
	demoServices        = 2
	demoKVTokens        = 1_200_000
	demoColdTokens      = 400_000
	demoColdRequests    = 2
	demoWarmRequests    = 16
	demoWarmAfter       = 4
	demoTimeScale       = 20
	demoReadyTimeout    = 30 * time.Second
	demoShutdownTimeout = 30 * time.Second
	demoRequestTimeout  = 30 * time.Second
)

var (
	demoDomains = []string{"scl-a", "scl-b", "scl-c"}
	demoKeys    = []string{"norte-key", "centro-key", "sur-key"}
)

// errDemoCheck is returned when the backend servers' counters show a fault of the gateway.
var errDemoCheck = errors.New("demo: a backend server was overloaded, ran a call twice or leaked KV memory")

// demo is a complete system in one process, on loopback addresses.
type demo struct {
	platform        *standin.Platform
	platformAddress string
	engines         []*standin.Engine
	services        []*standin.Service
	entries         []*entry.Process
	servers         []*http.Server
	log             hclog.Logger
}

func newDemoCommand() *cobra.Command {
	var verbose, asJSON bool
	d := &driver{
		keys: demoKeys, domains: demoDomains, model: "strip-1", service: demoPlainService, path: demoPath,
		serviceShare: 0.1, timeLeft: demoRequestTimeout, answerTokens: 64, maxPrompt: maxPromptTokens,
	}
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run a complete system in one process under a mixed load",
		Example: `  standin demo --duration 15s --rate 20 --seed 1`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			level := hclog.Error
			if verbose {
				level = hclog.Info
			}
			system := &demo{log: hclog.New(&hclog.LoggerOptions{Level: level, Output: os.Stderr})}
			defer system.close()
			if err := system.start(cmd.Context(), d); err != nil {
				return err
			}
			table := d.run(cmd.Context())
			if err := table.write(os.Stdout, asJSON); err != nil {
				return err
			}
			return errors.Join(table.err(), system.shutdownAndReport(os.Stderr))
		},
	}
	flags := cmd.Flags()
	flags.Float64Var(&d.rate, "rate", 20, "requests per second")
	flags.DurationVar(&d.duration, "duration", 15*time.Second, "duration of the load")
	flags.Uint64Var(&d.seed, "seed", 1, "seed of the arrivals and prompts")
	flags.BoolVar(&verbose, "verbose", false, "write the entries' log to standard error")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// start starts the system and waits until every entry serves requests.
func (s *demo) start(ctx context.Context, d *driver) error {
	s.platform = standin.NewPlatform()
	address, err := s.serve(s.platform)
	if err != nil {
		return err
	}
	s.platformAddress = address
	if err := s.startServers(); err != nil {
		return err
	}
	s.publishDocuments()
	if err := s.startEntries(); err != nil {
		return err
	}
	for _, e := range s.entries {
		d.entries = append(d.entries, e.CallerAddress())
	}
	return s.awaitReady(ctx, d)
}

// serve serves a handler on a new loopback address.
func (s *demo) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// startServers starts the backend servers and publishes them by failure domain.
func (s *demo) startServers() error {
	lists := make(map[string][]registry.Instance)
	add := func(i int, id string, kind registry.Kind, handler http.Handler, service string) error {
		address, err := s.serve(handler)
		domain := demoDomains[i%len(demoDomains)]
		instance := registry.NewServer(id, kind, demoLocation(i), registry.StateLive, address, service)
		lists[domain] = append(lists[domain], instance)
		return err
	}
	cold, warm := standin.NewLoad(demoColdRequests, demoColdTokens), standin.NewLoad(demoWarmRequests, demoKVTokens)
	for i := range demoEngines {
		id := fmt.Sprintf("engine-%d", i+1)
		engine := standin.NewEngine(id, standin.WithTimeScale(demoTimeScale), standin.WithKVTokens(demoKVTokens),
			standin.WithColdLimit(cold, demoWarmAfter), standin.WithWarmLimit(warm))
		s.engines = append(s.engines, engine)
		if err := add(i, id, registry.KindEngine, engine, demoModelService); err != nil {
			return err
		}
	}
	for i := range demoServices {
		id := fmt.Sprintf("licensing-%d", i+1)
		service := standin.NewService(id, standin.WithColdLimit(standin.NewLoad(demoColdRequests, 0), demoWarmAfter))
		s.services = append(s.services, service)
		if err := add(i, id, registry.KindService, service, demoPlainService); err != nil {
			return err
		}
	}
	for domain, list := range lists {
		if err := s.publish(registry.ServersPrefix+domain, list); err != nil {
			return err
		}
	}
	return nil
}

func demoLocation(i int) registry.Location {
	return registry.NewLocation(demoRegion, demoDomains[i%len(demoDomains)])
}

func (s *demo) publish(key string, list []registry.Instance) error {
	text, err := registry.FormatList(list...)
	if err != nil {
		return err
	}
	s.platform.Set(key, text)
	return nil
}

func (s *demo) publishDocuments() {
	s.platform.Set(registry.ServicePrefix+demoModelService, demoDocument(demoModelService, demoColdTokens, demoKVTokens,
		`"models": [{"name": "strip-1", "prompt_tokens": 1000000, "answer_tokens": 4096, "deadline": "60s"}]`))
	s.platform.Set(registry.ServicePrefix+demoPlainService, demoDocument(demoPlainService, 0, 0,
		`"calls": [{"method": "POST", "path": "`+demoPath+`", "repeatable": false, "deadline": "10s"}]`))
	s.platform.Set(registry.DomainsKey, `{"scl-a": "in", "scl-b": "in", "scl-c": "in"}`)
}

func demoDocument(service string, coldTokens, warmTokens int, served string) string {
	accounts := ""
	for i, key := range demoKeys {
		if i > 0 {
			accounts += ", "
		}
		accounts += fmt.Sprintf(`{"name": "account-%d", "key_sha256": "%x", "share": 1}`, i+1, sha256.Sum256([]byte(key)))
	}
	return fmt.Sprintf(`{"service": %q, "team": "demo", "version": 1, "priority": 1, "accounts": [%s], %s, "backend_servers": {
		"cold": {"requests": %d, "tokens": %d}, "warm": {"requests": %d, "tokens": %d}, "warm_after": %d}}`,
		service, accounts, served, demoColdRequests, coldTokens, demoWarmRequests, warmTokens, demoWarmAfter)
}

// startEntries starts an entry in each failure domain, then publishes the list of entries.
func (s *demo) startEntries() error {
	var list []registry.Instance
	for i, domain := range demoDomains {
		id := fmt.Sprintf("entry-%d", i+1)
		parsed, err := settings.Parse(id, fmt.Appendf(nil, `{
			"id": %q, "region": %q, "failure_domain": %q, "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
			"admin_address": "127.0.0.1:0", "platform_addresses": [%q]}`, id, demoRegion, domain, s.platformAddress))
		if err != nil {
			return err
		}
		process, err := entry.Start(parsed, s.log.Named(id))
		if err != nil {
			return err
		}
		s.entries = append(s.entries, process)
		list = append(list, registry.NewEntry(id, demoLocation(i), registry.StateLive, process.CallerAddress(), process.PeerAddress()))
	}
	return s.publish(registry.EntriesPrefix+demoRegion, list)
}

// awaitReady sends each entry short loads of short prompts until all requests of one succeed.
func (s *demo) awaitReady(ctx context.Context, d *driver) error {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	for _, e := range s.entries {
		probe := *d
		probe.entries, probe.serviceShare, probe.maxPrompt = []string{e.CallerAddress()}, 0, minPromptTokens
		probe.rate, probe.duration = 10, 300*time.Millisecond
		for !probe.run(ctx).allWhole() {
			if ctx.Err() != nil {
				return fmt.Errorf("demo: entry at %s is not ready: %w", e.CallerAddress(), ctx.Err())
			}
		}
	}
	return nil
}

// shutdownAndReport shuts down the entries, prints the backend servers' counters and checks them.
func (s *demo) shutdownAndReport(w io.Writer) error {
	err := s.shutdown()
	overloads, heldTokens, producedTokens, reusedTokens, maxRuns := 0, 0, 0, 0, 0
	for _, e := range s.engines {
		stats := e.Stats()
		overloads += stats.Overloads()
		heldTokens += stats.UsedTokens()
		producedTokens += stats.ProducedTokens()
		reusedTokens += stats.ReusedTokens()
	}
	for _, service := range s.services {
		stats := service.Stats()
		overloads += stats.Overloads()
		_, bodyRuns := stats.MaxRuns()
		maxRuns = max(maxRuns, bodyRuns)
	}
	fmt.Fprintf(w, "backend servers: overloads=%d tokens_held=%d most_runs_of_a_record=%d tokens_produced=%d tokens_reused=%d\n",
		overloads, heldTokens, maxRuns, producedTokens, reusedTokens)
	if overloads > 0 || heldTokens > 0 || maxRuns > 1 {
		return errors.Join(err, errDemoCheck)
	}
	return err
}

// shutdown shuts down all entries concurrently.
func (s *demo) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoShutdownTimeout)
	defer cancel()
	errs := make([]error, len(s.entries))
	var running sync.WaitGroup
	for i, e := range s.entries {
		running.Go(func() { errs[i] = e.Shutdown(ctx) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// close stops the entries and servers that start started.
func (s *demo) close() {
	for _, e := range s.entries {
		e.Kill()
	}
	for _, server := range s.servers {
		server.Close()
	}
}
