package gateway

import (
	"slices"
	"time"
)

// Servers whose items expire while the store is away publish themselves again soon after it is
// back, and are kept until then. What counts is the time in which the store answered nobody: an
// entry that lost only its own way to it, or stood still, has missed nothing that others had not
// seen.

const (
	// minOutage is the shortest time without an answer of the store that counts as an outage if
	// the report interval of servers is not known.
	minOutage = time.Second
	// outageIntervals is the number of report intervals in which published servers may expire: they
	// do after three of silence, of which almost one may have passed before, and they vary.
	outageIntervals = 1.75
	// maxAnswerGap is the longest time between two answers of a sound store: the longest watch,
	// and a heartbeat that tells of its end.
	maxAnswerGap = watchWait*3/2 + heartbeatInterval
	// answerResolution is the time within which two answers count as one, and maxAnswers the
	// number of answers that are remembered.
	answerResolution = 50 * time.Millisecond
	maxAnswers       = 256
)

// outage is a time in which the store answered nobody, as far as it is known.
type outage struct{ from, to time.Time }

func (o outage) length() time.Duration { return o.to.Sub(o.from) }

// storeAnswers holds when the store last answered this entry or others, in ascending order. Its
// zero value is ready to use.
type storeAnswers struct{ times []time.Time }

// add records an answer.
func (a *storeAnswers) add(at time.Time) {
	i, _ := slices.BinarySearchFunc(a.times, at, time.Time.Compare)
	if i > 0 && at.Sub(a.times[i-1]) < answerResolution || i < len(a.times) && a.times[i].Sub(at) < answerResolution {
		return
	}
	a.times = slices.Insert(a.times, i, at)
	if len(a.times) > maxAnswers {
		a.times = slices.Delete(a.times, 0, 1)
	}
}

// last returns the last answer, zero if there is none.
func (a *storeAnswers) last() time.Time {
	if len(a.times) == 0 {
		return time.Time{}
	}
	return a.times[len(a.times)-1]
}

// lastOutage returns the last outage within a time in which an entry got no answer, and false if
// there is none: if nobody else got one either, the time as a whole if it is no shorter than least,
// else a part that is longer than a sound store leaves all who watch it without an answer.
func (a *storeAnswers) lastOutage(within outage, least time.Duration) (outage, bool) {
	first, _ := slices.BinarySearchFunc(a.times, within.from.Add(1), time.Time.Compare)
	end, _ := slices.BinarySearchFunc(a.times, within.to, time.Time.Compare)
	if first >= end {
		return within, within.length() >= least
	}
	points := slices.Concat([]time.Time{within.from}, a.times[first:end], []time.Time{within.to})
	for i := len(points) - 1; i > 0; i-- {
		if part := (outage{points[i-1], points[i]}); part.length() > max(least, maxAnswerGap) {
			return part, true
		}
	}
	return outage{}, false
}

// noteOutage records that the store may have been away, unless it answered others meanwhile or
// that is known.
func (c *control) noteOutage(now time.Time, within outage) {
	least := c.settings.timeouts.minOutage()
	if within.length() < least || now.Sub(within.to) >= removalGrace {
		return // no server has expired, or is kept for it any more
	}
	found, ok := c.answers.lastOutage(within, least)
	if !ok {
		c.log.Info("store was not away: it answered other entries", "without_answer", within.length())
		return
	}
	if found.from.Before(c.cache.recoveredAt) {
		return // the same outage, or an earlier one
	}
	c.cache.recoveredAt, c.outage = found.to, found
	c.outages++
	c.log.Info("store was away", "for", found.length(), "ended", now.Sub(found.to))
}

// hearAnswer records when the store answered another entry, as that stated in a response to a
// message sent at a time. An outage that this contradicts ends what was kept for it.
func (c *control) hearAnswer(now, sent time.Time, storeAge time.Duration) {
	if storeAge < 0 {
		return
	}
	at := sent.Add(-storeAge)
	c.answers.add(at)
	if !at.After(c.outage.from) || !at.Before(c.outage.to) {
		return
	}
	found, ok := c.answers.lastOutage(c.outage, c.settings.timeouts.minOutage())
	if ok && found == c.outage {
		return
	}
	c.log.Info("store was away for less: it answered other entries", "for", found.length(), "before", c.outage.length())
	c.outage = found
	c.cache.setRecovered(found.to)
	if c.cache.expireKept(now) {
		c.cacheChanged(now)
	}
}
