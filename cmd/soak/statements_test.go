package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/platform/platformtest"
)

// Requests that reach servers against what these have stated are reported, those through
// disturbed entries excepted.
func TestCheckerReportsStatements(t *testing.T) {
	c := qt.New(t)
	newServer := func(f *fleet) *backendServer {
		s := &backendServer{Server: platformtest.NewServer("i-1", &f.runs)}
		s.limited = platformtest.NewRateLimited(s.Server)
		s.availability = platformtest.NewAvailability(s.limited)
		f.servers = []*backendServer{s}
		return s
	}
	send := func(f *fleet, s *backendServer, id string, undisturbed bool) {
		r := httptest.NewRequest(http.MethodGet, "/once/x", nil)
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Expect-Runner", "i-1")
		s.availability.ServeHTTP(httptest.NewRecorder(), r)
		f.checker.add(result{id: id, entry: "entry-0", undisturbed: undisturbed})
	}
	for _, undisturbed := range []bool{true, false} {
		f := &fleet{entries: []*entry{{name: "entry-0"}, {name: "entry-1"}}}
		s := newServer(f)
		s.limited.SetLimit("0.5")
		f.addStatement(statement{server: s, perSecond: 0.5})
		send(f, s, "first", true)
		time.Sleep(limitSettle + 50*time.Millisecond)
		for i := range platformtest.AllowedUnderLimit(0.5, limitWindow.Seconds()) + 1 {
			send(f, s, string(rune('a'+i)), undisturbed)
		}
		f.checkStatements()
		c.Assert(f.checker.reported, qt.HasLen, map[bool]int{true: 1, false: 0}[undisturbed])
	}

	f := &fleet{entries: []*entry{{name: "entry-0"}, {name: "entry-1"}}}
	s := newServer(f)
	s.availability.Leave()
	f.addStatement(statement{server: s, leaving: true})
	send(f, s, "told", true)
	send(f, s, "soon", true)
	f.checkStatements()
	c.Assert(f.checker.reported, qt.HasLen, 0)
	time.Sleep(leavingGrace + 50*time.Millisecond)
	send(f, s, "late", true)
	f.checkStatements()
	c.Assert(f.checker.reported, qt.HasLen, 1)
	c.Assert(f.checker.reported[0], qt.Matches, "request to a leaving server: i-1 .*")

	// Another entry that was disturbed excuses nothing that this one does; after both were,
	// nobody knows.
	told := s.availability.ToldAt()
	for i, excused := range []bool{false, true} {
		f.entries[1-i].disturbances = intervals{{told.Add(time.Second), told.Add(1100 * time.Millisecond)}}
		f.checker.reported = nil
		f.checkStatements()
		c.Assert(f.checker.reported, qt.HasLen, map[bool]int{true: 0, false: 1}[excused])
	}
}
