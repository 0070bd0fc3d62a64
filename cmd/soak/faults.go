package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults, which may overlap.
	meanFaultInterval = 450 * time.Millisecond
	// settleTime is how long after the end of a fault its target still counts as disturbed.
	settleTime = 2500 * time.Millisecond
	// drainGrace is how long a server may still get requests after it was
	// published as draining.
	drainGrace = 3 * time.Second
	// removalDelay is the time between publishing a server as draining and
	// removing it from the store.
	removalDelay = 4500 * time.Millisecond
	// allSilentProbability is the probability that a silence befalls all servers at once.
	allSilentProbability = 0.3
)

// fault is a kind of fault; inject causes one and returns a description of it.
type fault struct {
	name   string
	inject func(ctx context.Context, f *fleet) string
}

var faults = []fault{
	{"kill", func(_ context.Context, f *fleet) string {
		e := f.randomEntry()
		e.markDisturbed(settleTime)
		e.signal(syscall.SIGKILL)
		return e.name
	}},
	{"kill_all", func(_ context.Context, f *fleet) string {
		for _, e := range f.entries {
			e.markDisturbed(settleTime)
			e.signal(syscall.SIGKILL)
		}
		return "all"
	}},
	{"pause", func(ctx context.Context, f *fleet) string {
		e, d := f.randomEntry(), f.randomDuration(300*time.Millisecond, 3*time.Second)
		e.markDisturbed(d + settleTime)
		e.signal(syscall.SIGSTOP)
		runAfter(ctx, d, func() { e.signal(syscall.SIGCONT) })
		return fmt.Sprint(e.name, " for ", d)
	}},
	{"stop", func(_ context.Context, f *fleet) string {
		e := f.randomEntry() // not marked as disturbed: a planned stop must not affect requests
		go f.stopWithOpenRequest(e)
		return e.name
	}},
	{"reload", func(_ context.Context, f *fleet) string {
		e := f.randomEntry()
		e.signal(syscall.SIGHUP)
		return e.name
	}},
	{"callers_proxy", func(ctx context.Context, f *fleet) string {
		e, mode, d := f.randomEntry(), f.randomProxyMode(), f.randomDuration(200*time.Millisecond, 2*time.Second)
		e.markDisturbed(d + settleTime)
		e.callerProxy.setMode(mode)
		runAfter(ctx, d, func() { e.callerProxy.setMode(proxyPass) })
		return fmt.Sprint(e.name, " ", mode, " for ", d)
	}},
	{"server_proxy", func(ctx context.Context, f *fleet) string {
		servers := f.active()
		s, mode, d := servers[f.random.IntN(len(servers))], f.randomProxyMode(), f.randomDuration(200*time.Millisecond, 2*time.Second)
		s.proxy.setMode(mode)
		runAfter(ctx, d, func() { s.proxy.setMode(proxyPass) })
		return fmt.Sprint(s.ID(), " ", mode, " for ", d)
	}},
	{"server_faults", func(ctx context.Context, f *fleet) string {
		servers := f.active()
		s, d := servers[f.random.IntN(len(servers))], f.randomDuration(500*time.Millisecond, 3*time.Second)
		s.SetFailurePercent(40)
		runAfter(ctx, d, func() { s.SetFailurePercent(0) })
		return fmt.Sprint(s.ID(), " for ", d)
	}},
	{"server_silence", silenceServers},
	{"server_drain", drainServer},
	{"store_proxy", func(ctx context.Context, f *fleet) string {
		mode, d := f.randomProxyMode(), f.randomDuration(300*time.Millisecond, 3*time.Second)
		f.markStoreDisturbed(d)
		f.storeProxy.setMode(mode)
		runAfter(ctx, d, func() { f.storeProxy.setMode(proxyPass) })
		return fmt.Sprint(mode, " for ", d)
	}},
	{"store_busy", func(ctx context.Context, f *fleet) string {
		d := f.randomDuration(300*time.Millisecond, 3*time.Second)
		f.markStoreDisturbed(d)
		f.store.SetUnavailable(true)
		runAfter(ctx, d, func() { f.store.SetUnavailable(false) })
		return fmt.Sprint("for ", d)
	}},
	{"store_forget", func(_ context.Context, f *fleet) string {
		f.store.CompactHistory()
		return "history"
	}},
	{"config", func(_ context.Context, f *fleet) string {
		f.publishConfig()
		return fmt.Sprint("version ", f.newestVersion())
	}},
}

