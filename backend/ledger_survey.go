package backend

import (
	"math"
	"slices"
	"time"
)

// outlook is what one open server that carries a work could take if it were idle.
type outlook struct {
	book    *book
	limit   Load
	most    Load
	halted  bool
	prefill float64
	decode  float64
}

// survey is the outlook of all open servers that carry a work at one moment.
type survey []outlook

func (l *Allocator) survey(now time.Time, work Workload) survey {
	var s survey
	for _, b := range l.books {
		if !b.open() || !b.serves(work) {
			continue
		}
		o := outlook{book: b, limit: b.limit(), most: b.most(), halted: b.halted(now) != ""}
		o.prefill, o.decode = b.pace.at(now)
		s = append(s, o)
	}
	return s
}

// could reports whether the server could take the want now if it were idle, in time or not.
func (o *outlook) could(want SlotRequest) bool {
	return !o.halted && o.book.need(want.cost).Within(o.limit) && !slices.Contains(want.avoid, o.book.server.id)
}

func (o *outlook) service(cost Cost) time.Duration {
	return seconds(float64(cost.prompt)*o.prefill + float64(cost.answer)*o.decode)
}

// inTime reports whether some server could take the want and end it in time if it were idle.
func (s survey) inTime(now time.Time, want SlotRequest) bool {
	left := want.deadline.Sub(now)
	for i := range s {
		if s[i].could(want) && s[i].service(want.cost) <= left {
			return true
		}
	}
	return false
}

// service returns the shortest time that a server is expected to work on the
// want, of those that may get new work now if there are any.
func (s survey) service(want SlotRequest) time.Duration {
	shortest, halted := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for i := range s {
		if s[i].could(want) {
			shortest = min(shortest, s[i].service(want.cost))
		}
		halted = min(halted, s[i].service(want.cost))
	}
	if shortest < math.MaxInt64 {
		return shortest
	}
	return halted
}

// refuse returns the refusal of a want that no server can take and end in time
// even once it is idle, nil if one can.
func (s survey) refuse(now time.Time, want SlotRequest) *Refusal {
	if len(s) == 0 {
		return NewRefusal(ReasonNoServer, minComeBack)
	}
	var large, able bool
	for i := range s {
		need := s[i].book.need(want.cost)
		large = large || need.tokens <= s[i].most.tokens
		able = able || need.Within(s[i].limit)
	}
	service := s.service(want)
	late := service - want.deadline.Sub(now)
	switch {
	case !large:
		return NewRefusal(ReasonTooLarge, maxComeBack)
	case !able:
		return busy(service)
	case late > 0:
		return busy(late)
	}
	return nil
}
