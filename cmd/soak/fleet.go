package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"greengagedock.example/platform/platformtest"
)

// backendServer is a backend server behind a proxy.
type backendServer struct {
	*platformtest.Server
	servesPrompts bool
	http          *httptest.Server
	proxy         *proxy
	startMs       int64
	// drainedAt is when it was published as leaving, zero if it was not.
	drainedAt time.Time
}

// releaseTime is how long after the last request's end its memory may stay
// reserved: tries to free it, a round trip each.
const releaseTime = time.Second

// fleet is all that one run needs.
type fleet struct {
	seed       uint64
	random     *rand.Rand
	store      *platformtest.Store
	storeProxy *proxy
	entries    []*entry
	runs       platformtest.RunCounter
	engines    platformtest.SimulatedEngines
	checker    checker

	mu             sync.Mutex
	servers        []*backendServer
	created        int
	version        int
	storeDisturbed intervals
}

// startFleet starts the store, the backend servers and the entries.
func startFleet(dir, daemon string, seed uint64, entries, servers, port int) (*fleet, error) {
	f := &fleet{seed: seed, random: rand.New(rand.NewPCG(seed, 1)), store: platformtest.NewStore()}
	f.checker.runs = f.runs.Count
	var err error
	if f.storeProxy, err = newProxy(strings.TrimPrefix(httptest.NewServer(f.store).URL, "http://")); err != nil {
		return nil, err
	}
	for i := range servers {
		if err := f.addServer(i%3 != 0); err != nil {
			return nil, err
		}
	}
	f.publishConfig()
	var seeds []string
	for i := range min(3, entries) {
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", port+8*i+2))
	}
	for i := range entries {
		e, err := startEntry(dir, daemon, i, port+8*i, f.storeProxy.address(), seeds)
		if err != nil {
			return nil, err
		}
		f.entries = append(f.entries, e)
	}
	return f, nil
}

// addServer starts and publishes a backend server.
func (f *fleet) addServer(prompts bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.created++
	s := &backendServer{
		Server:        platformtest.NewServer(fmt.Sprintf("i-%d", f.created), &f.runs),
		servesPrompts: prompts, startMs: time.Now().UnixMilli(),
	}
	s.http = httptest.NewServer(http.HandlerFunc(s.ServeHTTP))
	var err error
	if s.proxy, err = newProxy(strings.TrimPrefix(s.http.URL, "http://")); err != nil {
		return err
	}
	if prompts {
		s.AttachEngine(&f.engines, s.proxy.address())
		s.MakeCold()
	}
	f.servers = append(f.servers, s)
	f.store.PublishServer(s.ID(), s.proxy.address(), prompts, false, s.ColdLeft(), s.startMs)
	return nil
}

func (f *fleet) publishConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.PublishConfig(f.version)
}

// newestVersion returns the newestVersion published version.
func (f *fleet) newestVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// active returns the servers that are not leaving.
func (f *fleet) active() []*backendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*backendServer
	for _, s := range f.servers {
		if s.drainedAt.IsZero() {
			out = append(out, s)
		}
	}
	return out
}

// byAddress returns the entry at a caller's address.
func (f *fleet) byAddress(address string) *entry {
	for _, e := range f.entries {
		if e.callerAddress == address {
			return e
		}
	}
	return nil
}

// waitReady waits until all entries take requests.
func (f *fleet) waitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	for {
		ready := 0
		for _, e := range f.entries {
			if known, err := platformtest.Resolve(ctx, &client, e.directoryAddress); err == nil && len(known) == len(f.entries) {
				ready++
			}
		}
		if ready == len(f.entries) {
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%d of %d entries ready: %w", ready, len(f.entries), ctx.Err())
		}
	}
}

// watchVersions asks each entry which versions it serves until ctx ends.
func (f *fleet) watchVersions(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	for number := 0; ctx.Err() == nil; number++ {
		for _, e := range f.entries {
			before := e.incarnation()
			version, ok := f.servedVersion(ctx, &client, e, number)
			if ok && e.incarnation() == before {
				f.checker.observeVersion(fmt.Sprintf("%s/%d", e.name, before), version)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// servedVersion returns the newest version whose route an entry knows.
func (f *fleet) servedVersion(ctx context.Context, client *http.Client, e *entry, number int) (int, bool) {
	for version := f.newestVersion(); version > 0; version-- {
		id := fmt.Sprintf("v%d-%s-%d", number, e.name, version)
		q, err := platformtest.NewRequest(ctx, e.callerAddress, http.MethodGet, fmt.Sprintf("/v%d/x", version), id, 0, time.Second)
		if err != nil {
			return 0, false
		}
		answer, err := client.Do(q)
		if err != nil {
			return 0, false
		}
		answer.Body.Close()
		switch {
		case answer.StatusCode == http.StatusOK:
			return version, true
		case answer.StatusCode != http.StatusNotFound:
			return 0, false
		}
	}
	return 0, true
}

// storeUndisturbed reports whether the store was undisturbed between two times.
func (f *fleet) storeUndisturbed(from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeDisturbed.clear(from, to)
}

// checkRecovered checks what must hold once all is calm again.
func (f *fleet) checkRecovered(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	for _, e := range f.entries {
		if version, ok := f.servedVersion(ctx, &client, e, -1); !ok || version != f.newestVersion() {
			f.checker.report("configuration not in force: %s serves version %d of %d (answered %v)", e.name, version, f.newestVersion(), ok)
		}
	}
	time.Sleep(releaseTime)
	for _, s := range f.servers {
		if n := s.Reservations(); n > 0 {
			f.checker.report("memory not freed: %s holds %d tickets", s.ID(), n)
		}
		if n := s.PeakColdRate(); n > platformtest.MaxColdPerSecond {
			f.checker.report("cold server over its bearing: %s got %d requests in a second", s.ID(), n)
		}
	}
}

// stop ends all that the run started.
func (f *fleet) stop() {
	for _, e := range f.entries {
		e.stop()
	}
	for _, s := range f.servers {
		s.proxy.close()
		s.http.CloseClientConnections()
	}
	f.storeProxy.close()
}

// logPattern returns where the entries' logPattern are.
func logPattern(dir string) string { return filepath.Join(dir, "entry-*.log") }
