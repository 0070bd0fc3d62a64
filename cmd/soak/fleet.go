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
	"sync/atomic"
	"time"

	"greengagedock.example/platform/platformtest"
)

// backendServer is a backend server behind a proxy.
type backendServer struct {
	*platformtest.Server
	limited       *platformtest.RateLimited
	availability  *platformtest.Availability
	servesPrompts bool
	// stating is set while a statement fault has the server.
	stating atomic.Bool
	http    *httptest.Server
	proxy   *proxy
	startMs int64 // Unix time
	// drainedAt is when it was published as draining, zero if it was not.
	drainedAt time.Time
	// endedAt is when it ended at a part of a prompt, zero if it did not.
	endedAt time.Time
	// removed is set once the store lists it no longer.
	removed atomic.Bool
}

// releaseTime is how long KV reservations may outlast the last request: a
// release is retried, at a round trip per attempt.
const releaseTime = time.Second

// fleet is what one run consists of: the store, the backend servers, the
// entries and the checker.
type fleet struct {
	seed       uint64
	random     *rand.Rand
	store      *platformtest.Store
	storeProxy *proxy
	entries    []*entry
	runs       platformtest.RunCounter
	holds      platformtest.Holds
	engines    platformtest.SimulatedEngines
	crashing   platformtest.CrashingParts
	checker    checker

	mu             sync.Mutex
	servers        []*backendServer
	created        int
	version        int
	storeDisturbed intervals
	crash          *crashingFault
	statements     []statement
	floods         intervals
	stopped        bool

	// unready is set once a replaced entry did not become ready; only replaceEntries uses it.
	unready bool

	// statementRandom is the source of the statement faults.
	statementRandom *rand.Rand
}

// startFleet starts the store, the backend servers and the entries. After an error
// nothing of it runs.
func startFleet(dir, daemon string, seed uint64, entries, servers, port int) (*fleet, error) {
	f := &fleet{seed: seed, random: rand.New(rand.NewPCG(seed, 1)), store: platformtest.NewStore(), statementRandom: newStatementRandom(seed)}
	f.checker.runs = f.runs.Count
	var err error
	if f.storeProxy, err = newProxy(strings.TrimPrefix(httptest.NewServer(f.store).URL, "http://")); err != nil {
		return nil, err
	}
	if err := f.start(dir, daemon, entries, servers, port); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// start starts the backend servers and the entries.
func (f *fleet) start(dir, daemon string, entries, servers, port int) error {
	for i := range servers {
		if err := f.addServer(i%3 != 0); err != nil {
			return err
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
			return err
		}
		f.entries = append(f.entries, e)
	}
	return nil
}

// addServer starts and publishes a backend server.
func (f *fleet) addServer(servesPrompts bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return nil
	}
	f.created++
	s := &backendServer{
		Server:        platformtest.NewServer(fmt.Sprintf("i-%d", f.created), &f.runs),
		servesPrompts: servesPrompts, startMs: time.Now().UnixMilli(),
	}
	s.SetHolds(&f.holds)
	s.SetCrashingParts(&f.crashing, func() { f.serverEnded(s) })
	s.limited = platformtest.NewRateLimited(s.Server)
	s.availability = platformtest.NewAvailability(s.limited)
	s.http = httptest.NewUnstartedServer(s.availability)
	s.http.Listener = s.Listener(s.http.Listener)
	s.http.Start()
	var err error
	if s.proxy, err = newProxy(strings.TrimPrefix(s.http.URL, "http://")); err != nil {
		return err
	}
	if servesPrompts {
		s.AttachEngine(&f.engines, s.proxy.address())
		s.MakeCold()
	}
	f.servers = append(f.servers, s)
	f.store.PublishServer(s.ID(), s.proxy.address(), servesPrompts, false, s.ColdLeft(), s.startMs)
	return nil
}

func (f *fleet) publishConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.PublishConfig(f.version)
}

