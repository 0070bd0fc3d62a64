package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/platform/platformtest"
)

// heldRange returns a range of ports that no other soak uses.
func heldRange(c *qt.C) int {
	portRange, err := holdRange()
	c.Assert(err, qt.IsNil)
	return portRange
}

// One short run with a fixed seed; longer runs are started by hand.
func TestShortSoak(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	daemon := filepath.Join(dir, "greengagedockd")
	out, err := exec.Command("go", "build", "-o", daemon, "greengagedock.example/cmd/greengagedockd").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	summary, violations := run(options{daemon: daemon, dir: dir, entries: 3, servers: 6, callers: 3, faultDuration: 3 * time.Second}, 1, heldRange(c))
	t.Log(summary)
	c.Assert(violations, qt.HasLen, 0)
}

// The checker reports each kind of violation that it can tell from the results
// of requests and from the served configuration versions.
func TestCheckerReportsViolations(t *testing.T) {
	c := qt.New(t)
	runs := map[string]int{"twice": 2, "ran": 1}
	start := time.Now()
	for want, r := range map[string]result{
		"ran twice.*":                    {id: "twice", kind: kindNonIdempotent, served: true},
		"reported as not run, but ran.*": {id: "ran", kind: kindIdempotent, notRun: true},
		"wrong response.*":               {id: "ran", kind: kindStream, problem: "event 3 is missing"},
		"response lost.*":                {id: "ran", kind: kindStream, undisturbed: true, passedOn: true, timeout: time.Second, incomplete: io.ErrUnexpectedEOF},
		"outcome unknown.*":              {id: "ran", kind: kindIdempotent, undisturbed: true, passedOn: true, timeout: time.Second},
		"ended late.*":                   {id: "ran", kind: kindNonIdempotent, undisturbed: true, timeout: time.Second, duration: 3 * time.Second},
		"not recovered: 0 of 1 .*":       {id: "ran", kind: kindNonIdempotent, notRun: false},
	} {
		checker := checker{runs: func(id string) int { return runs[id] }}
		r.start = start
		checker.add(r)
		c.Assert(checker.violations(start.Add(-time.Second))[0], qt.Matches, want)
	}
	var checker checker
	checker.runs = func(string) int { return 0 }
	checker.observeVersion("entry-1/1", 3)
	checker.observeVersion("entry-1/2", 1)
	c.Assert(checker.reported, qt.HasLen, 0)
	checker.observeVersion("entry-1/1", 2)
	c.Assert(checker.reported, qt.HasLen, 1)
}

// A response that is incomplete or leaves the outcome unknown is no violation if a fault,
// the deadline or a request that no server received or ran accounts for it.
func TestCheckerExcusesUnservedRequests(t *testing.T) {
	c := qt.New(t)
	unknown := result{id: "ran", kind: kindStream, undisturbed: true, passedOn: true, timeout: time.Second}
	lost := unknown
	lost.incomplete = io.ErrUnexpectedEOF
	checker := checker{runs: func(id string) int { return len(id) }}
	c.Assert(checker.checkResult(unknown), qt.HasLen, 1)
	c.Assert(checker.checkResult(lost), qt.HasLen, 1)
	for name, excuse := range map[string]func(*result){
		"disturbed":     func(r *result) { r.undisturbed = false },
		"not passed on": func(r *result) { r.passedOn = false },
		"cut":           func(r *result) { r.cut = true },
		"deadline":      func(r *result) { r.duration = r.timeout - deadlineMargin },
		"served":        func(r *result) { r.incomplete, r.served = nil, true },
		"not run":       func(r *result) { r.incomplete, r.id, r.notRun = nil, "", true },
		"no run":        func(r *result) { r.incomplete, r.id = nil, "" },
	} {
		for _, excused := range []result{lost, unknown} {
			excuse(&excused)
			c.Assert(checker.checkResult(excused), qt.HasLen, 0, qt.Commentf(name))
		}
	}
}

