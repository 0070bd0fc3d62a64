package gateway

import (
	"time"

	"greengagedock.example/quarantine"
)

// Each entry knows the ends of servers under its own requests, and the scheduler of a
// service those of all entries. What they know spreads with the responses to heartbeats,
// also of a request under which a single server ended: the next end may be seen by another
// scheduler.

// repeats returns what this entry knows of requests that may come again.
func (c *control) repeats() *quarantine.Repeats { return c.scheduler.Repeats() }

// encodeRepeats returns what this entry knows of requests that may come again.
func (c *control) encodeRepeats(now time.Time) []repeatMessage {
	var out []repeatMessage
	for _, r := range c.repeats().Known() {
		m := repeatMessage{
			Fingerprint: r.Fingerprint(), Probes: r.Probes(),
			SettledAge: ageOf(now, r.SettledAt()), AskedAge: ageOf(now, r.AskedAt()), ProbeAge: ageOf(now, r.ProbedAt()),
		}
		for _, end := range r.Ends() {
			m.Ends = append(m.Ends, repeatEndMessage{Server: end.Server(), Age: ageOf(now, end.At()), SentAge: ageOf(now, end.SentAt())})
		}
		out = append(out, m)
	}
	return out
}

func (m repeatMessage) decode(now time.Time) quarantine.Repeat {
	var ends []quarantine.End
	for _, end := range m.Ends {
		ends = append(ends, quarantine.NewEnd(end.Server, timeOf(now, end.SentAge), timeOf(now, end.Age)))
	}
	return quarantine.NewRepeat(m.Fingerprint, ends...).
		WithSettled(timeOf(now, m.SettledAge)).
		WithAsked(timeOf(now, m.AskedAge)).
		WithProbes(m.Probes, timeOf(now, m.ProbeAge))
}

// mergeRepeats adds what another entry knows of requests that may come again.
func (c *control) mergeRepeats(now time.Time, repeats []repeatMessage) {
	for _, m := range repeats {
		c.repeats().Merge(now, []quarantine.Repeat{m.decode(now)})
	}
}

// logRepeats logs the requests that are refused since the last call, and those that no
// longer are.
func (c *control) logRepeats() {
	refused, released := c.repeats().Changes()
	for _, r := range refused {
		c.log.Warn("request crashes servers", "fingerprint", r.Fingerprint(), "servers", r.Servers())
	}
	for _, fingerprint := range released {
		c.log.Info("request no longer refused", "fingerprint", fingerprint)
	}
}
