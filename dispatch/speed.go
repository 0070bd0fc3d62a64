package dispatch

import (
	"math"
	"time"
)

// Each server of a model service has a speed factor, by which its prefill and decode times
// are longer than its engine profile states, learned from the times to first events. Such a time
// lies within a range: it includes the rest of the pass that runs when the request arrives,
// the prefill that the server gets before and after it, and the time for which entries batch
// events. A sample speaks for another factor only if that is outside of the range.

const (
	// minSlowSamples is the number of consecutive samples that show a slower server before it
	// counts as slower; a single one may be an outlier. The samples must come from two entries,
	// since a slow entry sees all servers as slow, or be sameEntrySamples.
	minSlowSamples   = 2
	sameEntrySamples = 4
	// speedupWeight is the weight of a sample that shows a faster server.
	speedupWeight = 0.25
	// speedDecayTime is the time constant with which a slowdown is forgotten. A slow server
	// gets a request when enough of it is, which shows whether it has recovered.
	speedDecayTime = 15 * time.Second
	// maxSpeedFactor bounds the factor: a server that is slower still gets nothing anyway.
	maxSpeedFactor = 16
	// minSlowdown is the lowest factor that a sample must show.
	minSlowdown = 1.3
	// minSpeedEffect is the smallest slowdown that counts; smaller ones are noise.
	minSpeedEffect = 0.02
	// serviceTimeWeight is the weight of a sample in the mean service time of a plain server,
	// minServiceSamples the number of samples from which it counts, and usualTimeRatio up to
	// which its ratio to that of the fastest server is noise.
	serviceTimeWeight = 0.1
	minServiceSamples = 8
	usualTimeRatio    = 1.5
)

// speed is what a scheduler has learned of a server's speed. Its zero value is unknown.
type speed struct {
	// slowdown is the factor minus 1.
	slowdown float64
	// at is the time as of which the slowdown has decayed.
	at time.Time
	// slower holds the consecutive samples that showed a slower server.
	slower []speedSample
	// prefill is the prefill work given to the server so far, at its profile's speed.
	prefill time.Duration
	// serviceTime is the mean time that calls of a plain service take, over samples.
	serviceTime time.Duration
	samples     int
}

// speedSample is the factor that a request shows, the entry that reported it, and when the
// request was granted and its first event arrived.
type speedSample struct {
	factor    float64
	entry     string
	grantedAt time.Time
	startedAt time.Time
}

// speedBasis is what a request needs to show its server's speed. It is zero if the request
// shows nothing.
type speedBasis struct {
	// expected is the time to the first event at the profile's speed, behind the prefill that
	// the server had then, and decode the part of it that the decode steps of a pass take.
	expected time.Duration
	decode   time.Duration
	// others is the number of other requests that the server had.
	others int
	// prefill is the server's count of prefill work with the request's own.
	prefill time.Duration
	// alone is set if the server had no other prefill.
	alone bool
}

// speedFactor returns the factor by which the server is slower than its profile states.
func (s *server) speedFactor() float64 { return 1 + s.speed.slowdown }

// scaled returns the time that the server takes for what takes d at its profile's speed.
func (s *server) scaled(d time.Duration) time.Duration {
	if s.speed.slowdown == 0 {
		return d
	}
	return time.Duration(float64(d) * s.speedFactor())
}

// unscaled is the inverse of scaled.
func (s *server) unscaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.speedFactor())
}

// speedBasisOf returns the basis on which a request that is placed now shows the server's
// speed; the request must not have been added to the server.
func (p *pool) speedBasisOf(now time.Time, request Request, choice placement) speedBasis {
	s := choice.server
	if len(choice.workers) > 0 || s.workerFor > 0 || s.unseen(now) > 0 || p.unseenShare > 0 || now.Before(s.coldUntil) {
		return speedBasis{}
	}
	return speedBasis{
		expected: s.unscaled(choice.timeToFirstToken), decode: s.unscaled(s.decodePassTime()), others: len(s.running),
		prefill: s.speed.prefill + s.unscaled(s.prefillTime(request.prompt, 1)),
		alone:   s.backlog(now) == 0 && s.unanswered() == 0,
	}
}

