package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// repeatCrashes is the number of servers that must end under a request before it is
	// refused. They must end at minMoments moments at least: the request was sent to one of
	// them after another had ended. A failure domain that is lost takes all servers along
	// that have the request at that time.
	repeatCrashes = 3
	minMoments    = 2
	// maxProbes is the number of times that a refused request is let through, until it is
	// forgotten: once after minQuarantine and once after maxQuarantine.
	maxProbes = 2
	// maxRepeatEnds bounds the ends that are kept of a request.
	maxRepeatEnds = 8
	// settledTrust is how long after a request settled the ends of servers under it are put
	// down to something else.
	settledTrust = 10 * time.Second
	// sameEnd is the time within which entries see one end of a server.
	sameEnd = time.Second
	// forgetRefused is how long a refused request is remembered after it was last asked for.
	forgetRefused = time.Hour
	// askedResolution is the least difference between the times at which a request was last
	// asked for that other entries take over.
	askedResolution = time.Minute
	// maxRepeats bounds the requests of which something is known, and maxSettled those of
	// which it is known that they settled.
	maxRepeats = 128
	maxSettled = 256
)

// End is the end of a server under a request that had not settled there.
type End struct {
	server string
	sentAt time.Time
	at     time.Time
}

// NewEnd returns the end of a server's incarnation at a time, with when the request was sent
// to it.
func NewEnd(server string, sentAt, at time.Time) End {
	return End{server: server, sentAt: sentAt, at: at}
}

// Server returns the server's incarnation.
func (e End) Server() string { return e.server }

// SentAt returns when the request was sent to the server.
func (e End) SentAt() time.Time { return e.sentAt }

// At returns when the server ended.
func (e End) At() time.Time { return e.at }

// Repeat is what is known of a request that may come again.
type Repeat struct {
	fingerprint Fingerprint
	// ends holds the ends of servers since the request last settled, in order of time.
	ends      []End
	settledAt time.Time
	askedAt   time.Time
	// probes is how often the request was let through since it is refused, the last time
	// at probedAt.
	probes   int
	probedAt time.Time
}

// NewRepeat returns a request with the ends of servers under it.
func NewRepeat(fingerprint Fingerprint, ends ...End) Repeat {
	return Repeat{fingerprint: fingerprint, ends: ends}
}

// WithSettled returns the request with when it last settled, zero for never.
func (r Repeat) WithSettled(at time.Time) Repeat {
	r.settledAt = at
	return r
}

// WithAsked returns the request with when it was last refused, zero for never.
func (r Repeat) WithAsked(at time.Time) Repeat {
	r.askedAt = at
	return r
}

// WithProbes returns the request with how often it was let through while it was refused,
// and when this was last so, zero for never.
func (r Repeat) WithProbes(probes int, last time.Time) Repeat {
	r.probes, r.probedAt = probes, last
	return r
}

// Fingerprint returns what identifies the request.
func (r Repeat) Fingerprint() Fingerprint { return r.fingerprint }

// Ends returns the ends of servers since the request last settled, in order of time.
func (r Repeat) Ends() []End { return r.ends }

// Servers returns the incarnations that ended, in order of time.
func (r Repeat) Servers() []string {
	var out []string
	for _, end := range r.ends {
		out = append(out, end.server)
	}
	return out
}

// SettledAt returns when the request last settled, zero for never.
func (r Repeat) SettledAt() time.Time { return r.settledAt }

// AskedAt returns when the request was last refused, zero for never.
func (r Repeat) AskedAt() time.Time { return r.askedAt }

// Probes returns how often the request was let through while it was refused.
func (r Repeat) Probes() int { return r.probes }

// ProbedAt returns when the request was last let through while it was refused, zero for never.
func (r Repeat) ProbedAt() time.Time { return r.probedAt }

// retries returns how many sends of the request came after it was to be refused, as far as
// that is known.
func (r *Repeat) retries() int { return max(r.probes, len(r.ends)-repeatCrashes) }

