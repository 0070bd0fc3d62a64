package caller

import (
	"math"
	"net/http"
	"sync"
	"time"

	"greengagedock.example/registry"
)

const (
	// burstTime is how long an account's unused tokens are kept.
	burstTime = 10 * time.Second
	// requestsComeBack is when an account with too many open requests may come back.
	requestsComeBack = time.Second
)

// accountKey is an account of one service.
type accountKey struct {
	service string
	account string
}

func (a access) key() accountKey {
	return accountKey{service: a.document.Service(), account: a.account.Name()}
}

// usage is what an account takes of this entry; its zero value is an account that was never seen.
type usage struct {
	open   int
	bucket bucket
}

// bucket is an account's store of tokens.
type bucket struct {
	spent float64
	at    time.Time
}

// settle lowers what was spent by the tokens earned since the last call.
func (b *bucket) settle(now time.Time, rate float64) {
	earned := now.Sub(b.at).Seconds() * rate
	if earned > 0 {
		b.spent = max(0, b.spent-earned)
	}
	b.at = now
}

// take spends tokens, or returns how long the account must wait for them. A
// request above the bucket's size needs a full bucket and leaves it in debt.
func (b *bucket) take(now time.Time, rate float64, tokens int) time.Duration {
	b.settle(now, rate)
	size := rate * burstTime.Seconds()
	missing := b.spent + min(float64(tokens), size) - size
	if missing > 0 {
		return time.Duration(math.Ceil(missing / rate * float64(time.Second)))
	}
	b.spent += float64(tokens)
	return 0
}

func (b *bucket) refund(tokens int) {
	b.spent = max(0, b.spent-float64(tokens))
}

// usages is what all accounts take; its zero value is empty.
type usages struct {
	mu    sync.Mutex
	usage map[accountKey]*usage
}

func (u *usages) of(key accountKey) *usage {
	if u.usage == nil {
		u.usage = make(map[accountKey]*usage)
	}
	if u.usage[key] == nil {
		u.usage[key] = &usage{}
	}
	return u.usage[key]
}

// open admits a request of the account, which close must end, or refuses it.
func (u *usages) open(now time.Time, key accountKey, account registry.Account, tokens int) *Failure {
	u.mu.Lock()
	defer u.mu.Unlock()
	use := u.of(key)
	if limit := account.Requests(); limit > 0 && use.open >= limit {
		return newFailure(http.StatusTooManyRequests, OutcomeNotRun, ReasonAccountRequests,
			"the account has %d requests open here, its limit", limit).in(requestsComeBack)
	}
	if rate := account.TokensPerSecond(); rate > 0 {
		if wait := use.bucket.take(now, float64(rate), tokens); wait > 0 {
			return newFailure(http.StatusTooManyRequests, OutcomeNotRun, ReasonAccountTokens,
				"the account is over its %d tokens a second here", rate).in(wait)
		}
	}
	use.open++
	return nil
}

// close ends a request and gives back the tokens that it did not use.
func (u *usages) close(key accountKey, unused int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	use := u.of(key)
	use.open--
	use.bucket.refund(unused)
}
