package dispatch

import (
	"cmp"
	"slices"
	"time"

	"greengagedock.example/routing"
)

const (
	// comeBackNoServer is when to try again while no server is known.
	comeBackNoServer = 500 * time.Millisecond
	// comeBackLeast and comeBackMost bound the advice when to come back.
	comeBackLeast = 200 * time.Millisecond
	comeBackMost  = 2 * time.Second
	// comeBackLate bounds the advice to those that are late already.
	comeBackLate = 5 * time.Second
	// drainPart is the part of the servers' time that reads what waits already:
	// prompts that come later and can be on time go ahead of those that can't.
	drainPart = 0.3
	// plainPatience is the part of the objective for which a plain call may wait.
	plainPatience = 0.5
	// usualShare is the part of a prompt that one of its readers usually reads.
	usualShare = 0.125
)

// wait refuses a want that has no time left to wait, else lets it wait.
func (p *pool) wait(now time.Time, want Request, reason Reason) Decision {
	if now.Before(want.patience(p.service.Engine())) {
		return nil
	}
	return NewRefused(want.id, reason, p.comeBack(now))
}

// reading returns the time that an engine takes to read a want's prompt alone.
func (p *pool) reading(want Request) time.Duration {
	if engine := p.service.Engine(); engine != nil {
		return engine.PrefillTime(want.prompt, 1)
	}
	return 0
}

// hopeless refuses a want that is late already and, behind the reading that
// goes ahead of it, would not be served in time: its caller does better to come
// back when that is read.
func (p *pool) hopeless(now time.Time, w *waiting, ahead time.Duration) Decision {
	engine := p.service.Engine()
	if engine == nil || !w.want.late(now, engine) || w.owed {
		return nil
	}
	usable, backlog := p.usable(now)
	if usable == 0 {
		return nil
	}
	wait := time.Duration(float64(ahead+backlog) / (float64(usable) * drainPart))
	if now.Add(wait).Before(w.want.patience(engine)) {
		return nil
	}
	return NewRefused(w.want.id, ReasonPastDeadline, min(max(wait, comeBackLeast), comeBackLate))
}

// patience returns until when a want may wait for a place.
func (w Request) patience(engine *routing.EngineProfile) time.Time {
	if engine == nil {
		return w.arrived.Add(time.Duration(plainPatience * float64(w.objective.Sub(w.arrived))))
	}
	soonest := engine.PrefillTime(w.prompt, 1.0/(1+maxHelpers)) + engine.DecodePassTime(1, w.prompt)
	bears := w.firstBy.Sub(w.arrived)
	return w.arrived.Add(time.Duration(firstPart*float64(bears)) - soonest)
}

// late reports whether a want can't meet its objective any more.
func (w Request) late(now time.Time, engine *routing.EngineProfile) bool {
	return now.Add(engine.PrefillTime(w.prompt, 1.0/(1+maxHelpers))).After(w.objective)
}

// response returns the ratio by which waiting prolongs a want's reading; the
// highest goes first, so that short prompts pass long ones for a while only.
func (w Request) response(now time.Time, engine *routing.EngineProfile) float64 {
	reading := max(float64(engine.PrefillTime(w.prompt, usualShare)), float64(time.Millisecond))
	return 1 + float64(now.Sub(w.arrived))/reading
}

// arrange sorts the wants that wait: first those that can be on time, then those
// that are owed a place, each by rank and then by response ratio.
func (p *pool) arrange(now time.Time) {
	engine := p.service.Engine()
	for _, w := range p.queue {
		w.owed = p.owed(w.want)
	}
	slices.SortStableFunc(p.queue, func(a, b *waiting) int {
		if engine == nil {
			return cmp.Or(a.want.rank-b.want.rank, a.want.arrived.Compare(b.want.arrived))
		}
		if aLate, bLate := a.want.late(now, engine), b.want.late(now, engine); aLate != bLate {
			if aLate {
				return 1
			}
			return -1
		} else if aLate && a.owed != b.owed {
			if a.owed {
				return -1
			}
			return 1
		}
		return cmp.Or(a.want.rank-b.want.rank, cmp.Compare(b.want.response(now, engine), a.want.response(now, engine)))
	})
}

// comeBack returns when a place is likely to be free.
func (p *pool) comeBack(now time.Time) time.Duration {
	least := time.Duration(-1)
	for _, s := range p.order {
		if s.usable && (least < 0 || s.backlog(now) < least) {
			least = s.backlog(now)
		}
	}
	return min(max(least, comeBackLeast), comeBackMost)
}