// learnSpeed learns from the first event of a request. Prefill that the server got after the
// request may have delayed it.
func (s *server) learnSpeed(now time.Time, alloc *allocation) {
	basis := alloc.speedBasis
	if basis.expected <= 0 || s.unseen(now) > 0 {
		return
	}
	actual := now.Sub(alloc.granted)
	later := s.speed.prefill - basis.prefill
	high := float64(actual) / float64(basis.expected)
	low := float64(actual-overdueSlack) / float64(basis.expected+later+s.morePasses(basis))
	s.speed.decay(now)
	switch factor := s.speedFactor(); {
	case low > max(minSlowdown, factor):
		s.speed.addSlower(speedSample{min(maxSpeedFactor, low), alloc.owner.entry, alloc.granted, now})
	case high < factor && basis.alone && later == 0:
		s.speed.slower = nil
		s.speed.slowdown += speedupWeight * (max(1, high) - factor)
	case basis.alone && later == 0:
		s.speed.slower = nil
	}
}

// morePasses returns the time that decode steps may add to the expected time to a first
// event: those of the pass that runs when the request arrives and of the request's own, with
// all the other requests on the server, some of which may have begun to decode meanwhile.
func (s *server) morePasses(basis speedBasis) time.Duration {
	others := max(basis.others, len(s.running)-1)
	if others <= 0 {
		return 0
	}
	return max(0, 2*s.engine.DecodePassTime(others, s.memory)-basis.decode)
}

// addSlower adds a sample that shows a slower server, and accepts the least slowdown that
// the latest ones show once there are enough. Requests that waited at the same time may have
// been delayed by the same thing, and count as one.
func (v *speed) addSlower(sample speedSample) {
	if n := len(v.slower); n > 0 && sample.grantedAt.Before(v.slower[n-1].startedAt) {
		return
	}
	v.slower = append(v.slower, sample)
	if excess := len(v.slower) - sameEntrySamples; excess > 0 {
		v.slower = v.slower[excess:]
	}
	latest := v.slower[max(0, len(v.slower)-minSlowSamples):]
	if len(latest) < minSlowSamples || latest[0].entry == sample.entry && len(v.slower) < sameEntrySamples {
		return
	}
	least := sample.factor
	for _, other := range latest {
		least = min(least, other.factor)
	}
	v.slowdown = max(v.slowdown, least-1)
}

// decay forgets a part of the slowdown.
func (v *speed) decay(now time.Time) {
	left := math.Exp(-float64(now.Sub(v.at)) / float64(speedDecayTime))
	v.at = now
	if v.slowdown *= left; v.slowdown < minSpeedEffect {
		v.slowdown = 0
	}
}

// decaySpeeds forgets a part of what is known of the servers' speeds.
func (p *pool) decaySpeeds(now time.Time) {
	for _, s := range p.order {
		if s.speed.slowdown > 0 {
			s.speed.decay(now)
		}
	}
}

// learnServiceTime learns from the end of a call to a plain service.
func (s *server) learnServiceTime(now time.Time, alloc *allocation, outcome Outcome) {
	if s.engine != nil || outcome != OutcomeComplete || alloc.adopted {
		return
	}
	v, sample := &s.speed, now.Sub(alloc.granted)
	weight := max(serviceTimeWeight, 1/float64(v.samples+1))
	v.serviceTime += time.Duration(weight * float64(sample-v.serviceTime))
	v.samples = min(v.samples+1, minServiceSamples)
	v.at = now
}

// servicePenalties returns by how much the calls of a plain service take longer at each
// server than at the fastest one, as a fraction of the time there. It is forgotten while a
// server gets no calls.
func servicePenalties(now time.Time, servers []*server) func(*server) float64 {
	fastest := time.Duration(0)
	for _, s := range servers {
		if s.speed.samples >= minServiceSamples && (fastest == 0 || s.speed.serviceTime < fastest) {
			fastest = s.speed.serviceTime
		}
	}
	return func(s *server) float64 {
		if fastest <= 0 || s.speed.samples < minServiceSamples {
			return 0
		}
		left := math.Exp(-float64(now.Sub(s.speed.at)) / float64(speedDecayTime))
		ratio := 1 + left*(float64(s.speed.serviceTime)/float64(fastest)-1)
		return max(0, ratio-usualTimeRatio)
	}
}

// SpeedFactors returns, by server, the factors by which servers of a service are slower than
// their profiles state, or for a plain service than the fastest one; others are left out.
func (sched *Scheduler) SpeedFactors(now time.Time, service string) map[string]float64 {
	out := make(map[string]float64)
	p := sched.pools[service]
	if p == nil {
		return out
	}
	penalty := servicePenalties(now, p.order)
	for _, s := range p.order {
		if s.speed.slowdown > 0 {
			out[s.info.ID()] = s.speedFactor()
		} else if extra := penalty(s); extra > 0 {
			out[s.info.ID()] = usualTimeRatio + extra
		}
	}
	return out
}
