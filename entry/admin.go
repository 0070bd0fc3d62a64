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
	// controlStallThreshold is the age of the latest snapshot above which the control goroutine counts as stuck.
	controlStallThreshold = 5 * time.Second
	// leaseGracePeriod is how long an entry may lack the leases of servers that it keeps,
	// for example after a change of the entry list, and still report itself ready.
	leaseGracePeriod = 15 * time.Second
	// maxNamedServers is the largest number of servers that a reason lists by id.
	maxNamedServers = 3
)

// Reasons why an entry is not healthy or not ready; operators see the texts.
var (
	errControlStalled = errors.New("the control goroutine is stuck")
	errNotSynced      = errors.New("what is in force is not known yet")
	errIsDraining     = errors.New("the entry is draining")
)

// Healthy returns the reason why the process should be replaced, nil if it is healthy.
func (p *Process) Healthy() error {
	if p.timers.Now().Sub(p.control.Snapshot().Time()) > controlStallThreshold {
		return errControlStalled
	}
	return nil
}

// Ready returns the reason why callers should not be sent to the entry, nil if it is ready.
func (p *Process) Ready() error {
	s := p.control.Snapshot()
	switch {
	case p.draining() || s.Draining():
		return errIsDraining
	case !s.Synced():
		return errNotSynced
	case len(s.ServersWithoutLease()) > 0 && s.Time().Sub(s.AllLeasesHeldAt()) > leaseGracePeriod:
		return missingLeasesError(s.ServersWithoutLease())
	}
	return nil
}

// missingLeasesError returns the error of an entry that holds no lease as the only keeper of servers.
func missingLeasesError(servers []string) error {
	list := strings.Join(servers[:min(len(servers), maxNamedServers)], ", ")
	if more := len(servers) - maxNamedServers; more > 0 {
		list += fmt.Sprintf(" and %d more", more)
	}
	return fmt.Errorf("not sure to be the only keeper of %s", list)
}

// Status returns the entry's state.
func (p *Process) Status() operator.Status {
	s := p.control.Snapshot()
	incarnation := strconv.FormatUint(s.Self().Incarnation(), 16)
	return operator.NewStatus(p.settings.ID(), incarnation, p.settings.Location(), s.Time()).
		WithProcess(operator.Version(), p.startedAt).
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

// Config returns the published items that are active and those that were refused.
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

// BackendServers returns the servers that the entry keeps, sorted by id.
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
