package experiment

import (
	"fmt"
	"math/rand/v2"

	"greengagedock.example/jsonc"
)

const (
	maxAccounts = 10_000
	maxWeight   = 1e6
)

// AccountGroup describes client accounts of the same size.
type AccountGroup struct {
	name string
	// count is the number of accounts, and weight the size of each one relative to others.
	count  int
	weight float64
	// factors multiplies the weight for some kinds of prompts.
	factors map[string]float64
	// retries is how often callers retry, in place of the kind's number, negative for that.
	retries int
}

// NewAccountGroup returns a group of so many accounts, each with a size relative to others.
func NewAccountGroup(name string, count int, weight float64) AccountGroup {
	return AccountGroup{name: name, count: count, weight: weight, retries: -1}
}

// WithFactors returns the group with factors of its size for some kinds of prompts.
func (g AccountGroup) WithFactors(factors map[string]float64) AccountGroup {
	g.factors = factors
	return g
}

// WithRetries returns the group with callers that retry so often.
func (g AccountGroup) WithRetries(retries int) AccountGroup {
	g.retries = retries
	return g
}

// WithAccounts returns the workload with other accounts.
func (w Workload) WithAccounts(groups ...AccountGroup) Workload {
	w.accounts = groups
	return w
}

// weightOf returns the weight of all accounts of the group for a kind.
func (g AccountGroup) weightOf(kind string) float64 {
	factor, ok := g.factors[kind]
	if !ok {
		factor = 1
	}
	return float64(g.count) * g.weight * factor
}

// drawAccount returns a random account for a request of a kind, with its group; the account
// is empty if the workload has none.
func (w Workload) drawAccount(random *rand.Rand, kind string) (string, AccountGroup) {
	total := 0.0
	for _, g := range w.accounts {
		total += g.weightOf(kind)
	}
	if total == 0 {
		return "", AccountGroup{retries: -1}
	}
	draw := random.Float64() * total
	last := AccountGroup{}
	for _, g := range w.accounts {
		if g.weightOf(kind) == 0 {
			continue
		}
		last = g
		if draw -= g.weightOf(kind); draw < 0 {
			break
		}
	}
	if last.count == 1 {
		return last.name, last
	}
	return fmt.Sprintf("%s-%d", last.name, random.IntN(last.count)), last
}

func parseAccounts(v jsonc.Value, kinds map[string]bool) []AccountGroup {
	var out []AccountGroup
	names := make(map[string]bool)
	for _, value := range v.Array() {
		o := value.Object()
		name, _ := o.Required("name").Text()
		if names[name] {
			value.Report("duplicate name %s", jsonc.Quote(name))
		}
		names[name] = true
		count := positiveInt(o.Required("count"), maxAccounts)
		weight, _ := o.Required("weight").Number(0, maxWeight)
		g := NewAccountGroup(name, count, weight)
		if factors := o.Optional("factors"); factors.Present() {
			g.factors = parseFactors(factors.Object(), kinds)
		}
		if retries, ok := o.Optional("retries").Int(0, 100); ok {
			g.retries = int(retries)
		}
		out = append(out, g)
	}
	return out
}