// namedFaults are drawn only if they are named: others would be drawn in their place for the
// seeds that are kept.
var namedFaults = []fault{{"path", failPath}}

// silenceServers makes one server silent, or all, so that none can replace another. The
// servers go on soon and lose nothing, so this excuses no entry.
func silenceServers(_ context.Context, f *fleet) string {
	servers := f.active()
	if f.random.Float64() >= allSilentProbability {
		i := f.random.IntN(len(servers))
		servers = servers[i : i+1]
	}
	var silenced []string
	for _, s := range servers {
		d := f.randomDuration(600*time.Millisecond, 1900*time.Millisecond)
		s.SetSilent(d)
		silenced = append(silenced, fmt.Sprint(s.ID(), " for ", d))
	}
	return strings.Join(silenced, ", ")
}

// drainServer publishes a new server in place of another one, which it
// publishes as draining and later removes.
func drainServer(ctx context.Context, f *fleet) string {
	servers := f.active()
	s := servers[f.random.IntN(len(servers))]
	if err := f.addServer(s.servesPrompts); err != nil {
		return err.Error()
	}
	f.mu.Lock()
	s.drainedAt = time.Now()
	f.mu.Unlock()
	f.store.PublishServer(s.ID(), s.proxy.address(), s.servesPrompts, true, s.ColdLeft(), s.startMs)
	runAfter(ctx, removalDelay, func() {
		last := s.LastRequestTime()
		undisturbed := f.storeUndisturbed(s.drainedAt, last)
		for _, e := range f.entries {
			undisturbed = undisturbed && e.undisturbed(s.drainedAt, last)
		}
		if undisturbed && last.Sub(s.drainedAt) > drainGrace {
			f.checker.report("request to a draining server: %s got a request %v after it was published as draining", s.ID(), last.Sub(s.drainedAt))
		}
		s.removed.Store(true)
		f.store.RemoveServer(s.ID())
	})
	return s.ID()
}

func (f *fleet) randomEntry() *entry { return f.entries[f.random.IntN(len(f.entries))] }

func (f *fleet) randomProxyMode() proxyMode {
	modes := []proxyMode{proxyDelay, proxyReset, proxySilent, proxyOneWay}
	return modes[f.random.IntN(len(modes))]
}

func (f *fleet) randomDuration(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(f.random.Int64N(int64(upper-lower)))
}

// markStoreDisturbed records a fault of the store that starts now and lasts d.
func (f *fleet) markStoreDisturbed(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.storeDisturbed = append(f.storeDisturbed, interval{now, now.Add(d + settleTime)})
}

// runAfter runs a function in a goroutine after d, or as soon as ctx ends.
func runAfter(ctx context.Context, d time.Duration, fn func()) {
	go func() {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		fn()
	}()
}

// selectFaults returns the faults with the given names, or all but namedFaults if there are no
// names; the crashing faults and the statement faults, which are not drawn with the others, are none
// of them.
func selectFaults(names []string) ([]fault, error) {
	if len(names) == 0 {
		return faults, nil
	}
	var out []fault
	for _, name := range names {
		if name == crashingPartFault || name == crashingRequestFault || name == competingAccountsFault || isStatementFault(name) {
			continue
		}
		known := slices.Concat(faults, namedFaults)
		i := slices.IndexFunc(known, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown fault %q", name)
		}
		out = append(out, known[i])
	}
	return out, nil
}

// injectFaults injects faults drawn from the given ones until ctx ends and
// returns a line for each.
func (f *fleet) injectFaults(ctx context.Context, faults []fault) []string {
	var injected []string
	start := time.Now()
	for {
		select {
		case <-time.After(time.Duration(f.random.ExpFloat64() * float64(meanFaultInterval))):
		case <-ctx.Done():
			return injected
		}
		if len(faults) == 0 {
			continue
		}
		drawn := faults[f.random.IntN(len(faults))]
		injected = append(injected, fmt.Sprintf("%.2fs %s %s", time.Since(start).Seconds(), drawn.name, drawn.inject(ctx, f)))
	}
}
