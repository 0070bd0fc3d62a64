package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/operator"
	"greengagedock.example/registry"
	"greengagedock.example/standin"
)

func TestInvalidSettings(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "entry.json")
	c.Assert(os.WriteFile(path, []byte("{\n\t\"id\": 7,\n\t\"regionn\": \"scl\",\n}"), 0o600), qt.IsNil)
	command := exec.Command(program("greengagedockd"), "--settings", path)
	out, err := command.CombinedOutput()
	c.Assert(err, qt.IsNotNil)
	c.Assert(command.ProcessState.ExitCode(), qt.Equals, 2)
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	c.Assert(len(lines) > 2, qt.IsTrue, qt.Commentf("%s", out))
	for _, line := range lines[:len(lines)-1] {
		c.Check(strings.HasPrefix(line, path+":"), qt.IsTrue, qt.Commentf("%s", line))
	}
	c.Check(lines[len(lines)-1], qt.Equals, "greengagedockd: settings refused")
}

func TestAddressInUse(t *testing.T) {
	c := qt.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	path := filepath.Join(c.TempDir(), "entry.json")
	text := fmt.Sprintf(`{"id": "entry-0", "region": "scl", "failure_domain": "scl-a", "caller_address": "127.0.0.1:0",
		"peer_address": "127.0.0.1:0", "admin_address": %q, "platform_address": "127.0.0.1:9"}`, taken.Addr())
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	command := exec.Command(program("greengagedockd"), "--settings", path)
	out, err := command.CombinedOutput()
	c.Assert(err, qt.IsNotNil)
	c.Check(command.ProcessState.ExitCode(), qt.Equals, 1)
	c.Check(string(out), qt.Matches, "greengagedockd: admin_address: .*address already in use: entry: not started\n")
}

// TestGracefulShutdown shuts down one of three daemons under load: with and
// without publishing it as leaving first, and with the platform down.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		announce bool
		down     bool
	}{
		{"unannounced", false, false},
		{"announced as leaving", true, false},
		{"platform down", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSystem(t)
			load := s.startLoad(1, 20, 9*time.Second, s.daemons...)
			time.Sleep(2 * time.Second)
			if test.down {
				s.platform.Inject(standin.Down())
			}
			stopping := s.daemons[0]
			if test.announce {
				s.publishEntries(map[string]registry.State{stopping.id: registry.StateLeaving})
			}
			stopping.send(syscall.SIGTERM)
			s.c.Check(stopping.exit(), qt.Equals, 0, qt.Commentf("%s", stopping.tail()))
			s.c.Check(stopping.logged("entry drained: cut_requests=0"), qt.HasLen, 1)
			s.daemons = s.daemons[1:]
			s.c.Logf("servers kept again %v after the exit", s.await("servers kept", s.allKept))
			load.wait().checkNoFailures(s.c)
			s.checkServers()
			s.await("memory free", func() bool { return s.usedTokens() == 0 })
		})
	}
}

// allKept reports whether the daemons keep all servers and none is suspended.
func (s *system) allKept() bool {
	kept := make(map[string]bool)
	for _, d := range s.daemons {
		servers, err := operator.NewClient(d.admin).BackendServers(s.c.Context())
		if err != nil {
			return false
		}
		for _, server := range servers {
			kept[server.ID()] = kept[server.ID()] || server.SuspendedReason() == ""
		}
	}
	for _, list := range s.servers {
		for _, server := range list {
			if !kept[server.ID()] {
				return false
			}
		}
	}
	return true
}

func TestSecondSignalStopsImmediately(t *testing.T) {
	s := newSystem(t)
	stopping := s.daemons[0]
	streams := s.openStreams(stopping, 2)
	stopping.send(syscall.SIGTERM)
	s.await("draining", func() bool { return len(stopping.logged("entry draining: open_requests=2")) == 1 })
	stopping.send(syscall.SIGTERM)
	s.c.Check(stopping.exit(), qt.Equals, 1)
	s.c.Check(stopping.logged("cut_requests=2"), qt.HasLen, 1, qt.Commentf("%s", stopping.tail()))
	for _, stream := range streams {
		s.c.Check(stream.end(), qt.Not(qt.Equals), endWhole)
	}
}

// TestDrainingEntrySendsCallersElsewhere delays a daemon's shutdown with an open
// stream. Meanwhile all daemons must give callers another address, and the
// draining one must refuse new requests.
func TestDrainingEntrySendsCallersElsewhere(t *testing.T) {
	s := newSystem(t)
	stopping := s.daemons[0]
	streams := s.openStreams(stopping, 1)
	stopping.send(syscall.SIGTERM)
	for _, d := range s.daemons {
		s.await("another address", func() bool { return s.addressAt(d, stopping.domain).Address != stopping.callers })
	}
	s.await("refusals", func() bool {
		status, failure := s.post(stopping, "", "balloon")
		return status == http.StatusServiceUnavailable && failure.Error.Reason == "draining" &&
			failure.Error.Outcome == "not_run" && failure.Error.RetryAfter != ""
	})
	for _, stream := range streams {
		s.c.Check(stream.end(), qt.Equals, endWhole)
	}
	s.c.Check(stopping.exit(), qt.Equals, 0)
}
