package dispatch

import (
	"math"
	"time"
)

// Scheduling by cost alone starves the longest prompts under sustained load, since
// they are the least likely to meet their objectives. For the requests with the
// same objectives a pool therefore counts how many of the longest are placed, and
// gives precedence to a size class that falls behind.

const (
	// maxLengthSamples is the number of recent prompt lengths from which size classes are derived.
	maxLengthSamples = 128
	// statsDecayTime is the time constant with which the counts decay.
	statsDecayTime = 30 * time.Second
	// underservedRatio is the placement rate of a size class, relative to that of all
	// requests with the same objectives, below which the class is underserved. Half is
	// the lowest fair ratio; a little more is required since placements take effect late.
	underservedRatio = 0.55
)

// sizeClass is a range of prompt lengths among the requests with the same objectives.
type sizeClass int

const (
	sizeClassRest sizeClass = iota
	sizeClassUpper
	sizeClassLargest
	sizeClasses
)

// Prompts of a size class are at least as long as this quantile of the recent prompt lengths.
const (
	largestQuantile = 0.9
	upperQuantile   = 0.7
)

// objectives identifies the requests that are compared for fairness: those with the same latency objectives.
type objectives struct {
	objective     time.Duration
	tokenInterval time.Duration
}

// placementStats counts the requests with the same objectives and their placements,
// by size class and with exponential decay.
type placementStats struct {
	lengths   []int
	next      int
	requested [sizeClasses]float64
	placed    [sizeClasses]float64
	at        time.Time
}

func (r Request) objectives() objectives {
	return objectives{r.objective.Sub(r.arrived), r.maxTokenInterval}
}

// statsOf returns the statistics of the requests with the same objectives.
func (p *pool) statsOf(r Request) *placementStats {
	key := r.objectives()
	stats := p.stats[key]
	if stats == nil {
		if p.stats == nil {
			p.stats = make(map[objectives]*placementStats)
		}
		stats = &placementStats{}
		p.stats[key] = stats
	}
	return stats
}

// countRequest counts a request.
func (s *placementStats) countRequest(now time.Time, prompt int) {
	s.decay(now)
	if len(s.lengths) < maxLengthSamples {
		s.lengths = append(s.lengths, prompt)
	} else {
		s.lengths[s.next] = prompt
		s.next = (s.next + 1) % maxLengthSamples
	}
	s.requested[s.sizeClassOf(prompt)]++
}

// countPlacement counts a placed request.
func (s *placementStats) countPlacement(now time.Time, prompt int) {
	s.decay(now)
	s.placed[s.sizeClassOf(prompt)]++
}

// decay applies the decay since the last call.
func (s *placementStats) decay(now time.Time) {
	left := math.Exp(-float64(now.Sub(s.at)) / float64(statsDecayTime))
	s.at = now
	for class := range sizeClasses {
		s.requested[class] *= left
		s.placed[class] *= left
	}
}

// sizeClassOf returns the size class of a prompt, by the recent prompt lengths.
func (s *placementStats) sizeClassOf(prompt int) sizeClass {
	shorter := 0
	for _, length := range s.lengths {
		if length < prompt {
			shorter++
		}
	}
	switch part := float64(shorter) / float64(max(1, len(s.lengths))); {
	case part >= largestQuantile:
		return sizeClassLargest
	case part >= upperQuantile:
		return sizeClassUpper
	default:
		return sizeClassRest
	}
}

// underserved reports whether fewer prompts of this size class were placed than is fair.
func (s *placementStats) underserved(prompt int) bool {
	class := s.sizeClassOf(prompt)
	if class == sizeClassRest || s.requested[class] == 0 {
		return false
	}
	requested, placed := 0.0, 0.0
	for c := range sizeClasses {
		requested += s.requested[c]
		placed += s.placed[c]
	}
	return s.placed[class]/s.requested[class] < underservedRatio*placed/requested
}

// underserved reports whether the request's size class is underserved.
func (p *pool) underserved(r Request) bool {
	return p.service.Engine() != nil && p.statsOf(r).underserved(r.prompt)
}
