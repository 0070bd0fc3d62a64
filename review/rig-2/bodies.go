//go:build ignore

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leavingClients is how many clients leave while they send a body, over leavingTime, and
	// stayingClients how many stay meanwhile, each of which sends a call a second.
	leavingClients = 3000
	leavingTime    = 16500 * time.Millisecond
	stayingClients = 300
	// grantsAfter and lookupsAfter are how many calls are sent one by one afterwards.
	grantsAfter  = 150
	lookupsAfter = 150
)

// bodySizes are the sizes of the bodies of clients that leave: the mean sizes of the sheet, and
// one a little below MaxBodyBytes.
var bodySizes = []int{600, 1200, 11000, 29000, 4000000}

// callCounts counts the calls of the clients that stay.
type callCounts struct{ sent, served atomic.Int64 }

func (c *callCounts) String() string {
	return fmt.Sprintf("%d of %d", c.served.Load(), c.sent.Load())
}

// bodies has clients leave while they send the bodies of their requests, beside others that stay.
// Long after the last one it sends single requests while nothing else runs.
func bodies(s *system) (bool, error) {
	if err := s.addRunners("desk", 3, 6, 60*time.Millisecond, 0); err != nil {
		return false, err
	}
	if err := s.startEntries(3); err != nil {
		return false, err
	}
	var before, meanwhile, grants, lookups callCounts
	for range 30 {
		s.grant(&before)
	}
	if before.served.Load() < before.sent.Load() {
		return false, fmt.Errorf("only %v calls served before the trouble", &before)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range stayingClients {
		running.Go(func() {
			time.Sleep(rand.N(time.Second))
			for ctx.Err() == nil {
				s.grant(&meanwhile)
				time.Sleep(time.Second)
			}
		})
	}
	left := 0
	for start, n := time.Now(), 0; n < leavingClients; n++ {
		if s.leaveInBody(n, bodySizes[n%len(bodySizes)]) == nil {
			left++
		}
		time.Sleep(time.Until(start.Add(leavingTime * time.Duration(n) / leavingClients)))
	}
	cancel()
	running.Wait()
	s.record.say("%d clients sent a part of a body and %s; calls with a body served meanwhile: %v", left, map[bool]string{true: "left", false: "then the rest"}[s.trouble], &meanwhile)
	time.Sleep(recoverTime)
	for range grantsAfter {
		s.grant(&grants)
	}
	for i := range lookupsAfter {
		lookups.sent.Add(1)
		q, err := send(s.entries[i%len(s.entries)].front, "GET", "/lookup/x", fmt.Sprintf("l%05d", i), 4*time.Second, "")
		if err == nil && q.receive(4*time.Second).status == 200 {
			lookups.served.Add(1)
		}
	}
	s.record.say("%v after the last one: calls with a body served: %v; calls without: %v", recoverTime, &grants, &lookups)
	all := float64(grants.served.Load()+lookups.served.Load()) / float64(grants.sent.Load()+lookups.sent.Load())
	return float64(grants.served.Load())/float64(grants.sent.Load()) < all/4, nil
}

var grantNumber atomic.Int64

// grant sends a call with a body of the usual size and counts it.
func (s *system) grant(counts *callCounts) {
	n := int(grantNumber.Add(1))
	id := fmt.Sprintf("g%06d", n)
	counts.sent.Add(1)
	q, err := sendBody(s.entries[n%len(s.entries)].front, "/grant/x", id, 600, 600)
	if err != nil {
		s.record.line("call %s: %v", id, err)
		return
	}
	a := q.receive(4 * time.Second)
	s.record.line("call %s: %v %.40q", id, a, a.text)
	if a.status == 200 && a.whole {
		counts.served.Add(1)
	}
}

// sendBody sends a request with a body of a size, of which only a part is sent.
func sendBody(front, path, id string, size, part int) (*request, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: rig.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, id, clientKey, size, strings.Repeat("x", part))
	return &request{conn: conn, sent: time.Now()}, err
}

// leaveInBody sends half of a body, at most 100,000 bytes, and closes the channel 20 ms later.
// Without trouble it sends the rest and waits for the answer.
func (s *system) leaveInBody(n, size int) error {
	part := min(size/2, 100000)
	q, err := sendBody(s.entries[n%len(s.entries)].front, "/grant/x", fmt.Sprintf("b%06d", n), size, part)
	if err != nil {
		return err
	}
	go func() {
		time.Sleep(20 * time.Millisecond)
		if s.trouble {
			q.conn.Close()
			return
		}
		if _, err := q.conn.Write([]byte(strings.Repeat("x", size-part))); err == nil {
			q.receive(4 * time.Second)
		}
	}()
	return nil
}