// Only what servers and their proxies cut accounts for an incomplete response, and only
// if no sound attempt came later.
func TestDeliveryTellsWhoCutResponses(t *testing.T) {
	c := qt.New(t)
	f := &fleet{store: platformtest.NewStore()}
	defer func() {
		for _, s := range f.servers {
			s.proxy.close()
			s.http.Close()
		}
	}()
	for range 2 {
		c.Assert(f.addServer(true), qt.IsNil)
	}
	first, second := f.servers[0], f.servers[1]
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	send := func(s *backendServer, id, workers string, onceOpen func(cancel func())) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		q, err := platformtest.NewRequest(ctx, s.proxy.address(), http.MethodPost, "/stream/x", id, shortTokens, time.Second)
		c.Assert(err, qt.IsNil)
		q.Header.Set("Expect-Runner", s.ID())
		q.Header.Set("Helpers", workers)
		response, err := client.Do(q)
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		onceOpen(cancel)
		_, _ = io.Copy(io.Discard, response.Body) // fails if the response is cut
	}
	read := func(func()) {}
	leave := func(cancel func()) { cancel() }
	setMode := func(mode proxyMode) func(func()) {
		return func(cancel func()) {
			first.proxy.setMode(mode)
			time.AfterFunc(300*time.Millisecond, cancel)
		}
	}
	abort := func(s *backendServer, id string) {
		s.SetFailurePercent(100)
		defer s.SetFailurePercent(0)
		send(s, id, "", read)
	}
	for id, attempts := range map[string]func(id string){
		"cut aborted":               func(id string) { abort(first, id) },
		"cut reset":                 func(id string) { send(first, id, "", setMode(proxyReset)) },
		"cut dropped":               func(id string) { send(first, id, "", setMode(proxyOneWay)) },
		"cut left, then aborted":    func(id string) { send(second, id, "", leave); abort(first, id) },
		"cut aborted, then refused": func(id string) { abort(first, id); send(second, id, "10.9.9.9:1", read) },
		"sound whole":               func(id string) { send(first, id, "", read) },
		"sound left":                func(id string) { send(first, id, "", leave) },
		"sound delayed, left":       func(id string) { send(first, id, "", setMode(proxyDelay)) },
		"sound aborted, then left":  func(id string) { abort(first, id); send(second, id, "", leave) },
		"sound silent, then left":   func(id string) { first.SetSilent(300 * time.Millisecond); send(first, id, "", leave) },
		"sound refused":             func(id string) { send(first, id, "10.9.9.9:1", read) },
	} {
		attempts(id)
		first.proxy.setMode(proxyPass)
		passedOn, cut := f.delivery(id)
		c.Assert(passedOn, qt.IsTrue, qt.Commentf(id))
		c.Assert(cut, qt.Equals, strings.HasPrefix(id, "cut "), qt.Commentf(id))
	}
	passedOn, cut := f.delivery("never sent")
	c.Assert([]bool{passedOn, cut}, qt.DeepEquals, []bool{false, false})
}

