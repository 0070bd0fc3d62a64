//go:build ignore

package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is how many clients come at once and leave, and otherClients how many stay.
	crowdSize    = 300
	otherClients = 300
	// leaveAfter is when the clients of a crowd leave.
	leaveAfter = 150 * time.Millisecond
	// Crowds come for rowTime, one after the other, in so many rows.
	rowTime = 5500 * time.Millisecond
	rows    = 6
	// callsBefore and callsAfter are how many calls are sent before and after.
	callsBefore = 20
	callsAfter  = 100
	// callsAtOnce is how many of these are sent side by side.
	callsAtOnce = 10
	// recoverTime is the RecoverS of the settings.
	recoverTime = 12 * time.Second
)

// leave has crowds of clients come at once that leave soon, beside as many clients that stay.
// Long after the last one it sends calls while nothing else runs.
func leave(s *system) (bool, error) {
	if err := s.addRunners("desk", 3, 6, 150*time.Millisecond, 0); err != nil {
		return false, err
	}
	if err := s.addRunners("pluma", 4, 16, 100*time.Millisecond, 5); err != nil {
		return false, err
	}
	if err := s.startEntries(1); err != nil {
		return false, err
	}
	before := s.probe("before", callsBefore)
	if before < callsBefore {
		return false, fmt.Errorf("only %d of %d calls served before the trouble", before, callsBefore)
	}
	s.record.setBrief(true)
	ctx, cancel := context.WithCancel(context.Background())
	var others sync.WaitGroup
	for i := range otherClients {
		others.Go(func() { s.stay(ctx, i) })
	}
	crowds := 0
	for range rows {
		for end := time.Now().Add(rowTime); time.Now().Before(end); crowds++ {
			s.crowd(fmt.Sprintf("%04d", crowds))
		}
		time.Sleep(time.Second)
		running, ran := s.running("desk")
		s.record.line("after %d crowds: %d requests run at desk, %d ran so far", crowds, running, ran)
	}
	cancel()
	others.Wait()
	time.Sleep(recoverTime)
	s.record.setBrief(false)
	running, _ := s.running("desk")
	s.record.say("%v after the last of %d crowds: %d requests run at desk", recoverTime, crowds, running)
	after := s.probe("after", callsAfter)
	calls := float64(before+after) / (callsBefore + callsAfter)
	all := float64(before+after+int(s.servedPrompts.Load())) / float64(callsBefore+callsAfter+s.sentPrompts.Load())
	s.record.say("calls to desk served: %d of %d before, %d of %d after; prompts to pluma served: %d of %d", before, callsBefore, after, callsAfter, s.servedPrompts.Load(), s.sentPrompts.Load())
	s.record.say("of calls that their clients waited for %.2f were served, of all such requests %.2f", calls, all)
	return calls < all/4 && after*4 < callsAfter, nil
}

// stay sends prompts, as a client that waits for each answer, until ctx ends.
func (s *system) stay(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("s%04d%04d", number, n)
		q, err := send(s.entries[number%len(s.entries)].front, "POST", "/archive/x", id, 15*time.Second, promptHeaders(5000, id))
		s.sentPrompts.Add(1)
		if err == nil {
			if a := q.receive(15 * time.Second); a.status == 200 && a.whole {
				s.servedPrompts.Add(1)
			}
		}
		time.Sleep(2 * time.Second)
	}
}

// crowd sends calls at once; with trouble the clients leave, else they wait.
func (s *system) crowd(name string) {
	counts := make(map[int]int)
	var crowd []*request
	for i := range crowdSize {
		q, err := send(s.entries[i%len(s.entries)].front, "GET", "/lookup/x", fmt.Sprintf("c%s%04d", name, i), 4*time.Second, "")
		if err != nil {
			s.record.line("crowd %s: client %d not connected: %v", name, i, err)
			continue
		}
		crowd = append(crowd, q)
	}
	if !s.trouble {
		for _, q := range crowd {
			counts[q.receive(4*time.Second).status]++
		}
		s.record.line("crowd %s: answers by status: %v", name, counts)
		return
	}
	time.Sleep(leaveAfter)
	for _, q := range crowd {
		q.conn.Close()
	}
	s.record.line("crowd %s: %d clients left", name, len(crowd))
	time.Sleep(100 * time.Millisecond)
}

// probe sends calls, some at a time, and returns how many were served.
func (s *system) probe(name string, count int) int {
	var served atomic.Int64
	for first := 0; first < count; first += callsAtOnce {
		var running sync.WaitGroup
		for i := first; i < min(count, first+callsAtOnce); i++ {
			running.Go(func() {
				id := fmt.Sprintf("p%s%03d", name, i)
				q, err := send(s.entries[i%len(s.entries)].front, "GET", "/lookup/x", id, 4*time.Second, "")
				if err != nil {
					s.record.line("call %s: %v", id, err)
					return
				}
				a := q.receive(4 * time.Second)
				s.record.line("call %s: %v %q", id, a, a.text)
				if a.status == 200 && a.whole {
					served.Add(1)
				}
			})
		}
		running.Wait()
	}
	return int(served.Load())
}

// promptHeaders are the headers of a request with a prompt of a length.
func promptHeaders(tokens int, id string) string {
	return fmt.Sprintf("Model: m\r\nToken-Count: %d,100\r\nPrompt-Prefix: 5c1e07a2:40,%x:%d\r\n", tokens, id, tokens-40)
}
