//go:build ignore

package main

import "time"

// idleMax is the IdleMaxMs of the settings.
const idleMax = 9 * time.Second

// stuck sends a prompt that is larger than a runner's memory. With trouble, the runner that gets
// it gives no answer while its health check stays good.
func stuck(s *system) (bool, error) {
	if err := s.addRunners("pluma", 8, 16, time.Second, 20); err != nil {
		return false, err
	}
	if err := s.startEntries(2); err != nil {
		return false, err
	}
	if s.trouble {
		s.record.hangNext()
	}
	q, err := send(s.entries[0].front, "POST", "/archive/x", "big1", 15*time.Second, promptHeaders(500000, "big1"))
	if err != nil {
		return false, err
	}
	s.record.line("big1 sent: 500000 tokens")
	a := q.receive(15 * time.Second)
	s.record.say("big1: %v", a)
	time.Sleep(5 * time.Second)
	longest := time.Duration(0)
	for _, r := range s.runners {
		r.mu.Lock()
		longest = max(longest, r.longest)
		r.mu.Unlock()
	}
	s.record.say("memory was set aside for %.2f s and no request used it; the limit is %v", longest.Seconds(), idleMax)
	return longest >= idleMax+2*time.Second, nil
}
