package main

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"
)

const (
	// meanFaultInterval is the mean time between two faults; they overlap.
	meanFaultInterval = 450 * time.Millisecond
	// settleTime is how long after a fault an entry counts as disturbed.
	settleTime = 2500 * time.Millisecond
	// drainGrace is how long after its notice a leaving server may get requests.
	drainGrace = 3 * time.Second
	// removalDelay is how long after its notice a leaving server is taken away.
	removalDelay = 4500 * time.Millisecond
)

// fault is one kind of trouble; it returns what it did.
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
		e := f.randomEntry() // a planned stop is no excuse: nothing is disturbed
		e.signal(syscall.SIGTERM)
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

// drainServer replaces a server: the new one is published, the old one leaves.
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
		calm := f.storeUndisturbed(s.drainedAt, last)
		for _, e := range f.entries {
			calm = calm && e.undisturbed(s.drainedAt, last)
		}
		if calm && last.Sub(s.drainedAt) > drainGrace {
			f.checker.report("work for a leaving server: %s got a request %v after its notice", s.ID(), last.Sub(s.drainedAt))
		}
		f.store.RemoveServer(s.ID())
	})
	return s.ID()
}

func (f *fleet) randomEntry() *entry { return f.entries[f.random.IntN(len(f.entries))] }

func (f *fleet) randomProxyMode() proxyMode {
	modes := []proxyMode{proxyDelay, proxyReset, proxySilent, proxyOneWay}
	return modes[f.random.IntN(len(modes))]
}

func (f *fleet) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Int64N(int64(most-least)))
}

// markStoreDisturbed notes that the store is disturbed for a while from now on.
func (f *fleet) markStoreDisturbed(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.storeDisturbed = append(f.storeDisturbed, interval{now, now.Add(d + settleTime)})
}

// runAfter does something after a time, or when ctx ends.
func runAfter(ctx context.Context, d time.Duration, do func()) {
	go func() {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		do()
	}()
}

// selectFaults returns the faults of the names, all if there are none.
func selectFaults(names []string) ([]fault, error) {
	if len(names) == 0 {
		return faults, nil
	}
	var out []fault
	for _, name := range names {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("no fault is called %q", name)
		}
		out = append(out, faults[i])
	}
	return out, nil
}

// injectFaults draws faults until ctx ends and returns what was done.
func (f *fleet) injectFaults(ctx context.Context, faults []fault) []string {
	var done []string
	began := time.Now()
	for {
		select {
		case <-time.After(time.Duration(f.random.ExpFloat64() * float64(meanFaultInterval))):
		case <-ctx.Done():
			return done
		}
		chosen := faults[f.random.IntN(len(faults))]
		done = append(done, fmt.Sprintf("%.2fs %s %s", time.Since(began).Seconds(), chosen.name, chosen.inject(ctx, f)))
	}
}
