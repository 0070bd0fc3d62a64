package main

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/registry"
	"greengagedock.example/standin"
)

// TestKilledDaemon kills a daemon with open streams. The engines don't notice
// that the callers have gone and hold the streams' memory until the
// streams are cancelled.
func TestKilledDaemon(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		replace func(s *system)
	}{
		{"removed from the list", func(s *system) {
			s.publishEntries(map[string]registry.State{s.daemons[0].id: ""})
			s.daemons = s.daemons[1:]
		}},
		{"restarted while the platform is down", func(s *system) {
			s.platform.Inject(standin.Down())
			s.restart(0)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSystem(t, standin.WithoutDisconnectDetection(), standin.WithTimeScale(4))
			victim := s.daemons[0]
			streams := s.openStreams(victim, 4)
			s.c.Assert(s.usedTokens() > 0, qt.IsTrue)
			victim.kill()
			for _, stream := range streams {
				s.c.Check(stream.end(), qt.Equals, endCut)
			}
			test.replace(s)
			s.startLoad(2, 15, 8*time.Second, s.daemons...).wait().checkNoFailures(s.c)
			s.c.Logf("memory free %v after the load", s.await("memory free", func() bool { return s.usedTokens() == 0 }))
			s.await("servers kept", s.allKept)
			s.checkServers()
		})
	}
}

// TestPausedDaemon pauses a daemon with SIGSTOP for longer than all the periods
// after which its peers act without it, makes the servers cold meanwhile, and
// resumes it: once after it has been removed from the entry list, and once while
// the platform is down, so that the list can't change.
func TestPausedDaemon(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		begin func(s *system)
	}{
		{"removed from the list", func(s *system) { s.publishEntries(map[string]registry.State{s.daemons[0].id: ""}) }},
		{"platform down", func(s *system) { s.platform.Inject(standin.Down()) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSystem(t)
			paused := s.daemons[0]
			load := s.startLoad(3, 15, 22*time.Second, s.daemons...)
			time.Sleep(2 * time.Second)
			paused.send(syscall.SIGSTOP)
			test.begin(s)
			time.Sleep(7 * time.Second)
			for _, e := range s.engines {
				e.Inject(standin.Restarted())
			}
			time.Sleep(9 * time.Second)
			paused.send(syscall.SIGCONT)
			r := load.wait()
			s.c.Check(r.verdicts["whole"] > 0, qt.IsTrue)
			s.c.Check(r.verdicts["wrong"], qt.Equals, 0)
			s.checkServers()
			s.await("memory free", func() bool { return s.usedTokens() == 0 })
			s.platform.Inject(standin.Cleared())
			s.publishEntries(nil)
			s.await("daemons ready", s.allReady)
			s.checkServers()
		})
	}
}

// TestReplacedDaemons replaces all daemons one after another, on the same
// addresses, under load and while the platform serves a stale revision from
// before the latest document. The latest version must stay active.
func TestReplacedDaemons(t *testing.T) {
	t.Parallel()
	s := prepareSystem(t)
	s.modelsOnly = true // With non-idempotent calls each shutdown lasts for the validity of an address answer.
	s.start()
	s.document(2)
	s.await("version 2", func() bool { return s.allHaveVersion("service/strip-model", 2) })
	s.platform.Inject(standin.Stale(s.revisionBeforeUpdate))
	load := s.startLoad(4, 15, 18*time.Second, s.daemons...)
	for i := range s.daemons {
		s.replace(i)
		s.c.Assert(s.allHaveVersion("service/strip-model", 2), qt.IsTrue)
	}
	load.wait().checkNoFailures(s.c)
	s.c.Check(s.allHaveVersion("service/strip-model", 2), qt.IsTrue)
	s.checkServers()
	s.await("memory free", func() bool { return s.usedTokens() == 0 })
}
