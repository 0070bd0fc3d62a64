package peer

import (
	"fmt"
	"maps"
	"strings"

	"greengagedock.example/registry"
)

// publish publishes a value under a key with a new revision.
func (sim *simulation) publish(key, value string) {
	sim.platform.revision++
	sim.platform.items[key] = registry.NewItem(key, sim.platform.revision, value)
}

// publishEntries publishes the current list of entries.
func (sim *simulation) publishEntries() {
	var instances []registry.Instance
	for _, id := range sortedKeys(sim.platform.entries) {
		instances = append(instances, sim.platform.entries[id])
	}
	text, err := registry.FormatList(instances...)
	if err != nil {
		sim.reportFault("list not formatted: %v", err)
	}
	sim.publish(registry.EntriesPrefix+simRegion, text)
}

// publishServers publishes the list of servers of each failure domain.
func (sim *simulation) publishServers() {
	for _, domain := range simDomains {
		var instances []registry.Instance
		for _, id := range sortedKeys(sim.servers) {
			if s := sim.servers[id]; s.domain == domain {
				instances = append(instances, registry.NewServer(id, registry.KindEngine,
					registry.NewLocation(simRegion, domain), registry.StateLive, id, simService))
			}
		}
		text, err := registry.FormatList(instances...)
		if err != nil {
			sim.reportFault("list not formatted: %v", err)
		}
		sim.publish(registry.ServersPrefix+domain, text)
	}
}

// publishDomains publishes the state of each failure domain.
func (sim *simulation) publishDomains() {
	var pairs []string
	for _, domain := range simDomains {
		pairs = append(pairs, fmt.Sprintf("%q: %q", domain, sim.domainState(domain)))
	}
	sim.publish(registry.DomainsKey, "{"+strings.Join(pairs, ", ")+"}")
}

func (sim *simulation) domainState(domain string) registry.State {
	for _, s := range sim.servers {
		if s.domain == domain && !s.domainOutAt.IsZero() {
			return registry.StateOut
		}
	}
	return registry.StateIn
}

// takeDomainOut takes a failure domain out.
func (sim *simulation) takeDomainOut(domain string) {
	for _, s := range sim.servers {
		if s.domain == domain && s.domainOutAt.IsZero() {
			s.domainOutAt = sim.now
		}
	}
	sim.publishDomains()
}

// bringDomainBack puts a failure domain back in.
func (sim *simulation) bringDomainBack(domain string) {
	for _, s := range sim.servers {
		if s.domain == domain {
			s.domainOutAt = noTime
		}
	}
	sim.publishDomains()
}

// publishDocument publishes the next version of the only service document.
func (sim *simulation) publishDocument() {
	sim.platform.document++
	sim.publish(registry.ServicePrefix+simService, fmt.Sprintf(`{
		"service": %q, "team": "editorial", "version": %d, "priority": 1,
		"accounts": [{"name": "norte", "key_sha256": "%064d", "share": 1}],
		"models": [{"name": %q, "prompt_tokens": 50000, "answer_tokens": 4096, "deadline": "10s"}],
		"backend_servers": {"cold": {"requests": %d, "tokens": 60000}, "warm": {"requests": %d, "tokens": 100000}, "warm_after": %d}
	}`, simService, sim.platform.document, sim.platform.document, simModel, simColdRequests, simWarmRequests, sim.warmAfter))
}

// makePlatformStale makes the platform return its current items whatever is
// published later.
func (sim *simulation) makePlatformStale() {
	sim.platform.stale = true
	sim.platform.older = maps.Clone(sim.platform.items)
}

// readPlatform lets a node read all published items.
func (sim *simulation) readPlatform(n *simNode) {
	from := sim.platform.items
	if sim.platform.stale {
		from = sim.platform.older
	}
	var published []registry.Item
	for _, key := range sortedKeys(from) {
		published = append(published, from[key])
	}
	if sim.mutation == mutationRevert {
		n.node.items = newItemStore()
	}
	sim.drive(n, PlatformRead{items: published})
}
