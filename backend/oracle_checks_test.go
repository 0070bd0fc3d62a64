package backend

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// check tests the invariants that hold after every step.
func (o *oracle) check() error {
	for _, s := range o.servers {
		if load, capacity := s.load(), s.capacity(); !load.Within(capacity) && !s.refuses {
			return fmt.Errorf("%s runs %+v, beyond its capacity %+v", s.server.id, load, capacity)
		}
		if err := o.checkCounted(s); err != nil {
			return err
		}
	}
	for _, id := range o.ids(phaseRequested) {
		if err := o.checkWaiting(o.attempts[id]); err != nil {
			return err
		}
	}
	return nil
}

// state returns the state of the server at its keeper.
func (o *oracle) state(s *simServer) ServerState {
	for _, state := range o.keeper(s).Servers(o.now) {
		if state.server == s.server.id {
			return state
		}
	}
	return ServerState{}
}

// checkCounted tests that an allocator counts every running stream and no
// released slot.
func (o *oracle) checkCounted(s *simServer) error {
	explained := maps.Clone(s.mayBeCounted)
	if explained == nil {
		explained = map[string]bool{}
	}
	for id, a := range o.attempts {
		if a.slot.server == s.server.id && a.phase != phaseEnded {
			explained[id] = true
		}
	}
	counted := o.state(s).load
	if counted.requests > len(explained) {
		return fmt.Errorf("%s: %d counted, %d explained", s.server.id, counted.requests, len(explained))
	}
	if running := o.grantedLoad(s); s.latestIncarnation == s.incarnation() && !running.Within(counted) {
		return fmt.Errorf("%s: %+v counted, %+v granted or adopted runs", s.server.id, counted, running)
	}
	return nil
}

// grantedLoad returns the load of the streams whose slots the server's keeper
// granted or adopted.
func (o *oracle) grantedLoad(s *simServer) Load {
	var sum Load
	for id, cost := range s.streams {
		if o.attempts[id].term == s.term {
			sum = sum.Add(NewLoad(1, cost.Tokens()))
		}
	}
	return sum
}

// idleWait is how long a request may wait while a server that can take it is
// idle.
const idleWait = 500 * time.Millisecond

// checkWaiting tests that a request is decided by its deadline and doesn't
// wait while a server is idle.
func (o *oracle) checkWaiting(a *attempt) error {
	if o.now.After(a.request.deadline) {
		return fmt.Errorf("%s: no decision by the deadline", a.request.id)
	}
	if !o.hasIdleServer(a.request) {
		a.idleSince = time.Time{}
		return nil
	}
	if a.idleSince.IsZero() {
		a.idleSince = o.now
	}
	if waited := o.now.Sub(a.idleSince); waited > idleWait {
		return fmt.Errorf("%s: waits %v while a server is idle", a.request.id, waited)
	}
	return nil
}

// hasIdleServer reports whether all servers of the request's keeper are idle
// and one can take the request.
func (o *oracle) hasIdleServer(request SlotRequest) bool {
	capable := false
	for _, s := range o.servers {
		if s.keeper != o.allocatorFor(request) || s.server.service != request.workload.service {
			continue
		}
		state := o.state(s)
		if state.load.requests > 0 {
			return false
		}
		need := NewLoad(1, request.cost.Tokens())
		capable = capable || state.suspendedReason == "" && need.Within(state.limit) && !slices.Contains(request.avoid, s.server.id)
	}
	return capable
}

// allocatorFor returns the index of the allocator that a request is sent to.
func (o *oracle) allocatorFor(request SlotRequest) int { return int(request.prefix) % oracleAllocators }
