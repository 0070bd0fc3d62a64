package routing

import "time"

// View is a snapshot of everything that was published at one store revision.
type View struct {
	revision  Revision
	table     *Table
	servers   map[string]Server
	evacuated map[string]bool
	notices   *Notices
}

// NewView returns a view; evacuated holds the failure domains whose servers get no new requests.
func NewView(revision Revision, table *Table, servers map[string]Server, evacuated map[string]bool) *View {
	return &View{revision: revision, table: table, servers: servers, evacuated: evacuated}
}

// WithNotices returns the view with what servers state about themselves, which takes
// effect in the view as soon as it is added.
func (v *View) WithNotices(notices *Notices) *View {
	out := *v
	out.notices = notices
	return &out
}

// Revision returns the store revision of the view.
func (v *View) Revision() Revision { return v.revision }

// Table returns the active configuration, nil before the first is known.
func (v *View) Table() *Table { return v.table }

// Servers returns the published servers by id; the map must not be modified.
func (v *View) Servers() map[string]Server { return v.servers }

// Usable reports whether the server may get new requests.
func (v *View) Usable(id string) bool {
	server, ok := v.servers[id]
	return ok && !server.draining && !v.evacuated[server.domain] && !v.notices.Leaving(server.Incarnation())
}

// Accepts reports whether the server may get a new request now.
func (v *View) Accepts(id string, now time.Time) bool {
	return v.Usable(id) && !now.Before(v.RefusesUntil(id))
}

// RefusesUntil returns when a server that has refused a request wants the next one, zero
// if it has stated no time.
func (v *View) RefusesUntil(id string) time.Time {
	notice, _ := v.Notice(id)
	return notice.refusesUntil
}

// AllRefuseUntil returns when the first server of a service wants requests again, and
// false if one wants them now or there is none.
func (v *View) AllRefuseUntil(service string, now time.Time) (until time.Time, ok bool) {
	for id, server := range v.servers {
		if server.service != service || !v.Usable(id) {
			continue
		}
		end := v.RefusesUntil(id)
		if !now.Before(end) {
			return time.Time{}, false
		}
		if !ok || end.Before(until) {
			until, ok = end, true
		}
	}
	return until, ok
}

// Notice returns what a published server has stated about itself, if anything.
func (v *View) Notice(id string) (Notice, bool) {
	server, ok := v.servers[id]
	if !ok {
		return Notice{}, false
	}
	return v.notices.Of(server.Incarnation())
}

// Leaving reports whether a server has stated that it takes no new requests until its end.
func (v *View) Leaving(server Incarnation) bool { return v.notices.Leaving(server) }

// RateLimit returns what a server has stated of its rate limit.
func (v *View) RateLimit(server Incarnation) RateLimit {
	notice, _ := v.notices.Of(server)
	return notice.limit
}
