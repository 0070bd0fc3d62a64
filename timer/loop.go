package timer

import (
	"container/heap"
	"time"
)

// VirtualClock runs functions at moments of virtual time, those of one moment in the
// order in which they were added; its zero value is ready to use.
type VirtualClock struct {
	now    time.Duration
	order  int
	events events
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

// Now returns the virtual time since the start.
func (l *VirtualClock) Now() time.Duration { return l.now }

// AfterFunc has a function run once d has passed.
func (l *VirtualClock) AfterFunc(d time.Duration, run func()) {
	l.order++
	heap.Push(&l.events, event{l.now + max(0, d), l.order, run})
}

// RunUntil runs all that is due until the given time, which is then the present.
func (l *VirtualClock) RunUntil(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = max(l.now, until)
}

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
