package timer

import (
	"container/heap"
	"time"
)

// VirtualClock runs functions at points in virtual time, those due at the same
// time in the order in which they were added. Its zero value is ready to use.
type VirtualClock struct {
	now    time.Duration
	seq    int
	events events
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

// Now returns the virtual time elapsed since the start.
func (c *VirtualClock) Now() time.Duration { return c.now }

// AfterFunc schedules a function to run after d; a negative d counts as 0.
func (c *VirtualClock) AfterFunc(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + max(0, d), c.seq, run})
}

// RunUntil runs all functions due up to the given time and advances the clock
// to it.
func (c *VirtualClock) RunUntil(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = max(c.now, until)
}

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
