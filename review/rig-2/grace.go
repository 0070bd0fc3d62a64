//go:build ignore

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// grace shortens GraceS in the settings files, sends SIGHUP and stops a machine as planned some
// seconds later, while requests wait in it. Without trouble GraceS stays what it was.
func grace(s *system) (bool, error) {
	if err := s.addRunners("pluma", 2, 1, 10*time.Second, 20); err != nil {
		return false, err
	}
	if err := s.startEntries(2); err != nil {
		return false, err
	}
	limit := 8 * time.Second
	if s.trouble {
		limit = 3 * time.Second
		for _, e := range s.entries {
			if err := e.writeSettings(map[string]any{"GraceS": limit.Seconds()}); err != nil {
				return false, err
			}
			e.signal(syscall.SIGHUP)
		}
	}
	s.record.line("GraceS is %v in the settings files", limit)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var running sync.WaitGroup
	lost := 0
	var stoppedAt time.Time
	for i := range 6 {
		// Each runner has one slot: the third and later ones wait.
		id := fmt.Sprintf("b%02d", i)
		q, err := send(s.entries[0].front, "POST", "/archive/x", id, 15*time.Second, promptHeaders(5000, id))
		if err != nil {
			return false, err
		}
		s.record.line("%s sent", id)
		running.Go(func() {
			a := q.receive(15 * time.Second)
			s.record.line("%s: %v", id, a)
			mu.Lock()
			defer mu.Unlock()
			if _, ran := s.ranAt(id); !ran && !a.whole && a.took < 14*time.Second {
				lost++
				s.record.line("LOST %s: never passed on to a runner, its channel ended without an answer", id)
			}
		})
		time.Sleep(300 * time.Millisecond)
	}
	stoppedAt = time.Now()
	s.record.line("SIGTERM; SIGKILL after %v", limit)
	s.entries[0].terminate(limit)
	s.record.line("the process ended %.2f s after SIGTERM", time.Since(stoppedAt).Seconds())
	running.Wait()
	s.record.say("%d of 6 requests lost", lost)
	return lost > 0, nil
}

// ranAt returns the runner that ran a request.
func (s *system) ranAt(id string) (string, bool) {
	for _, r := range s.runners {
		r.mu.Lock()
		ran := r.ranIDs[id]
		r.mu.Unlock()
		if ran {
			return r.id, true
		}
	}
	return "", false
}
