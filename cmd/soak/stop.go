package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"greengagedock.example/platform/platformtest"
)

const (
	// maxStartTime is how long a held request may take until it runs at a server.
	maxStartTime = time.Second
	// heldTime is how long its response is held back after the signal: an entry
	// accepts requests for 2.5 s more, and must then wait for the open ones.
	heldTime = 4500 * time.Millisecond
	// slowBodyTime is how long a slow body takes: until after an entry that stops meanwhile has
	// left the directory.
	slowBodyTime  = 3500 * time.Millisecond
	slowBodyParts = 7
)

// stopWithOpenRequest sends the entry a request whose response is held back, then
// SIGTERM, and checks that the process does not end, or close the connection, before
// it has answered the request. The order of these events decides, not their times.
func (f *fleet) stopWithOpenRequest(e *entry) {
	start := time.Now()
	id := fmt.Sprintf("h-%d", requestCount.Add(1))
	release := f.holds.Hold(id)
	defer release()
	ended := e.processEnd()
	answered := make(chan error, 1)
	go func() { answered <- f.sendHeld(e, id) }()
	for time.Since(start) < maxStartTime && f.runs.Count(id) == 0 {
		time.Sleep(time.Millisecond)
	}
	slow := make(chan error, 1)
	go func() { slow <- f.sendSlowly(e) }()
	e.signal(syscall.SIGTERM)
	defer func() { f.checkSlow(e, start, <-slow) }()
	timer := time.NewTimer(heldTime)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
		return
	case err = <-answered:
	case <-ended:
		err = <-answered
	}
	if err != nil && f.runs.Count(id) > 0 && e.undisturbed(start, time.Now()) {
		f.checker.report("response lost: %s ran, but %s closed its connection without a response: %v", id, e.name, err)
	}
}

// sendSlowly sends a request whose body ends after the entry has left the directory, and returns
// an error unless it is answered, in any way.
func (f *fleet) sendSlowly(e *entry) error {
	ctx, cancel := context.WithTimeout(context.Background(), platformtest.HeldTimeout)
	defer cancel()
	id := fmt.Sprintf("s-%d", requestCount.Add(1))
	q, err := platformtest.NewRequest(ctx, e.callerAddress, http.MethodPost, "/held/x", id, 0, platformtest.HeldTimeout)
	if err != nil {
		return err
	}
	body, sent := io.Pipe()
	q.Body, q.ContentLength = body, -1
	go func() {
		for range slowBodyParts {
			if _, err := io.WriteString(sent, "part of a body"); err != nil {
				return // the entry has answered
			}
			time.Sleep(slowBodyTime / slowBodyParts)
		}
		sent.Close()
	}()
	return awaitResponse(q)
}

// sendHeld sends a request whose response is held back, and returns an error unless
// a complete response arrived.
func (f *fleet) sendHeld(e *entry, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), platformtest.HeldTimeout)
	defer cancel()
	q, err := platformtest.NewRequest(ctx, e.callerAddress, http.MethodPost, "/held/x", id, 0, platformtest.HeldTimeout)
	if err != nil {
		return err
	}
	return awaitResponse(q)
}

// checkSlow reports a slow request, begun at a time, that an entry left without an answer. An
// entry that was stopping already may have closed its listener and read nothing.
func (f *fleet) checkSlow(e *entry, start time.Time, err error) {
	dial, ok := errors.AsType[*net.OpError](err)
	notConnected := ok && dial.Op == "dial"
	if err != nil && !notConnected && e.undisturbed(start, time.Now()) {
		f.checker.report("no answer: %s closed the connection of a slow request: %v", e.name, err)
	}
}

// awaitResponse sends a request on a connection of its own, and returns an error unless a complete
// response arrived.
func awaitResponse(q *http.Request) error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(q)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}
