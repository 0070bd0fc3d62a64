package routing

import (
	"slices"
	"strings"
	"time"
)

// Limits bounds the size of callers' requests and the time that callers may take.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns limits; zero means no limit.
func NewLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// HeaderBytes returns the largest size of a request's header in bytes.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the largest size of a request's body in bytes.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns how long a caller may take to send a header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// Account is a client account.
type Account struct {
	name     string
	priority int
}

// NewAccount returns an account; a negative priority means that the route's priority applies.
func NewAccount(name string, priority int) Account { return Account{name: name, priority: priority} }

// Name returns the client account's name.
func (a Account) Name() string { return a.name }

// Priority returns the priority of the account's requests, 0 being the most
// urgent; it is negative if the route's priority applies.
func (a Account) Priority() int { return a.priority }

// Table is one version of the configuration. It is immutable.
type Table struct {
	version  int64
	hosts    map[string][]Route
	services map[string]Service
	accounts map[string]Account
	limits   Limits
}

// NewTable returns the table of a version; accounts maps keys to the accounts that hold them.
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

// Version returns the version of the configuration; later configurations have higher versions.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the host's route with the longest prefix that matches the path.
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

// Services returns the names of all services in sorted order.
func (t *Table) Services() []string {
	var names []string
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Authenticates reports whether callers must present a key.
func (t *Table) Authenticates() bool { return t.accounts != nil }

// Account returns the account that holds the key.
func (t *Table) Account(key string) (Account, bool) {
	account, ok := t.accounts[key]
	return account, ok
}
