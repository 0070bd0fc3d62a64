package backend

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// check tests what must hold after every step.
func (o *oracle) check() error {
	for _, s := range o.servers {
		if load, bears := s.load(), s.bears(); !load.Within(bears) && !s.refuses {
			return fmt.Errorf("%s runs %+v and bears %+v", s.facts.id, load, bears)
		}
		if err := o.checkCounted(s); err != nil {
			return err
		}
	}
	for _, id := range o.ids(phaseAsked) {
		if err := o.checkWaiting(o.attempts[id]); err != nil {
			return err
		}
	}
	return nil
}

// state returns what the server's keeper says of it.
func (o *oracle) state(s *trueServer) ServerState {
	for _, state := range o.keeper(s).Servers(o.now) {
		if state.server == s.facts.id {
			return state
		}
	}
	return ServerState{}
}

// checkCounted tests that a ledger counts every stream that runs and no slot
// that was given back.
func (o *oracle) checkCounted(s *trueServer) error {
	explained := maps.Clone(s.shown)
	if explained == nil {
		explained = map[string]bool{}
	}
	for id, a := range o.attempts {
		if a.slot.server == s.facts.id && a.phase != phaseEnded {
			explained[id] = true
		}
	}
	counted := o.state(s).load
	if counted.requests > len(explained) {
		return fmt.Errorf("%s: %d counted, %d explained", s.facts.id, counted.requests, len(explained))
	}
	if known := o.known(s); s.reported == s.incarnation() && !known.Within(counted) {
		return fmt.Errorf("%s: %+v counted, %+v granted or adopted runs", s.facts.id, counted, known)
	}
	return nil
}

// known returns the load of the streams whose slots the server's keeper granted or adopted.
func (o *oracle) known(s *trueServer) Load {
	var sum Load
	for id, cost := range s.streams {
		if o.attempts[id].stint == s.stint {
			sum = sum.Add(NewLoad(1, cost.Tokens()))
		}
	}
	return sum
}

// idleWait is how long a short want may wait while a server that can take it is idle.
const idleWait = 500 * time.Millisecond

// checkWaiting tests that a want is decided by its deadline and doesn't wait beside an idle server.
func (o *oracle) checkWaiting(a *attempt) error {
	if o.now.After(a.want.deadline) {
		return fmt.Errorf("%s: no decision by the deadline", a.want.id)
	}
	if !o.idleServer(a.want) {
		a.idle = time.Time{}
		return nil
	}
	if a.idle.IsZero() {
		a.idle = o.now
	}
	if waited := o.now.Sub(a.idle); waited > idleWait {
		return fmt.Errorf("%s: waits %v beside an idle server", a.want.id, waited)
	}
	return nil
}

// idleServer reports whether all servers of the want's keeper are idle and one can take it.
func (o *oracle) idleServer(want SlotRequest) bool {
	able := false
	for _, s := range o.servers {
		if s.keeper != o.asked(want) || s.facts.service != want.work.service {
			continue
		}
		state := o.state(s)
		if state.load.requests > 0 {
			return false
		}
		need := NewLoad(1, want.cost.Tokens())
		able = able || state.halted == "" && need.Within(state.limit) && !slices.Contains(want.avoid, s.facts.id)
	}
	return able
}

// asked returns the ledger that a want is sent to.
func (o *oracle) asked(want SlotRequest) int { return int(want.prefix) % oracleKeepers }
