package experiment

import (
	"slices"
	"time"

	"greengagedock.example/dispatch"
)

// FIFO places prompts in the order of their arrival, each on the engine with the most free
// slots among those with a free slot and enough memory, without prefill workers. It refuses
// a prompt that still waits at the time at which its caller disconnects, and those too large
// for one engine.
type FIFO struct{}

func (FIFO) policy() {}

// fifoRetryAfter is the retry delay of refused requests.
const fifoRetryAfter = time.Second

// fifoScheduler implements the policy FIFO.
type fifoScheduler struct {
	workload Workload
	queue    []dispatch.Request
	running  map[string]fifoPlacement
	slots    []int
	memory   []int
}

type fifoPlacement struct {
	server int
	tokens int
}

func newFIFOScheduler(w Workload) *fifoScheduler {
	return &fifoScheduler{workload: w, running: make(map[string]fifoPlacement), slots: make([]int, w.servers), memory: make([]int, w.servers)}
}

// Submit places the request if none waits before it, or queues it.
func (s *fifoScheduler) Submit(_ time.Time, _ dispatch.Owner, req dispatch.Request) dispatch.Decision {
	if req.Prompt()+req.Answer() > s.workload.engine.Memory() {
		return dispatch.NewRefused(req.ID(), dispatch.ReasonTooLarge, fifoRetryAfter)
	}
	if len(s.queue) == 0 {
		if decision, ok := s.place(req); ok {
			return decision
		}
	}
	s.queue = append(s.queue, req)
	return dispatch.Queued{}
}

// place places a request if there is room for it.
func (s *fifoScheduler) place(req dispatch.Request) (dispatch.Decision, bool) {
	best, tokens := -1, req.Prompt()+req.Answer()
	for i := range s.slots {
		if s.slots[i] < s.workload.engine.Slots() && s.memory[i]+tokens <= s.workload.engine.Memory() && (best < 0 || s.slots[i] < s.slots[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	s.slots[best]++
	s.memory[best] += tokens
	s.running[req.ID()] = fifoPlacement{best, tokens}
	return dispatch.NewGranted(dispatch.NewGrant(req.ID(), serverID(best), serverID(best), nil, 0)), true
}

// Tick places the first requests in the queue for which there is room.
func (s *fifoScheduler) Tick(now time.Time) []dispatch.Decision {
	var out []dispatch.Decision
	for len(s.queue) > 0 {
		decision, ok := dispatch.Decision(dispatch.NewRefused(s.queue[0].ID(), dispatch.ReasonPastDeadline, fifoRetryAfter)), true
		if now.Before(s.queue[0].FirstTokenDeadline()) {
			decision, ok = s.place(s.queue[0])
		}
		if !ok {
			return out
		}
		out = append(out, decision)
		s.queue = s.queue[1:]
	}
	return out
}

// Undelivered returns no decisions.
func (s *fifoScheduler) Undelivered() []dispatch.Decision { return nil }

// Started does nothing.
func (s *fifoScheduler) Started(time.Time, string) {}

// Ended frees what the request took.
func (s *fifoScheduler) Ended(_ time.Time, id string, _ dispatch.Outcome) {
	if placement, ok := s.running[id]; ok {
		delete(s.running, id)
		s.slots[placement.server]--
		s.memory[placement.server] -= placement.tokens
	}
}

// Withdraw removes a request from the queue.
func (s *fifoScheduler) Withdraw(id string) {
	s.queue = slices.DeleteFunc(s.queue, func(r dispatch.Request) bool { return r.ID() == id })
}

// Waiting returns the number of queued requests.
func (s *fifoScheduler) Waiting() int { return len(s.queue) }

// ObserveLoad does nothing.
func (s *fifoScheduler) ObserveLoad(time.Time, string, dispatch.ObservedLoad) {}
