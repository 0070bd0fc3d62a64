package timer

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestServiceStopEndsSubscriptions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var s Service
		sub := s.Every(time.Second)
		start := s.Now()
		<-sub.C()
		c.Assert(s.Now().Sub(start), qt.Equals, time.Second)
		s.Stop()
		late := s.Every(time.Second)
		time.Sleep(time.Minute)
		for _, sub := range []*Subscription{sub, late} {
			select {
			case <-sub.C():
				c.Fatal("subscription ticked after Stop")
			default:
			}
		}
	})
}
