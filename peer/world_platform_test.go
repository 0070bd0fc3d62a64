package peer

import (
	"fmt"
	"maps"
	"strings"

	"greengagedock.example/registry"
)

// publish puts a value under a key with a new revision.
func (w *world) publish(key, value string) {
	w.platform.revision++
	w.platform.items[key] = registry.NewItem(key, w.platform.revision, value)
}

// publishEntries publishes the entries that the platform lists now.
func (w *world) publishEntries() {
	var instances []registry.Instance
	for _, id := range sortedKeys(w.platform.entries) {
		instances = append(instances, w.platform.entries[id])
	}
	text, err := registry.FormatList(instances...)
	if err != nil {
		w.fault("list not formatted: %v", err)
	}
	w.publish(registry.EntriesPrefix+worldRegion, text)
}

// publishServers publishes the servers of each domain.
func (w *world) publishServers() {
	for _, domain := range worldDomains {
		var instances []registry.Instance
		for _, id := range sortedKeys(w.servers) {
			if s := w.servers[id]; s.domain == domain {
				instances = append(instances, registry.NewServer(id, registry.KindEngine,
					registry.NewLocation(worldRegion, domain), registry.StateLive, id, worldService))
			}
		}
		text, err := registry.FormatList(instances...)
		if err != nil {
			w.fault("list not formatted: %v", err)
		}
		w.publish(registry.ServersPrefix+domain, text)
	}
}

// publishDomains publishes which failure domains are in.
func (w *world) publishDomains() {
	var pairs []string
	for _, domain := range worldDomains {
		pairs = append(pairs, fmt.Sprintf("%q: %q", domain, w.domainState(domain)))
	}
	w.publish(registry.DomainsKey, "{"+strings.Join(pairs, ", ")+"}")
}

func (w *world) domainState(domain string) registry.State {
	for _, s := range w.servers {
		if s.domain == domain && !s.closedAt.IsZero() {
			return registry.StateOut
		}
	}
	return registry.StateIn
}

// takeOut takes a failure domain out; bringBack brings it back.
func (w *world) takeOut(domain string) {
	for _, s := range w.servers {
		if s.domain == domain && s.closedAt.IsZero() {
			s.closedAt = w.now
		}
	}
	w.publishDomains()
}

func (w *world) bringBack(domain string) {
	for _, s := range w.servers {
		if s.domain == domain {
			s.closedAt = worldNever
		}
	}
	w.publishDomains()
}

// publishDocument publishes the next version of the one service document.
func (w *world) publishDocument() {
	w.platform.document++
	w.publish(registry.ServicePrefix+worldService, fmt.Sprintf(`{
		"service": %q, "team": "editorial", "version": %d, "priority": 1,
		"accounts": [{"name": "norte", "key_sha256": "%064d", "share": 1}],
		"models": [{"name": %q, "prompt_tokens": 50000, "answer_tokens": 4096, "deadline": "10s"}],
		"backend_servers": {"cold": {"requests": %d, "tokens": 60000}, "warm": {"requests": %d, "tokens": 100000}, "warm_after": %d}
	}`, worldService, w.platform.document, w.platform.document, worldModel, worldCold, worldWarm, w.warmAfter))
}

// goStale lets the platform answer with what it holds now, whatever is published later.
func (w *world) goStale() {
	w.platform.stale = true
	w.platform.older = maps.Clone(w.platform.items)
}

// readPlatform lets a node read everything.
func (w *world) readPlatform(n *worldNode) {
	from := w.platform.items
	if w.platform.stale {
		from = w.platform.older
	}
	var published []registry.Item
	for _, key := range sortedKeys(from) {
		published = append(published, from[key])
	}
	if w.mutation == mutationRevert {
		n.node.relay = newRelay()
	}
	w.drive(n, PlatformRead{items: published})
}
