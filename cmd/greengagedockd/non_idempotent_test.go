package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/standin"
)

const (
	// nonIdempotentCalls is the number of calls that each try makes through an entry.
	nonIdempotentCalls = 12
	// callTimeout is how long a caller waits for one answer; it exceeds the calls' deadline.
	callTimeout = 20 * time.Second
)

// callAnswer is the answer to one try of a call; status 0 means none.
type callAnswer struct {
	call    int
	status  int
	outcome string
}

// callTries collects the answers to all tries of the calls.
type callTries struct {
	s       *system
	prefix  string
	running sync.WaitGroup

	mu      sync.Mutex
	answers []callAnswer
	last    time.Time
}

// try makes all calls at an address concurrently.
func (o *callTries) try(address string) {
	for call := range nonIdempotentCalls {
		o.running.Go(func() {
			ctx, cancel := context.WithTimeout(o.s.c.Context(), callTimeout)
			defer cancel()
			status, failure := o.s.callGrants(ctx, address, fmt.Sprint(o.prefix, call), callBody(call))
			o.mu.Lock()
			defer o.mu.Unlock()
			o.answers = append(o.answers, callAnswer{call: call, status: status, outcome: failure.Error.Outcome})
			o.last = time.Now()
		})
	}
}

func callBody(call int) string { return fmt.Sprintf("licence %d", call) }

// check checks that each call ran at most once and that no answer is false:
// "not_run" for a call that ran, or a success for one that did not.
func (o *callTries) check() {
	o.running.Wait()
	runs := o.s.runs()
	counts := make(map[string]int)
	for _, a := range o.answers {
		ran := runs[standin.Sum(callBody(a.call)).String()]
		what := qt.Commentf("call %d ran %d times, answer %d %s", a.call, ran, a.status, a.outcome)
		o.s.c.Check(ran <= 1, qt.IsTrue, what)
		switch {
		case a.status == http.StatusOK:
			o.s.c.Check(ran, qt.Equals, 1, what)
		case a.outcome == "not_run":
			o.s.c.Check(ran, qt.Equals, 0, what)
		}
		counts[fmt.Sprint(a.status, " ", a.outcome)]++
	}
	o.s.c.Logf("answers: %v", counts)
}

// TestNonIdempotentCallsRunOnce makes the same calls through every entry while
// the entry that owns their ids is killed, paused or disconnected, and again
// afterwards.
func TestNonIdempotentCallsRunOnce(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		begin func(owner *daemon, link *proxy)
		end   func(s *system, owner *daemon, link *proxy)
	}{
		{"killed", func(owner *daemon, _ *proxy) { owner.kill() }, func(s *system, _ *daemon, _ *proxy) { s.restart(0) }},
		{
			"paused", func(owner *daemon, _ *proxy) { owner.send(syscall.SIGSTOP) },
			func(_ *system, owner *daemon, _ *proxy) {
				time.Sleep(11 * time.Second)
				owner.send(syscall.SIGCONT)
			},
		},
		{"disconnected", func(_ *daemon, link *proxy) { link.setBroken(true) }, func(_ *system, _ *daemon, link *proxy) { link.setBroken(false) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := prepareSystem(t, standin.WithWorkTime(300*time.Millisecond))
			s.start()
			owner := s.daemons[0]
			link := newProxy(s.c, owner.callers)
			s.callerAddresses[owner.id] = link.address()
			s.publishEntries(nil)
			s.await("owner behind the proxy", func() bool { return s.addressAt(owner, owner.domain).Address == link.address() && s.allReady() })
			tries := &callTries{s: s, prefix: s.addressAt(owner, owner.domain).Prefix}
			for _, d := range s.daemons {
				tries.try(d.callers)
			}
			time.Sleep(400 * time.Millisecond)
			test.begin(owner, link)
			began := time.Now()
			for _, d := range s.daemons[1:] {
				tries.try(d.callers)
			}
			test.end(s, owner, link)
			tries.running.Wait()
			s.c.Logf("last answer %v after the fault", tries.last.Sub(began))
			for _, d := range s.daemons {
				tries.try(d.callers)
			}
			tries.check()
			s.checkServers()
		})
	}
}
