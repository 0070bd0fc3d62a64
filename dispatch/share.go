package dispatch

import (
	"math"
	"time"
)

// Under a lasting load whatever is done by cost alone starves the longest
// prompts: they can be on time least. A pool therefore counts, for each kind of
// want, how many of the longest are placed, and owes places to a band of lengths
// that falls behind its kind.

const (
	// shareLengths is how many lengths of a kind's last prompts are kept to tell
	// its bands.
	shareLengths = 128
	// shareTime is the time over which what was placed is forgotten.
	shareTime = 30 * time.Second
	// owedPart is the part of its kind's rate of places below which a band is
	// owed some: half is the least that is fair, and places take effect late.
	owedPart = 0.55
)

// band is a part of a kind's prompts by their lengths.
type band int

const (
	bandRest band = iota
	bandUpper
	bandLargest
	bands
)

// The parts of a kind's prompts that are shorter than those of a band.
const (
	largestFrom = 0.9
	upperFrom   = 0.7
)

// kindKey tells kinds of wants apart: by what is on time for them.
type kindKey struct {
	objective time.Duration
	pause     time.Duration
}

// kind is what was asked and placed of one kind of wants.
type kind struct {
	lengths []int
	next    int
	asked   [bands]float64
	placed  [bands]float64
	at      time.Time
}

func (w Request) kind() kindKey { return kindKey{w.objective.Sub(w.arrived), w.pause} }

// kindOf returns what is known of a want's kind.
func (p *pool) kindOf(w Request) *kind {
	key := w.kind()
	k := p.kinds[key]
	if k == nil {
		if p.kinds == nil {
			p.kinds = make(map[kindKey]*kind)
		}
		k = &kind{}
		p.kinds[key] = k
	}
	return k
}

// ask counts a want.
func (k *kind) ask(now time.Time, prompt int) {
	k.forget(now)
	if len(k.lengths) < shareLengths {
		k.lengths = append(k.lengths, prompt)
	} else {
		k.lengths[k.next] = prompt
		k.next = (k.next + 1) % shareLengths
	}
	k.asked[k.bandOf(prompt)]++
}

// place counts a want that got a place.
func (k *kind) place(now time.Time, prompt int) {
	k.forget(now)
	k.placed[k.bandOf(prompt)]++
}

// forget lets what was counted fade.
func (k *kind) forget(now time.Time) {
	left := math.Exp(-float64(now.Sub(k.at)) / float64(shareTime))
	k.at = now
	for b := range bands {
		k.asked[b] *= left
		k.placed[b] *= left
	}
}

// bandOf returns the band of a length among the kind's last ones.
func (k *kind) bandOf(prompt int) band {
	shorter := 0
	for _, length := range k.lengths {
		if length < prompt {
			shorter++
		}
	}
	switch part := float64(shorter) / float64(max(1, len(k.lengths))); {
	case part >= largestFrom:
		return bandLargest
	case part >= upperFrom:
		return bandUpper
	default:
		return bandRest
	}
}

// owes reports whether a prompt's band got fewer places than is fair.
func (k *kind) owes(prompt int) bool {
	b := k.bandOf(prompt)
	if b == bandRest || k.asked[b] == 0 {
		return false
	}
	asked, placed := 0.0, 0.0
	for each := range bands {
		asked += k.asked[each]
		placed += k.placed[each]
	}
	return k.placed[b]/k.asked[b] < owedPart*placed/asked
}

// owed reports whether a want is one of those that are owed places.
func (p *pool) owed(w Request) bool {
	return p.service.Engine() != nil && p.kindOf(w).owes(w.prompt)
}