// lastEnd returns when a server last ended, zero for never.
func (r *Repeat) lastEnd() time.Time {
	if len(r.ends) == 0 {
		return time.Time{}
	}
	return r.ends[len(r.ends)-1].at
}

// add adds the end of a server, and reports whether it was new.
func (r *Repeat) add(end End) bool {
	if slices.ContainsFunc(r.ends, func(e End) bool { return e.server == end.server }) || len(r.ends) >= maxRepeatEnds {
		return false
	}
	r.ends = append(r.ends, end)
	slices.SortStableFunc(r.ends, func(a, b End) int { return a.at.Compare(b.at) })
	return true
}

// Repeats finds requests that crash the servers that run them by what they hold, whatever
// their prompts. Unlike a part of a prompt, such a request has never settled, so that the
// ends of a few servers are enough. It learns from any number of entries: the order in
// which ends and settled requests arrive does not matter. Its zero value is ready to use.
// It is not safe for concurrent use.
type Repeats struct {
	byFingerprint map[Fingerprint]*Repeat
	// settled holds when requests that are not in byFingerprint last settled, the next one
	// to be forgotten at order[next].
	settled map[Fingerprint]time.Time
	order   []Fingerprint
	next    int
	// refused holds the requests to refuse; it is nil if it must be evaluated.
	refused map[Fingerprint]bool
	digest  uint64
	// reported holds the requests that the last call of Changes reported as refused.
	reported map[Fingerprint]bool
}

// Crashed records that a server's incarnation ended under a request that was sent to it at a
// time and had not settled there.
func (r *Repeats) Crashed(now time.Time, server string, sentAt time.Time, fingerprint Fingerprint) {
	if fingerprint == (Fingerprint{}) || now.Sub(r.settledAt(fingerprint)) < settledTrust {
		return
	}
	if r.of(fingerprint).add(NewEnd(server, sentAt, now)) {
		r.changed()
	}
}

// Settled records that a request was answered, or that its answer has gone on for SettleTime.
func (r *Repeats) Settled(now time.Time, fingerprint Fingerprint) {
	if fingerprint == (Fingerprint{}) {
		return
	}
	if repeat := r.byFingerprint[fingerprint]; repeat != nil {
		r.settle(repeat, now)
		return
	}
	if r.settled == nil {
		r.settled = make(map[Fingerprint]time.Time)
	}
	if _, known := r.settled[fingerprint]; !known {
		if len(r.order) < maxSettled {
			r.order = append(r.order, fingerprint)
		} else {
			delete(r.settled, r.order[r.next])
			r.order[r.next] = fingerprint
			r.next = (r.next + 1) % maxSettled
		}
	}
	r.settled[fingerprint] = now
}

// settle clears a request that settled.
func (r *Repeats) settle(repeat *Repeat, at time.Time) {
	if !at.After(repeat.settledAt) {
		return
	}
	repeat.settledAt = at
	kept := slices.DeleteFunc(repeat.ends, func(e End) bool { return e.at.Before(at.Add(settledTrust)) })
	if len(kept) < len(repeat.ends) || repeat.probes > 0 {
		r.changed()
	}
	repeat.ends, repeat.probes, repeat.probedAt = kept, 0, time.Time{}
}

// settledAt returns when a request last settled, zero for never.
func (r *Repeats) settledAt(fingerprint Fingerprint) time.Time {
	if repeat := r.byFingerprint[fingerprint]; repeat != nil {
		return repeat.settledAt
	}
	return r.settled[fingerprint]
}

// of returns what is known of a request, which may be nothing.
func (r *Repeats) of(fingerprint Fingerprint) *Repeat {
	if repeat := r.byFingerprint[fingerprint]; repeat != nil {
		return repeat
	}
	if r.byFingerprint == nil {
		r.byFingerprint = make(map[Fingerprint]*Repeat)
	}
	if len(r.byFingerprint) >= maxRepeats {
		delete(r.byFingerprint, r.least().fingerprint)
		r.changed()
	}
	repeat := &Repeat{fingerprint: fingerprint, settledAt: r.settled[fingerprint]}
	r.byFingerprint[fingerprint] = repeat
	return repeat
}

