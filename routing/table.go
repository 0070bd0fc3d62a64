package routing

import (
	"slices"
	"strings"
	"time"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns limits; a zero leaves a matter unlimited.
func NewLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// HeaderBytes returns the most bytes of a request's header.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the most bytes of a request's body.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns how long a caller may take to send a header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// Account is a client account.
type Account struct {
	name string
	rank int
}

// NewAccount returns an account; a negative rank leaves the urgency to the route.
func NewAccount(name string, rank int) Account { return Account{name: name, rank: rank} }

// Name returns the client account's name.
func (a Account) Name() string { return a.name }

// Priority returns the urgency of its requests, -1 to leave that to the route.
func (a Account) Priority() int { return a.rank }

// Table is one version of the configuration, which never changes.
type Table struct {
	version  int64
	hosts    map[string][]Route
	services map[string]Service
	accounts map[string]Account
	limits   Limits
}

// NewTable returns the table of a version; accounts are given by their keys.
func NewTable(version int64, routes []Route, services []Service, accounts map[string]Account, limits Limits) *Table {
	t := &Table{version: version, hosts: make(map[string][]Route), services: make(map[string]Service), accounts: accounts, limits: limits}
	for _, route := range routes {
		t.hosts[route.host] = append(t.hosts[route.host], route)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.prefix) - len(a.prefix) })
	}
	for _, service := range services {
		t.services[service.name] = service
	}
	return t
}

// Version returns the table's version, which rises.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of a host with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Service returns the service of that name.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services returns the names of all services, in order.
func (t *Table) Services() []string {
	var names []string
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Authenticates reports whether callers must show a key.
func (t *Table) Authenticates() bool { return t.accounts != nil }

// Account returns the account that holds the key.
func (t *Table) Account(key string) (Account, bool) {
	account, ok := t.accounts[key]
	return account, ok
}
