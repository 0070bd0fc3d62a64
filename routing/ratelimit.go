package routing

import "time"

// minRateLimit is the lowest rate limit in requests a second. A server that states a lower
// one, such as none at all, gets a request now and then, whose answer shows when it is over.
const minRateLimit = 0.25

// RateLimit is how many requests a second a server takes from all entries together, as it
// last stated. The zero value states nothing.
type RateLimit struct {
	perSecond float64 // 0 for no limit
	statedAt  time.Time
}

// NewRateLimit returns a limit in requests a second that a server stated.
func NewRateLimit(perSecond float64, statedAt time.Time) RateLimit {
	return RateLimit{perSecond: max(perSecond, minRateLimit), statedAt: statedAt}
}

// NoRateLimit returns the statement of a server that it has no limit.
func NoRateLimit(statedAt time.Time) RateLimit { return RateLimit{statedAt: statedAt} }

// PerSecond returns the limit in requests a second, 0 if there is none.
func (l RateLimit) PerSecond() float64 { return l.perSecond }

// StatedAt returns when the server stated it, zero if it has stated nothing.
func (l RateLimit) StatedAt() time.Time { return l.statedAt }

// Limited reports whether there is a limit.
func (l RateLimit) Limited() bool { return l.perSecond > 0 }

// stated reports whether the server has stated whether it has a limit.
func (l RateLimit) stated() bool { return !l.statedAt.IsZero() }
