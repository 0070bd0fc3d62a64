//go:build ignore

// Command rig-2 runs one scenario of the review against entries that it starts as processes. It
// exits with 1 if a rule was broken, 0 if it held and 2 if the scenario could not run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"greengagedock.example/platform/platformtest"
)

// system is the whole system of a scenario.
type system struct {
	record  *record
	trouble bool
	store   *platformtest.Store
	address string // of the store
	dir     string
	daemon  string
	entries []*entryProcess
	runners []*runner
	version int
	// sentPrompts and servedPrompts count the prompts of the clients that stay.
	sentPrompts, servedPrompts atomic.Int64
	// storeServer serves the store at the address that the settings name at the start.
	storeServer *http.Server
}

// publishConfig publishes the next version of the configuration with a key of the client: calls go to the service desk, prompts to pluma.
func (s *system) publishConfig(key string) {
	s.version += 3
	route := func(prefix, kind, service string, goal, timeout time.Duration, attempts int) map[string]any {
		return map[string]any{
			"Name": "route" + prefix, "Host": "rig.example", "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout.Milliseconds(), "GoalMs": goal.Milliseconds(),
			"Service": service, "Attempts": attempts, "CanResume": kind == "stream", "GapAimMs": 1000, "Priority": 1,
		}
	}
	s.store.Put("op/config", map[string]any{
		"Version": s.version,
		"Routes": []any{
			route("/grant/", "non_idempotent", "desk", 3*time.Second, 5*time.Second, 1),
			route("/lookup/", "idempotent", "desk", 3*time.Second, 5*time.Second, 2),
			route("/archive/", "stream", "pluma", 4*time.Second, 15*time.Second, 2),
		},
		"Services": []any{
			map[string]any{"Name": "desk", "MaxConns": 96},
			map[string]any{"Name": "pluma", "MaxConns": 424, "ColdS": 3, "ColdPerS": 36, "Engine": map[string]any{
				"Slots": 16, "KvCapTokens": 405000, "Stride": 34, "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213,
				"read_per_s": 154000, "pairs_per_m": 0.162, "chunk": 2048, "usual": map[string]any{"prompt": 5000, "answer": 1300},
			}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "client", "ApiKeys": []string{key}}},
	})
}

// addRunners starts and publishes runners of a service.
func (s *system) addRunners(service string, count, slots int, work time.Duration, events int) error {
	for range count {
		r, err := startRunner(fmt.Sprintf("i-%04d", len(s.runners)+1), service, slots, work, events, s.record)
		if err != nil {
			return err
		}
		s.runners = append(s.runners, r)
		s.store.Put("servers/"+r.id, map[string]any{
			"Service": service, "Addr": r.address(), "Zone": "z-a", "Version": "v1", "Slots": slots, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": time.Now().UnixMilli(),
		})
	}
	return nil
}

// startEntries starts the entries and waits until they are ready and know each other.
func (s *system) startEntries(count int) error {
	var err error
	if s.entries, err = startEntries(s.dir, s.daemon, s.address, count); err != nil {
		return err
	}
	end := time.Now().Add(15 * time.Second)
	for _, e := range s.entries {
		for !e.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(8 * time.Second) // entries schedule some seconds after their start
	return nil
}

// running returns how many requests run at the runners of a service, and how many ran so far.
func (s *system) running(service string) (running, ran int) {
	for _, r := range s.runners {
		if r.service == service {
			now, all := r.counts()
			running, ran = running+now, ran+all
		}
	}
	return running, ran
}

func (s *system) stop() {
	for _, e := range s.entries {
		e.stop()
	}
	os.RemoveAll(s.dir)
}

// scenarios hold true if the rule was broken.
var scenarios = map[string]func(s *system) (broken bool, err error){
	"bodies": bodies,
	"leave":  leave,
	"grace":  grace,
	"move":   move,
	"stuck":  stuck,
}

func main() {
	daemon := flag.String("daemon", "target/greengagedockd", "program of an entry")
	path := flag.String("record", "record.txt", "file of what was sent, answered and run")
	flag.Parse()
	scenario := scenarios[flag.Arg(0)]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "no such scenario")
		os.Exit(2)
	}
	status, err := run(scenario, *daemon, *path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(status)
}

// maxRunTime bounds a scenario, whose processes end with it.
const maxRunTime = 116 * time.Second

// within runs the scenario, and gives it up after a time or at a signal.
func (s *system) within(scenario func(*system) (bool, error), limit time.Duration) (bool, error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := scenario(s)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		return r.broken, r.err
	case <-time.After(limit):
		return false, fmt.Errorf("not done after %v", limit)
	case got := <-signals:
		return false, fmt.Errorf("given up: %v", got)
	}
}

func run(scenario func(*system) (bool, error), daemon, path string) (int, error) {
	r, err := openRecord(path)
	if err != nil {
		return 2, err
	}
	s := &system{record: r, trouble: os.Getenv("TROUBLE") != "0", store: platformtest.NewStore(), daemon: daemon}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 2, err
	}
	s.address = listener.Addr().String()
	s.storeServer = &http.Server{Handler: s.store}
	go s.storeServer.Serve(listener)
	if s.dir, err = os.MkdirTemp("", "rig-2-"); err != nil {
		return 2, err
	}
	defer s.stop()
	s.publishConfig(clientKey)
	broken, err := s.within(scenario, maxRunTime)
	switch {
	case err != nil:
		return 2, err
	case broken:
		return 1, nil
	default:
		return 0, nil
	}
}
