package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/routing"
	"greengagedock.example/timer"
)

// Guards against a process that ends by one unexpected error in its control loop: the call
// that caused it fails, and the loop goes on.
func TestControlLoopSurvivesPanic(t *testing.T) {
	c := qt.New(t)
	entry := newControl(NewSettings("e1", "a", "r"), 1, nil, hclog.NewNullLogger(), &timer.Service{})
	stop := make(chan struct{})
	go entry.run(stop)
	defer close(stop)
	c.Assert(entry.do(func(time.Time) { panic("unexpected") }), qt.IsFalse)
	c.Assert(entry.do(func(time.Time) {}), qt.IsTrue)
	c.Assert(entry.panics.Load(), qt.Equals, int64(1))
}

// Guards against a process that ends by one published item, and against one that uses no
// item of the store any more: only the item that can't be decoded is left out.
func TestItemThatPanicsIsLeftOut(t *testing.T) {
	c := qt.New(t)
	decode := func(item Item) (Published, error) {
		if item.Key() == "bad" {
			panic("malformed")
		}
		return PublishedEvacuation{}, nil
	}
	entry := newControl(NewSettings("e1", "a", "r"), 1, decode, hclog.NewNullLogger(), &timer.Service{})
	revision := routing.NewRevision(1, 2)
	entry.cache.replace(time.Now(), []Item{NewItem("bad", revision, nil), NewItem("good", revision, nil)}, revision)
	c.Assert(entry.cache.decoded["good"], qt.IsNotNil)
	c.Assert(entry.cache.decoded["bad"], qt.IsNil)
	c.Assert(entry.cache.revision, qt.Equals, revision)
}
