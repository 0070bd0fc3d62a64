package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mutation is a change of the source with which entries violate one guarantee.
type mutation struct {
	name string
	// file is a source file of the module, in which old is replaced.
	file, old, replacement string
	// faultNames lists the faults under which the violation shows.
	faultNames []string
	// violation is a regular expression that matches the reported violation.
	violation string
	// other is set if entries are replaced by the build with the mutation, there and back.
	other bool
}

var mutations = []mutation{
	{
		"non-idempotent call is sent again", "ingress/request.go",
		"if !q.route.Repeatable() || q.ran >= q.route.MaxAttempts() {", "if false {",
		[]string{"server_faults"}, "^ran twice: once ", false,
	},
	{
		"request that may have run is reported as not run", "ingress/request.go",
		"\tif q.ran > 0 {\n\t\tstatus", "\tif q.ran > maxSends {\n\t\tstatus",
		[]string{"server_faults"}, "^reported as not run, but ran: ", false,
	},
	{
		"stream resumed at another server starts over", "ingress/events.go",
		"if next.id == \"\" {", "if next.id != \"none\" {",
		[]string{"server_faults"}, "^wrong response: stream ", false,
	},
	{
		"draining servers get new requests", "routing/view.go",
		"return ok && !server.draining", "return ok",
		[]string{"server_drain"}, "^request to a draining server: ", false,
	},
	{
		"planned stop does not wait for responses", "gateway/process.go",
		"\terr := p.callerServer.Shutdown(ctx)\n", "\tvar err error\n",
		[]string{"stop"}, "^response lost: ", false,
	},
	{
		"only the first configuration becomes active", "gateway/storecache.go",
		"if c.table != nil && table.Version() <= c.table.Version() {", "if c.table != nil {",
		[]string{"config"}, "^configuration not active: ", false,
	},
	{
		"silent server is given up before another one takes over", "ingress/backup.go",
		"\tallowed := q.sends < maxSends && q.ran+1 < q.route.MaxAttempts()\n", "\ta.cancel(errServerTimeout)\n\tallowed := false\n",
		[]string{"server_silence"}, "^response lost: stream ", false,
	},
	{
		"crashing parts are not refused", "dispatch/quarantine.go",
		"request.parts, p.primary); refused {", "request.parts, p.primary); refused && retryAfter < 0 {",
		[]string{crashingPartFault}, "^crashing part not refused: ", false,
	},
	{
		"crashing requests are not refused", "dispatch/quarantine.go",
		"request.fingerprint, p.primary); refused {", "request.fingerprint, p.primary); refused && retryAfter < 0 {",
		[]string{crashingRequestFault}, "^crashing request not refused: ", false,
	},
	{
		"accounts are not told apart", "ingress/request.go",
		"WithAccount(q.account.Name())", "WithAccount(\"\")",
		[]string{competingAccountsFault}, "^small accounts served less often than the large one: ", false,
	},
	{
		"rate limits of servers are ignored", "dispatch/ratelimit.go",
		"func (p *pool) admitsLimited(now time.Time, s *server) bool {\n\tif s.limit.perSecond == 0 {", "func (p *pool) admitsLimited(now time.Time, s *server) bool {\n\tif s != nil {",
		[]string{"server_limit"}, "^rate limit exceeded: ", false,
	},
	{
		"leaving servers get new requests", "ingress/notice.go",
		"if metadata.Leaving() && ", "if metadata.Leaving() && s == nil && ",
		[]string{"server_leaving"}, "^request to a leaving server: ", false,
	},
	{
		"refusing servers get new requests", "ingress/notice.go",
		"wait := metadata.RetryAfter(); wait > 0 {", "wait := metadata.RetryAfter(); wait > 0 && s == nil {",
		[]string{"server_refusing"}, "^request to a refusing server: ", false,
	},
	{
		"promise of a server that ran the request is passed on", "ingress/attempt.go",
		"promisesNotRun(status) {", "promisesNotRun(status) && q == nil {",
		[]string{"server_promise"}, "^reported as not run, but ran: once ", false,
	},
	{
		"heads without end are read", "upstream/connection.go",
		"c.limiter.limit(maxBytesBeforeResponse)", "c.limiter.unlimit()\n\tc.headMemory.memory = nil", // which ends them too
		[]string{"server_endless"}, "^answer without end not ended: ", false,
	},
	{
		"other version drops a field", "mesh/fields.go",
		"if i, known := m.byName[name]; known {", "if i, known := m.byName[name]; known && name != \"Parts\" {",
		[]string{crashingPartFault}, "^crashing part not refused: ", true,
	},
	{
		"other version refuses messages", "mesh/fields.go",
		"\tn, err := decoder.DecodeArrayLen()\n", "\tn, err := decoder.DecodeArrayLen()\n\tif n != len(m.names) {\n\t\treturn decoder.DecodeNil()\n\t}\n",
		[]string{"stop"}, "^message refused: ", true,
	},
}

// maxMutationRuns is how many runs may be needed until a violation shows: runs
// take place in real time, and a fault may have affected no request.
const maxMutationRuns = 8

// A run reports the violation that each mutation causes.
func TestSoakDetectsMutations(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			dir := t.TempDir()
			o := options{daemon: m.build(c, dir, true), dir: dir, entries: 3, servers: 6, callers: 24, faultDuration: 4 * time.Second, faultNames: m.faultNames}
			if m.other {
				o.daemon, o.otherDaemon = m.build(c, dir, false), o.daemon
			}
			portRange := heldRange(c)
			var violations []string
			for seed := range uint64(maxMutationRuns) {
				summary, reported := run(o, seed+1, portRange)
				t.Log(summary)
				if slices.ContainsFunc(reported, regexp.MustCompile(m.violation).MatchString) {
					return
				}
				violations = append(violations, reported...)
			}
			t.Fatalf("violation not reported in %d runs, which reported:\n%s", maxMutationRuns, strings.Join(violations, "\n"))
		})
	}
}

// build builds the daemon, with the mutation if mutated is set, and returns its path.
func (m mutation) build(c *qt.C, dir string, mutated bool) string {
	file, err := filepath.Abs(filepath.Join("..", "..", m.file))
	c.Assert(err, qt.IsNil)
	text, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(string(text), m.old), qt.Equals, 1, qt.Commentf("%s does not contain the mutated text once", m.file))
	replaced, replacement, name := filepath.Join(dir, "mutated.go"), m.replacement, "greengagedockd"
	if !mutated {
		replacement, name = m.old, "greengagedockd-plain"
	}
	c.Assert(os.WriteFile(replaced, []byte(strings.Replace(string(text), m.old, replacement, 1)), 0o600), qt.IsNil)
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{file: replaced}})
	c.Assert(err, qt.IsNil)
	overlayFile := filepath.Join(dir, "overlay.json")
	c.Assert(os.WriteFile(overlayFile, overlay, 0o600), qt.IsNil)
	daemon := filepath.Join(dir, name)
	out, err := exec.Command("go", "build", "-overlay", overlayFile, "-o", daemon, "greengagedock.example/cmd/greengagedockd").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return daemon
}
