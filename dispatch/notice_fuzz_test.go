package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagedock.example/flagtest"
	"greengagedock.example/routing"
)

// Guards against DRAIN and BUDGET: whatever happens in whatever order, no grant has a
// server that leaves or whose time of refusal is not over, and no request waits or is
// granted while all servers refuse.
func TestNoGrantAgainstAServersWord(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "1")
	flagtest.SetDefault(t, "rapid.checks", "300")
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4, 3)
		starts := make(map[string]int64)
		leaving := make(map[routing.Incarnation]bool)
		until := make(map[routing.Incarnation]time.Time)
		ids := []string{"e00", "e01", "e02", "e03", "p00", "p01", "p02"}
		publish := func() {
			servers := f.servers(4, 3)
			for i, s := range servers {
				servers[i] = s.WithIncarnation(starts[s.ID()], routing.NewRevision(0, 1))
			}
			f.publish(servers...)
		}
		allRefuse := func(service string) bool {
			usable := 0
			for id, s := range f.view.Servers() {
				if s.Service() != service || leaving[s.Incarnation()] {
					continue
				}
				usable++
				if !f.now.Before(until[routing.NewIncarnation(id, starts[id])]) {
					return false
				}
			}
			return usable > 0
		}
		check := func(d Decision) {
			granted, ok := d.(Granted)
			if !ok {
				return
			}
			for _, id := range granted.Grant().Servers() {
				server := routing.NewIncarnation(id, starts[id])
				if leaving[server] || f.now.Before(until[server]) {
					t.Fatalf("granted %v: leaving %v, refuses for %v", server, leaving[server], until[server].Sub(f.now))
				}
			}
		}
		var open []string
		for step := range rapid.IntRange(20, 120).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "server")
			server := routing.NewIncarnation(id, starts[id])
			switch rapid.SampledFrom([]string{"submit", "submit", "again", "end", "end", "leave", "refuse", "restart", "publish", "wait"}).Draw(t, "event") {
			case "submit":
				request := f.plainRequest(fmt.Sprint("r", step))
				if id[0] == 'e' {
					request = f.long(request.ID(), rapid.SampledFrom([]int{1000, 60_000, 120_000}).Draw(t, "prompt"))
				}
				request = request.WithExclude(id)
				d := f.scheduler.Submit(f.now, f.owner, request)
				check(d)
				if refused, ok := d.(Refused); allRefuse(request.Service()) != (ok && refused.Reason() == ReasonServersRefuse) {
					t.Fatalf("all refuse: %v, decision %+v", allRefuse(request.Service()), d)
				}
				open = append(open, request.ID())
			case "again":
				if len(open) > 0 {
					check(f.scheduler.Submit(f.now, f.owner, f.plainRequest(open[len(open)-1])))
				}
			case "end":
				if len(open) > 0 {
					f.scheduler.Ended(f.now, open[0], rapid.SampledFrom([]Outcome{OutcomeComplete, OutcomeBroken, OutcomeRejected, OutcomeStalled, OutcomeUnreachable, OutcomeWithdrawn, OutcomeServerError}).Draw(t, "outcome"))
					open = open[1:]
				}
			case "leave":
				leaving[server] = true
				f.notice(routing.NewLeaving(server, f.now))
			case "refuse":
				wait := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
				until[server] = later(until[server], f.now.Add(wait))
				f.notices.Add(f.now, routing.NewRefusing(server, f.now.Add(wait), f.now))
				f.scheduler.Refuse(server, f.now.Add(wait))
			case "restart":
				starts[id]++
				publish()
			case "publish":
				publish()
			case "wait":
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				for _, d := range f.scheduler.Tick(f.now) {
					check(d)
				}
			}
		}
	})
}
