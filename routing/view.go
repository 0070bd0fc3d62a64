package routing

// View is all that was published at one revision.
type View struct {
	revision  int64
	table     *Table
	servers   map[string]Server
	evacuated map[string]bool
}

// NewView returns a view; evacuated holds the failure domains whose servers get no new work.
func NewView(revision int64, table *Table, servers map[string]Server, evacuated map[string]bool) *View {
	return &View{revision: revision, table: table, servers: servers, evacuated: evacuated}
}

// Revision returns the store's revision that the view shows.
func (v *View) Revision() int64 { return v.revision }

// Table returns the configuration in force, nil before the first is known.
func (v *View) Table() *Table { return v.table }

// Servers returns the published servers by id; it must not be changed.
func (v *View) Servers() map[string]Server { return v.servers }

// Usable reports whether the server may get new work.
func (v *View) Usable(id string) bool {
	server, ok := v.servers[id]
	return ok && !server.leaving && !v.evacuated[server.domain]
}
