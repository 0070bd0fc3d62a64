package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/operator"
	"greengagedock.example/standin"
)

func TestAdminReportsEntryState(t *testing.T) {
	f := newFleet(t, 3)
	f.start(3)
	ctx := context.Background()
	prompt := strings.Repeat("word ", 400)
	status, body, err := f.call(ctx, f.entries[1], http.MethodPost, "/v1/completions", "balloon-7",
		`{"model": "strip-1", "prompt": "`+prompt+`", "max_tokens": 4}`)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))

	client := operator.NewClient(f.entries[1].AdminAddress())
	reason, err := client.Ready(ctx)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(reason, qt.Equals, "")
	seen, err := client.Status(ctx)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(seen.ID(), qt.Equals, "entry-1")
	f.c.Assert(seen.HasQuorumLease(), qt.IsTrue)
	f.c.Assert(seen.Entries(), qt.HasLen, 3)
	f.c.Assert(seen.Domains(), qt.HasLen, 3)
	config, err := client.Config(ctx)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(len(config.Items()) >= 4, qt.IsTrue, qt.Commentf("%d items", len(config.Items())))
	decisions, err := client.Explain(ctx, "balloon-7")
	f.c.Assert(err, qt.IsNil)
	kinds := make(map[operator.Kind]bool)
	for _, d := range decisions {
		kinds[d.Kind()] = true
	}
	f.c.Assert(kinds[operator.KindAsked] && kinds[operator.KindRouted] && kinds[operator.KindEnded], qt.IsTrue,
		qt.Commentf("%v", kinds))
	vars := f.variables(f.entries[1])
	f.c.Assert(vars["requests"], qt.Equals, 1.0)
	f.c.Assert(vars["requests_answered"], qt.Equals, 1.0)
	f.c.Assert(vars["servers_untrusted"], qt.Equals, 0.0)
	f.c.Assert(vars["heartbeats"].(float64) > 0, qt.IsTrue)
	f.c.Assert(vars["control_busy_ns"].(float64) > 0, qt.IsTrue)
}

func TestBackendServersListsKeptServers(t *testing.T) {
	f := newFleet(t, 3)
	f.start(3)
	kept := make(map[string]string)
	for _, entry := range f.entries {
		servers, err := operator.NewClient(entry.AdminAddress()).BackendServers(context.Background())
		f.c.Assert(err, qt.IsNil)
		for _, s := range servers {
			kept[s.ID()] = s.Service()
			f.c.Assert(s.KeeperLease(), qt.Equals, "full")
		}
	}
	f.c.Assert(kept, qt.DeepEquals, map[string]string{
		"engine-0": "strip-model", "engine-1": "strip-model", "engine-2": "strip-model", "licence-0": "licensing",
	})
}

func TestNotReadyBeforeFirstPlatformRead(t *testing.T) {
	f := newFleet(t, 1)
	f.platform.Inject(standin.Down())
	entry := f.startEntry("entry-0", fleetDomains[0])
	client := operator.NewClient(entry.AdminAddress())
	reason, err := client.Ready(context.Background())
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(reason, qt.Equals, "what is in force is not known yet")
	reason, err = client.Healthy(context.Background())
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(reason, qt.Equals, "")
}

func TestDrainByAnOperator(t *testing.T) {
	f := newFleet(t, 1)
	entry := f.startEntry("entry-0", fleetDomains[0])
	id, err := operator.NewClient(entry.AdminAddress()).Drain(context.Background(), "entry-0")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(id, qt.Equals, "entry-0")
	<-entry.DrainRequested()
	f.c.Assert(entry.Shutdown(context.Background()), qt.IsNil)
	f.c.Assert(entry.Ready(), qt.Equals, errIsDraining)
}

// variables returns the expvar variables of one entry.
func (f *fleet) variables(entry *Process) map[string]any {
	response, err := http.Get("http://" + entry.AdminAddress() + "/debug/vars")
	f.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	f.c.Assert(err, qt.IsNil)
	var all struct {
		Entries map[string]map[string]any `json:"greengagedock"`
	}
	f.c.Assert(json.Unmarshal(text, &all), qt.IsNil)
	return all.Entries[entry.settings.ID()]
}
