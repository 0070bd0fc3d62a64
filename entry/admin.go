package entry

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"greengagedock.example/operator"
	"greengagedock.example/peer"
)

const (
	// controlStalled is the age of the newest snapshot at which the control goroutine counts as stuck.
	controlStalled = 5 * time.Second
	// trustGrace is how long an entry may be unsure of servers that it keeps,
	// as after a change of the entry list, and still be ready.
	trustGrace = 15 * time.Second
	// maxNamed bounds the servers that a reason names.
	maxNamed = 3
)

// Reasons for which an entry is not healthy or not ready.
var (
	errStalled    = errors.New("the control goroutine is stuck")
	errNotSynced  = errors.New("what is in force is not known yet")
	errIsDraining = errors.New("the entry is draining")
)

// Healthy returns why the process should be replaced, nil if it works.
func (p *Process) Healthy() error {
	if p.timers.Now().Sub(p.control.Snapshot().Time()) > controlStalled {
		return errStalled
	}
	return nil
}

// Ready returns why the entry should get no callers, nil if it may.
func (p *Process) Ready() error {
	s := p.control.Snapshot()
	switch {
	case p.draining() || s.Draining():
		return errIsDraining
	case !s.Synced():
		return errNotSynced
	case len(s.ServersWithoutLease()) > 0 && s.Time().Sub(s.AllLeasesHeldAt()) > trustGrace:
		return notTrusted(s.ServersWithoutLease())
	}
	return nil
}

// notTrusted returns the error of an entry that can't be sure to be the only keeper of servers.
func notTrusted(servers []string) error {
	named := strings.Join(servers[:min(len(servers), maxNamed)], ", ")
	if more := len(servers) - maxNamed; more > 0 {
		named += fmt.Sprintf(" and %d more", more)
	}
	return fmt.Errorf("not sure to be the only keeper of %s", named)
}

// Status returns the entry's state.
func (p *Process) Status() operator.Status {
	s := p.control.Snapshot()
	incarnation := strconv.FormatUint(s.Self().Incarnation(), 16)
	return operator.NewStatus(p.settings.ID(), incarnation, p.settings.Location(), s.Time()).
		WithProcess(operator.Version(), p.started).
		WithReadiness(p.Ready()).
		WithOpenRequests(p.server.OpenRequests(), p.draining() || s.Draining()).
		WithQuorumLease(s.HasQuorumLease()).
		WithPlatform(s.PlatformReadAt(), s.WatchesPlatform(), s.ListVersion()).
		WithEntries(statusEntries(s)...).
		WithDomains(statusDomains(s)...)
}

func statusEntries(s *peer.Snapshot) []operator.Entry {
	var out []operator.Entry
	for _, e := range s.Entries() {
		out = append(out, operator.NewEntry(e.Instance()).
			WithHeartbeat(e.LastHeard(), e.OpenRequests(), e.Draining(), e.ListVersion()).
			WithSilent(e.Silent()))
	}
	return out
}

func statusDomains(s *peer.Snapshot) []operator.Domain {
	var out []operator.Domain
	for _, name := range slices.Sorted(maps.Keys(s.Domains())) {
		out = append(out, operator.NewDomain(name, s.Domains()[name]))
	}
	return out
}

// Config returns what is in force and what was refused.
func (p *Process) Config() operator.Config {
	s := p.control.Snapshot()
	var items []operator.Item
	for _, i := range s.Items() {
		items = append(items, operator.NewItem(i.Key(), i.Version(), i.Since(), i.Source()))
	}
	var refused []operator.RefusedItem
	for _, r := range s.Refused() {
		refused = append(refused, operator.NewRefusedItem(r.Key(), r.Version(), r.Since(), r.Err()))
	}
	return operator.NewConfig(items, refused)
}

// BackendServers returns the servers that the entry keeps, in the order of their ids.
func (p *Process) BackendServers() []operator.BackendServer {
	s := p.control.Snapshot()
	services := make(map[string]string)
	for _, poll := range s.PolledServers() {
		services[poll.Server()] = poll.Service()
	}
	var out []operator.BackendServer
	for _, server := range s.Servers() {
		out = append(out, operator.NewBackendServer(server.Server(), server.Incarnation(), server.Load(), server.Limit()).
			WithService(services[server.Server()]).
			WithWarmth(server.Warmth(), server.WarmthStep(), string(server.KeeperLease())).
			WithSuspendedReason(server.SuspendedReason()))
	}
	return out
}
