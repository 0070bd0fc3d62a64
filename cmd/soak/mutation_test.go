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

// mutation is a fault in the product that breaks one promise.
type mutation struct {
	name string
	// file is a source file of the module, in which old is replaced.
	file, old, replacement string
	// faultNames names the faults of the run in which it shows, want what is then reported.
	faultNames []string
	violation  string
}

var mutations = []mutation{
	{
		"a call that may not be repeated is repeated", "ingress/request.go",
		"if !q.route.Repeatable() || q.ran >= q.route.MaxAttempts() {", "if false {",
		[]string{"server_faults"}, "^ran twice: once ",
	},
	{
		"what may have run is said not to have run", "ingress/request.go",
		"\tif q.ran > 0 {\n\t\tstatus", "\tif q.ran > maxSends {\n\t\tstatus",
		[]string{"server_faults"}, "^not run, though it ran: ",
	},
	{
		"a stream that goes on elsewhere begins anew", "ingress/events.go",
		"if next.id == \"\" {", "if next.id != \"none\" {",
		[]string{"server_faults"}, "^wrong answer: stream ",
	},
	{
		"servers that leave get new work", "routing/view.go",
		"return ok && !server.draining", "return ok",
		[]string{"server_drain"}, "^work for a leaving server: ",
	},
	{
		"a planned stop does not wait for answers", "gateway/process.go",
		"\terr := p.callerServer.Shutdown(ctx)\n", "\tvar err error\n",
		[]string{"stop"}, "^cut: ",
	},
	{
		"only the first configuration comes into force", "gateway/storecache.go",
		"if c.table != nil && table.Version() <= c.table.Version() {", "if c.table != nil {",
		[]string{"config"}, "^configuration not in force: ",
	},
}

// maxMutationRuns is how many runs may be needed until a fault shows: they are in
// real time, and a fault may have met no request.
const maxMutationRuns = 8

// For each promise there is a fault in the product with which a run fails.
func TestMutationsFailTheSoak(t *testing.T) {
	for i, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			dir := t.TempDir()
			o := options{daemon: m.build(c, dir), dir: dir, entries: 3, servers: 6, callers: 24, faultDuration: 4 * time.Second, faultNames: m.faultNames}
			var problems []string
			for seed := range uint64(maxMutationRuns) {
				line, reported := run(o, seed+1, portRanges-2-i)
				t.Log(line)
				if slices.ContainsFunc(reported, regexp.MustCompile(m.violation).MatchString) {
					return
				}
				problems = append(problems, reported...)
			}
			t.Fatalf("not seen in %d runs, which reported:\n%s", maxMutationRuns, strings.Join(problems, "\n"))
		})
	}
}

// build builds the daemon with the fault and returns its path.
func (m mutation) build(c *qt.C, dir string) string {
	file, err := filepath.Abs(filepath.Join("..", "..", m.file))
	c.Assert(err, qt.IsNil)
	text, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(string(text), m.old), qt.Equals, 1, qt.Commentf("%s has changed", m.file))
	changed := filepath.Join(dir, "changed.go")
	c.Assert(os.WriteFile(changed, []byte(strings.Replace(string(text), m.old, m.replacement, 1)), 0o600), qt.IsNil)
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{file: changed}})
	c.Assert(err, qt.IsNil)
	overlayFile := filepath.Join(dir, "overlay.json")
	c.Assert(os.WriteFile(overlayFile, overlay, 0o600), qt.IsNil)
	daemon := filepath.Join(dir, "greengagedockd")
	out, err := exec.Command("go", "build", "-overlay", overlayFile, "-o", daemon, "greengagedock.example/cmd/greengagedockd").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return daemon
}