// newestVersion returns the newest published version.
func (f *fleet) newestVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// active returns the servers that are not draining and have not ended.
func (f *fleet) active() []*backendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*backendServer
	for _, s := range f.servers {
		if s.drainedAt.IsZero() && s.endedAt.IsZero() {
			out = append(out, s)
		}
	}
	return out
}

// delivery reports whether a request that ends now reached a server, and whether a
// fault of servers or their proxies accounts for a response that is not complete: an
// attempt was cut, and none that a server received after the last cut was sound.
func (f *fleet) delivery(id string) (passedOn, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lastCut, lastSound time.Time
	for _, s := range f.servers {
		for _, a := range s.Attempts(id) {
			passedOn = true
			cutAt := s.proxy.cutAt(a.ClientAddr())
			if cutAt.IsZero() {
				cutAt = a.AbortedAt()
			}
			switch {
			case cutAt.After(lastCut):
				lastCut = cutAt
			case cutAt.IsZero() && !a.Refused() && a.Received().After(lastSound):
				lastSound = a.Received()
			}
		}
	}
	return passedOn, lastCut.After(lastSound)
}

// byAddress returns the entry whose caller address it is given, or nil.
func (f *fleet) byAddress(address string) *entry {
	for _, e := range f.entries {
		if e.callerAddress == address {
			return e
		}
	}
	return nil
}

// waitReady waits until the directory of each entry lists all entries.
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

// watchVersions reports to the checker which configuration version each entry
// serves, until ctx ends.
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

// servedVersion returns the newest configuration version whose route an entry
// serves, 0 if none. The result is not ok if the entry does not answer as
// expected.
func (f *fleet) servedVersion(ctx context.Context, client *http.Client, e *entry, number int) (int, bool) {
	for version := f.newestVersion(); version > 0; version-- {
		id := fmt.Sprintf("v%d-%s-%d", number, e.name, version)
		q, err := platformtest.NewRequest(ctx, e.callerAddress, http.MethodGet, fmt.Sprintf("/v%d/x", version), id, 0, time.Second)
		if err != nil {
			return 0, false
		}
		response, err := client.Do(q)
		if err != nil {
			return 0, false
		}
		response.Body.Close()
		switch {
		case response.StatusCode == http.StatusOK:
			return version, true
		case response.StatusCode != http.StatusNotFound:
			return 0, false
		}
	}
	return 0, true
}

// storeUndisturbed reports whether no fault affected the store between two times.
func (f *fleet) storeUndisturbed(from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeDisturbed.disjointFrom(from, to)
}

// checkRecovered checks what must hold once all faults are over: each entry
// serves the newest configuration, and no server holds KV reservations. It also
// checks the request rates that the servers saw while they were cold.
func (f *fleet) checkRecovered(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	for _, e := range f.entries {
		if version, ok := f.servedVersion(ctx, &client, e, -1); !ok || version != f.newestVersion() {
			f.checker.report("configuration not active: %s serves version %d of %d (answered %v)", e.name, version, f.newestVersion(), ok)
		}
	}
	time.Sleep(releaseTime)
	f.checkCrashingPart()
	f.checkStatements()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if n := s.Reservations(); n > 0 {
			f.checker.report("KV reservations not released: %s still holds %d", s.ID(), n)
		}
		if n := s.PeakColdRate(); n > platformtest.MaxColdRate {
			f.checker.report("cold server over its limit: %s got %d requests in a second", s.ID(), n)
		}
	}
}

// stop stops the entries and closes the proxies and the servers' connections.
func (f *fleet) stop() {
	for _, e := range f.entries {
		e.stop()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, s := range f.servers {
		s.proxy.close()
		s.http.CloseClientConnections()
	}
	f.storeProxy.close()
}

// logPattern returns the glob pattern of the log files of the entries.
func logPattern(dir string) string { return filepath.Join(dir, "entry-*.log") }