// least returns the first of the requests to forget: the one under which the fewest servers
// ended, the oldest of several.
func (r *Repeats) least() *Repeat {
	return slices.MinFunc(slices.Collect(maps.Values(r.byFingerprint)), compareWeight)
}

// compareWeight compares what is known of two requests by which is to be forgotten first.
// All entries agree on it, so that they keep the same requests.
func compareWeight(a, b *Repeat) int {
	return cmp.Or(len(a.ends)-len(b.ends), a.lastEnd().Compare(b.lastEnd()), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
}

// changed has the requests to refuse and the digest evaluated again.
func (r *Repeats) changed() { r.refused, r.digest = nil, 0 }

// evaluate returns the requests to refuse: those under which enough servers ended, unless
// others with more ends account for all of these. What only ran beside a request that
// crashes servers is there at some of its ends, and hardly at others.
func (r *Repeats) evaluate() map[Fingerprint]bool {
	if r.refused != nil {
		return r.refused
	}
	r.refused = make(map[Fingerprint]bool)
	byEnds := slices.SortedFunc(maps.Values(r.byFingerprint), func(a, b *Repeat) int { return len(b.ends) - len(a.ends) })
	explained := make(map[string]time.Time)
	for len(byEnds) > 0 && len(byEnds[0].ends) >= repeatCrashes {
		// Of those with equally many ends, none accounts for the others.
		n := 1
		for n < len(byEnds) && len(byEnds[n].ends) == len(byEnds[0].ends) {
			n++
		}
		for _, repeat := range byEnds[:n] {
			r.refused[repeat.fingerprint] = crashes(repeat.ends, explained)
		}
		for _, repeat := range byEnds[:n] {
			if !r.refused[repeat.fingerprint] {
				continue
			}
			for _, end := range repeat.ends {
				explained[end.server] = end.at
			}
		}
		byEnds = byEnds[n:]
	}
	return r.refused
}

// crashes reports whether a request with the ends is to be refused, if others account for
// the ends of some servers.
func crashes(ends []End, explained map[string]time.Time) bool {
	moments, unexplained := 0, false
	var last time.Time
	for _, end := range ends {
		if moments == 0 || end.sentAt.After(last) {
			moments++
			last = end.at
		}
		unexplained = unexplained || end.at.Sub(explained[end.server]).Abs() > sameEnd
	}
	return unexplained && len(ends) >= repeatCrashes && moments >= minMoments
}

// Check reports whether a request must be refused, and after which time it may be let
// through. It is let through only if probe is set, which is to be so at one entry at a time.
func (r *Repeats) Check(now time.Time, fingerprint Fingerprint, probe bool) (retryAfter time.Duration, refused bool) {
	if len(r.byFingerprint) == 0 || !r.evaluate()[fingerprint] {
		return 0, false
	}
	repeat := r.byFingerprint[fingerprint]
	repeat.askedAt = now
	retries := repeat.retries()
	if retries >= maxProbes {
		return maxQuarantine, true
	}
	quarantine := minQuarantine
	if retries > 0 {
		quarantine = maxQuarantine
	}
	wait := max(repeat.lastEnd().Add(quarantine).Sub(now), repeat.probedAt.Add(probeTime).Sub(now))
	if wait <= 0 && !probe {
		wait = probeTime
	}
	return max(0, wait), wait > 0
}

// Sent records that a request is sent to a server, as far as that shows whether it still
// crashes servers.
func (r *Repeats) Sent(now time.Time, fingerprint Fingerprint) {
	if len(r.byFingerprint) == 0 || !r.evaluate()[fingerprint] {
		return
	}
	repeat := r.byFingerprint[fingerprint]
	repeat.probes, repeat.probedAt = repeat.retries()+1, now
	r.digest = 0
}

// Refused returns the requests that are refused.
func (r *Repeats) Refused() []Repeat {
	var out []Repeat
	for fingerprint, refused := range r.evaluate() {
		if refused {
			out = append(out, *r.byFingerprint[fingerprint])
		}
	}
	slices.SortFunc(out, func(a, b Repeat) int { return slices.Compare(a.fingerprint[:], b.fingerprint[:]) })
	return out
}

// Changes returns the requests that are refused since the last call, and those that no
// longer are.
func (r *Repeats) Changes() (refused []Repeat, released []Fingerprint) {
	current := make(map[Fingerprint]bool)
	for _, repeat := range r.Refused() {
		current[repeat.fingerprint] = true
		if !r.reported[repeat.fingerprint] {
			refused = append(refused, repeat)
		}
	}
	for fingerprint := range r.reported {
		if !current[fingerprint] {
			released = append(released, fingerprint)
		}
	}
	r.reported = current
	return refused, released
}

// Known returns all that is known of requests, for other entries.
func (r *Repeats) Known() []Repeat {
	var out []Repeat
	for _, repeat := range r.byFingerprint {
		known := *repeat
		known.ends = slices.Clone(repeat.ends)
		out = append(out, known)
	}
	slices.SortFunc(out, func(a, b Repeat) int { return slices.Compare(a.fingerprint[:], b.fingerprint[:]) })
	return out
}

// Merge adds what another entry knows of requests.
func (r *Repeats) Merge(now time.Time, known []Repeat) {
	for _, other := range known {
		if other.fingerprint == (Fingerprint{}) || other.expired(now, true) {
			continue
		}
		if len(r.byFingerprint) >= maxRepeats && r.byFingerprint[other.fingerprint] == nil && compareWeight(&other, r.least()) <= 0 {
			continue
		}
		repeat := r.of(other.fingerprint)
		if other.settledAt.Sub(repeat.settledAt) > clockSlack {
			r.settle(repeat, other.settledAt)
		}
		for _, end := range other.ends {
			if end.at.Sub(repeat.settledAt) >= settledTrust && repeat.add(end) {
				r.changed()
			}
		}
		if other.askedAt.Sub(repeat.askedAt) > askedResolution {
			repeat.askedAt = other.askedAt
		}
		if len(repeat.ends) > 0 && other.probes > repeat.probes {
			repeat.probes = other.probes
			r.digest = 0
		}
		if other.probedAt.After(repeat.probedAt) && other.probes >= repeat.probes {
			repeat.probedAt = other.probedAt
		}
	}
}

// Expire forgets what is too old.
func (r *Repeats) Expire(now time.Time) {
	refused := r.evaluate()
	for fingerprint, repeat := range r.byFingerprint {
		if repeat.expired(now, refused[fingerprint]) {
			delete(r.byFingerprint, fingerprint)
			r.changed()
		}
	}
}

// expired reports whether what is known of a request, which is refused or not, is too old.
func (r *Repeat) expired(now time.Time, refused bool) bool {
	age := min(now.Sub(r.lastEnd()), now.Sub(r.settledAt), now.Sub(r.probedAt))
	if refused && len(r.ends) >= repeatCrashes {
		return min(age, now.Sub(r.askedAt)) > forgetRefused
	}
	return age > maxAge
}

// Digest returns a hash of what is known, 0 if there is nothing: registries with the same
// digest know much the same.
func (r *Repeats) Digest() uint64 {
	if r.digest != 0 || len(r.byFingerprint) == 0 {
		return r.digest
	}
	for fingerprint, repeat := range r.byFingerprint {
		if len(repeat.ends) == 0 {
			continue
		}
		servers := repeat.Servers()
		slices.Sort(servers)
		encoded := append([]byte(strings.Join(servers, "\n")), fingerprint[:]...)
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(repeat.probes))
		r.digest ^= xxhash.Sum64(encoded)
	}
	return r.digest
}
