package routing

// View is a snapshot of everything that was published at one store revision.
type View struct {
	revision  Revision
	table     *Table
	servers   map[string]Server
	evacuated map[string]bool
}

// NewView returns a view; evacuated holds the failure domains whose servers get no new requests.
func NewView(revision Revision, table *Table, servers map[string]Server, evacuated map[string]bool) *View {
	return &View{revision: revision, table: table, servers: servers, evacuated: evacuated}
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
	return ok && !server.draining && !v.evacuated[server.domain]
}
