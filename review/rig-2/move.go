//go:build ignore

package main

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// afterConfirmation is when the first request with the dropped key is sent: twice ConfigApplyMs.
const afterConfirmation = 4 * time.Second

// move has the store answer at a second address, writes that into the settings files and sends
// SIGHUP, and ends the first address some seconds later. Then a version without the client's key
// is written. Without trouble the store stays where it is.
func move(s *system) (bool, error) {
	if err := s.addRunners("desk", 3, 6, 60*time.Millisecond, 0); err != nil {
		return false, err
	}
	if err := s.startEntries(3); err != nil {
		return false, err
	}
	if before := s.probe("before", 20); before < 20 {
		return false, fmt.Errorf("only %d of 20 requests served before the trouble", before)
	}
	if s.trouble {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		go http.Serve(listener, s.store)
		for _, e := range s.entries {
			e.store = listener.Addr().String()
			if err := e.writeSettings(nil); err != nil {
				return false, err
			}
			e.signal(syscall.SIGHUP)
		}
		s.record.line("the store is at %s too; settings files written, SIGHUP sent", listener.Addr())
		time.Sleep(6 * time.Second)
		if err := s.storeServer.Close(); err != nil {
			return false, err
		}
		s.record.line("the store's first address ended")
	}
	time.Sleep(6 * time.Second)
	s.publishConfig("new-key")
	s.record.line("version without the client's key confirmed")
	time.Sleep(afterConfirmation)
	ran := s.probe("dropped", 20)
	s.record.say("%d of 20 requests with the dropped key ran, sent %v and more after the confirmation; ConfigApplyMs is 2000", ran, afterConfirmation)
	return ran > 0, nil
}
