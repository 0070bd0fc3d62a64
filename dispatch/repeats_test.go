package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/quarantine"
	"greengagedock.example/routing"
)

// Guards against BUDGET: a request that has crashed servers of one service crashes those of
// another one, to which a new configuration routes it.
func TestRepeatIsRefusedAtOtherServices(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	servers := make(map[string]routing.Server)
	for i := range 4 {
		for _, service := range []string{"desk", "archive"} {
			id := fmt.Sprint(service, i)
			servers[id] = routing.NewServer(id, service, id+":1", "a", 6)
		}
	}
	table := routing.NewTable(1, nil, []routing.Service{routing.NewService("desk"), routing.NewService("archive")}, nil, routing.Limits{})
	scheduler, owner := NewScheduler("e1"), NewOwner("e1", 1)
	scheduler.SetView(now, routing.NewView(routing.NewRevision(0, 1), table, servers, nil))
	fingerprint := quarantine.NewFingerprint("account", "GET", "h", "/bad", "", nil)
	submit := func(id, service string) Decision {
		return scheduler.Submit(now, owner, NewRequest(id, service).WithTimes(now, now.Add(time.Second), now.Add(2*time.Second)).WithFingerprint(fingerprint))
	}
	for i := range 3 {
		now = now.Add(time.Second)
		granted, ok := submit(fmt.Sprint("r", i), "desk").(Granted)
		c.Assert(ok, qt.IsTrue)
		scheduler.Ended(now.Add(50*time.Millisecond), granted.Grant().ID(), OutcomeBroken)
	}
	now = now.Add(time.Second)
	for _, service := range []string{"desk", "archive"} {
		refused, ok := submit("again-"+service, service).(Refused)
		c.Assert(ok, qt.IsTrue, qt.Commentf(service))
		c.Assert(refused.Reason(), qt.Equals, ReasonQuarantined)
	}
}
