package caller

import (
	"math"
	"net/http"
	"sync"
	"time"

	"greengagedock.example/registry"
)

const (
	// burstDuration is the time over which an account may accumulate unused
	// tokens.
	burstDuration = 10 * time.Second
	// accountRetryAfter is the Retry-After time of an account with too many
	// open requests.
	accountRetryAfter = time.Second
)

// accountKey identifies an account of one service.
type accountKey struct {
	service string
	account string
}

func (a access) key() accountKey {
	return accountKey{service: a.document.Service(), account: a.account.Name()}
}

// accountUsage is what an account uses of this entry. The zero value is an
// account without requests.
type accountUsage struct {
	openRequests int
	bucket       tokenBucket
}

// tokenBucket limits the rate at which an account uses tokens.
type tokenBucket struct {
	spent   float64
	updated time.Time
}

// refill reduces the spent tokens by those earned since the last call.
func (b *tokenBucket) refill(now time.Time, rate float64) {
	earned := now.Sub(b.updated).Seconds() * rate
	if earned > 0 {
		b.spent = max(0, b.spent-earned)
	}
	b.updated = now
}

// take spends tokens, or returns how long the account must wait for them. A
// request for more than the bucket's size waits for a full bucket and leaves it
// overdrawn.
func (b *tokenBucket) take(now time.Time, rate float64, tokens int) time.Duration {
	b.refill(now, rate)
	size := rate * burstDuration.Seconds()
	missing := b.spent + min(float64(tokens), size) - size
	if missing > 0 {
		return time.Duration(math.Ceil(missing / rate * float64(time.Second)))
	}
	b.spent += float64(tokens)
	return 0
}

func (b *tokenBucket) refund(tokens int) {
	b.spent = max(0, b.spent-float64(tokens))
}

// accountLimiter limits the open requests and the token rate of each account.
// The zero value is ready to use.
type accountLimiter struct {
	mu        sync.Mutex
	byAccount map[accountKey]*accountUsage
}

func (l *accountLimiter) get(key accountKey) *accountUsage {
	if l.byAccount == nil {
		l.byAccount = make(map[accountKey]*accountUsage)
	}
	if l.byAccount[key] == nil {
		l.byAccount[key] = &accountUsage{}
	}
	return l.byAccount[key]
}

// admit admits a request of the account, which must be ended by release, or
// returns why it is over a limit.
func (l *accountLimiter) admit(now time.Time, key accountKey, account registry.Account, tokens int) *Failure {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.get(key)
	if limit := account.Requests(); limit > 0 && usage.openRequests >= limit {
		return newFailure(http.StatusTooManyRequests, OutcomeNotRun, ReasonAccountRequests,
			"the account has %d requests open here, its limit", limit).withRetryAfter(accountRetryAfter)
	}
	if rate := account.TokensPerSecond(); rate > 0 {
		if wait := usage.bucket.take(now, float64(rate), tokens); wait > 0 {
			return newFailure(http.StatusTooManyRequests, OutcomeNotRun, ReasonAccountTokens,
				"the account is over its %d tokens a second here", rate).withRetryAfter(wait)
		}
	}
	usage.openRequests++
	return nil
}

// release ends a request and refunds the tokens that it did not use.
func (l *accountLimiter) release(key accountKey, unused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.get(key)
	usage.openRequests--
	usage.bucket.refund(unused)
}