func TestLoadSeeds(t *testing.T) {
	c := qt.New(t)
	seeds, err := loadSeeds("regressions.txt", 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(seeds, qt.DeepEquals, []uint64{119, 121, 125, 1001, 7101, 7207})
	seeds, err = loadSeeds("", 7, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(seeds, qt.DeepEquals, []uint64{7, 8})
}

// A fleet that can't be started leaves nothing running: here a directory has the name
// of the second entry's log.
func TestFailedStartStopsEntries(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	c.Assert(os.Mkdir(filepath.Join(dir, "entry-1.log"), 0o700), qt.IsNil)
	before := runtime.NumGoroutine()
	_, err := startFleet(dir, "/bin/false", 1, 3, 3, firstPort+portsPerRun*heldRange(c))
	c.Assert(err, qt.ErrorMatches, ".*entry-1.log.*")
	for deadline := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before+10; {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d goroutines, %d before", runtime.NumGoroutine(), before))
		time.Sleep(10 * time.Millisecond)
	}
}

// Requests with a crashing part that reach servers late, and sound requests that are not
// served, are reported; a disturbed entry excuses what it forgot, but not what follows
// after as many servers ended anew.
func TestCheckerReportsCrashingParts(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	five := []float64{1, 1.1, 1.2, 1.3, 1.4}
	for _, test := range []struct {
		name           string
		ends, sends    []float64
		disturbedUntil float64
		unserved       int
		want           string
	}{
		{"early", five, []float64{1, 2, 3, 4, 4.3}, 0, 0, ""},
		{"few late", five, []float64{5, 6, 7}, 0, 0, ""},
		{"late", five, []float64{5, 6, 7, 8}, 0, 0, "crashing part not refused: 4 requests .*"},
		{"four ends", five[:4], []float64{5, 6, 7, 8}, 0, 0, ""},
		{"disturbed since", five, []float64{5, 6, 7, 8}, 4, 0, ""},
		{"disturbed, then anew", append([]float64{4.1, 4.2, 4.3, 4.4, 4.5}, five...), []float64{8, 9, 10, 11}, 4, 0, "crashing part not refused: 4 requests .*"},
		{"sound requests served", five, nil, 0, 4, ""},
		{"sound requests not served", five, nil, 0, 5, "sound requests not served: 3 of 8 .*"},
	} {
		f := &fleet{entries: []*entry{{}}, crash: &crashingFault{start: start, part: "bad", companion: "shared"}}
		for _, end := range test.ends {
			f.servers = append(f.servers, &backendServer{Server: platformtest.NewServer("", &f.runs), endedAt: at(end)})
		}
		if test.disturbedUntil > 0 {
			f.entries[0].disturbances = intervals{{at(2), at(test.disturbedUntil)}}
		}
		var sends []time.Time
		for _, send := range test.sends {
			sends = append(sends, at(send))
		}
		f.checkSends(f.crash, f.serverEnds(), sends)
		results := []result{{kind: kindStream, start: start.Add(-time.Second), undisturbed: true, served: true}}
		for i := range 8 {
			sound := result{kind: kindStream, start: at(8), undisturbed: true, served: i >= test.unserved, parts: []string{"shared", "own"}}
			other, harmful, early := sound, sound, sound
			other.served, other.parts = false, []string{"other", "own"}
			harmful.served, harmful.harmful = false, true
			early.served, early.start = false, at(7)
			results = append(results, sound, other, harmful, early)
		}
		f.checkSoundRequests(f.crash, f.serverEnds(), results)
		if test.want == "" {
			c.Check(f.checker.reported, qt.HasLen, 0, qt.Commentf(test.name))
			continue
		}
		c.Check(f.checker.reported, qt.HasLen, 1, qt.Commentf(test.name))
		c.Check(f.checker.reported[0], qt.Matches, test.want, qt.Commentf(test.name))
	}
}

// A proxy that drops bytes takes them no faster than a lossy link: it took four gigabytes of
// an answer without end, for which the entry that waited was blamed (seed 7207).
func TestProxyHoldsBackWhatItDrops(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	sent := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		total, chunk := 0, make([]byte, 64<<10)
		for err == nil {
			var n int
			n, err = conn.Write(chunk)
			total += n
		}
		sent <- total
	}()
	p, err := newProxy(listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer p.close()
	p.setMode(proxyOneWay)
	conn, err := net.Dial("tcp", p.address())
	c.Assert(err, qt.IsNil)
	time.Sleep(time.Second)
	conn.Close()
	c.Assert(<-sent < maxEndlessBytes, qt.IsTrue)
}

// Accounts that are served much less often than others, or less often than one that asks
// for more than all servers, are reported; requests before the flood and through disturbed
// entries don't count.
func TestCheckerReportsAccounts(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	for _, test := range []struct {
		name                 string
		large, first, second int
		want                 []string
	}{
		{"shared", 10, 40, 38, nil},
		{"one account is starved", 10, 40, 2, []string{"account served too seldom: account 2 2 of 40, all 52 of 120"}},
		{"large account goes first", 30, 20, 20, []string{"small accounts served less often than the large one: 40 of 80, large 30 of 40"}},
	} {
		f := &fleet{floods: intervals{{start, start.Add(time.Minute)}}}
		var results []result
		for account, served := range []int{test.large, test.first, test.second} {
			for i := range 40 {
				r := result{kind: kindStream, account: account, start: start.Add(time.Second), undisturbed: true, served: i < served}
				disturbed, early := r, r
				disturbed.served, disturbed.undisturbed = false, false
				early.served, early.start = false, start.Add(-time.Second)
				results = append(results, r, disturbed, early)
			}
		}
		f.checkAccounts(results)
		c.Check(f.checker.reported, qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
	f := &fleet{}
	c.Assert(f.checkAccounts([]result{{kind: kindStream}}), qt.Equals, "")
}

// A path fault befalls the connections of the processes that it names, open ones and new ones,
// and no others.
func TestPathFaultBefallsNamedProcesses(t *testing.T) {
	c := qt.New(t)
	echo := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer echo.Close()
	p, err := newProxy(strings.TrimPrefix(echo.URL, "http://"))
	c.Assert(err, qt.IsNil)
	defer p.close()
	client := http.Client{Timeout: time.Second}
	served := func() bool {
		response, err := client.Get("http://" + p.address())
		if err == nil {
			response.Body.Close()
		}
		return err == nil
	}
	c.Assert(served(), qt.IsTrue)
	for _, mode := range []proxyMode{proxySilent, proxyReset} {
		fault := &pathFault{mode: mode, pids: []int{os.Getpid()}}
		p.setPathFault(fault)
		c.Assert(served(), qt.IsFalse) // on the open connection
		c.Assert(served(), qt.IsFalse)
		p.endPathFault(fault)
		c.Assert(served(), qt.IsTrue)
		p.setPathFault(&pathFault{mode: mode, pids: []int{os.Getppid()}})
		c.Assert(served(), qt.IsTrue)
	}
}
