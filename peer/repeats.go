package peer

import (
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/mesh"
	"greengagedock.example/quarantine"
)

// Each entry tells all others of a server that ends under one of its requests, so that
// together they refuse a request that crashes servers, whichever entries it comes to.

// quarantined reports whether a pending request must be refused since it crashes servers,
// and sets why.
func (n *Node) quarantined(now time.Time, p *pendingRequest) bool {
	retryAfter, refused := n.requester.repeats.Check(now, p.request.Fingerprint(), n.probes(p.request.Fingerprint()))
	if refused {
		p.reason, p.retryAfter = backend.ReasonQuarantined, retryAfter
	}
	return refused
}

// probes reports whether this entry is the one of the list that lets a refused request
// through.
func (n *Node) probes(fingerprint quarantine.Fingerprint) bool {
	key := fingerprint.String()
	own := mesh.RendezvousWeight(n.self.ID(), key)
	for _, entry := range n.membership.list.All() {
		if entry.ID() != n.self.ID() && mesh.RendezvousWeight(entry.ID(), key) > own {
			return false
		}
	}
	return true
}

// recordCrash records that the server of a slot ended under the attempt.
func (n *Node) recordCrash(now time.Time, slot backend.Slot) {
	if owned := n.requester.held[slot.ID()]; owned != nil {
		n.requester.repeats.Crashed(now, slot.Server()+"/"+slot.Incarnation(), owned.grantedAt, owned.fingerprint)
		n.announceRepeat(now, owned.fingerprint)
	}
}

// recordSettled records that the server of a slot survived the attempt.
func (n *Node) recordSettled(now time.Time, slot backend.Slot) {
	owned := n.requester.held[slot.ID()]
	if owned == nil {
		return
	}
	_, refused := n.requester.repeats.Check(now, owned.fingerprint, false)
	n.requester.repeats.Settled(now, owned.fingerprint)
	if refused {
		n.announceRepeat(now, owned.fingerprint)
	}
}

// announceRepeat tells all other entries what is known of a request.
func (n *Node) announceRepeat(now time.Time, fingerprint quarantine.Fingerprint) {
	for _, known := range n.requester.repeats.Known() {
		if known.Fingerprint() != fingerprint {
			continue
		}
		for _, entry := range sortedKeys(n.membership.heartbeatTargets(now)) {
			n.sendRepeats(now, entry, []quarantine.Repeat{known})
		}
	}
}

// sendRepeats tells an entry what is known of requests, if anything is.
func (n *Node) sendRepeats(now time.Time, entry string, known []quarantine.Repeat) {
	if len(known) == 0 {
		return
	}
	m := new(repeats)
	for _, r := range known {
		fingerprint := r.Fingerprint()
		out := knownRepeat{
			Fingerprint: fingerprint[:], Servers: r.Servers(), Probes: r.Probes(),
			SettledAgeMs: ageMs(now, r.SettledAt()), AskedAgeMs: ageMs(now, r.AskedAt()), ProbeAgeMs: ageMs(now, r.ProbedAt()),
		}
		for _, end := range r.Ends() {
			out.EndAgesMs = append(out.EndAgesMs, ageMs(now, end.At()))
			out.SentAgesMs = append(out.SentAgesMs, ageMs(now, end.SentAt()))
		}
		m.Known = append(m.Known, out)
	}
	n.send(entry, m)
}

// mergeRepeats adds what a peer knows of requests.
func (n *Node) mergeRepeats(now time.Time, m *repeats) {
	for _, known := range m.Known {
		if len(known.Fingerprint) != len(quarantine.Fingerprint{}) || len(known.EndAgesMs) != len(known.Servers) || len(known.SentAgesMs) != len(known.Servers) {
			n.logWarn("malformed knowledge of a request ignored", "fingerprint_bytes", len(known.Fingerprint), "servers", len(known.Servers), "ages", len(known.EndAgesMs))
			continue
		}
		var ends []quarantine.End
		for i, server := range known.Servers {
			ends = append(ends, quarantine.NewEnd(server, timeOfAge(now, known.SentAgesMs[i]), timeOfAge(now, known.EndAgesMs[i])))
		}
		n.requester.repeats.Merge(now, []quarantine.Repeat{quarantine.NewRepeat(quarantine.Fingerprint(known.Fingerprint), ends...).
			WithSettled(timeOfAge(now, known.SettledAgeMs)).
			WithAsked(timeOfAge(now, known.AskedAgeMs)).
			WithProbes(known.Probes, timeOfAge(now, known.ProbeAgeMs))})
	}
}

// tickRepeats forgets what is too old, and logs which requests are refused.
func (n *Node) tickRepeats(now time.Time) {
	n.requester.repeats.Expire(now)
	refused, released := n.requester.repeats.Changes()
	for _, r := range refused {
		n.logWarn("request crashes servers", "fingerprint", r.Fingerprint(), "servers", r.Servers())
	}
	for _, fingerprint := range released {
		n.logInfo("request no longer refused", "fingerprint", fingerprint)
	}
}

// ageMs returns the time since a time, -1 if that is zero.
func ageMs(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(0, now.Sub(at)).Milliseconds()
}

// timeOfAge returns the time with an age, zero if the age is negative.
func timeOfAge(now time.Time, age int64) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}
