package registry

import "greengagedock.example/jsonc"

func parseServers(v jsonc.Value, does work) ServerCapacity {
	o := v.Object()
	cold, warm := o.Required("cold").Object(), o.Required("warm").Object()
	servers := ServerCapacity{cold: parseBearing(cold, does), warm: parseBearing(warm, does)}
	reportColdAboveWarm(cold, servers)
	warmAfter := o.Required("warm_after")
	answers, ok := warmAfter.Int(0, maxWarmAfter)
	if ok && answers == 0 && servers.cold != servers.warm {
		warmAfter.Report("is 0, want at least 1 where a cold server bears less than a warm one")
	}
	servers.warmAfter = int(answers)
	return servers
}

func parseBearing(o *jsonc.Object, does work) Capacity {
	bearing := Capacity{requests: intOr(o.Required("requests"), 1, maxRequests, 0)}
	switch does {
	case workModels:
		bearing.tokens = intOr(o.Required("tokens"), 1, maxTokens, 0)
	case workCalls:
		reportTokens(o.Optional("tokens"))
	case workUnknown:
		bearing.tokens = intOr(o.Optional("tokens"), 0, maxTokens, 0)
	}
	return bearing
}

// reportTokens reports KV memory in the bearing of a plain service, which has none.
func reportTokens(v jsonc.Value) {
	if tokens, ok := v.Int(0, maxTokens); ok && tokens > 0 {
		v.Report("is %d, want none: a plain service has no KV memory", tokens)
	}
}

// reportColdAboveWarm reports each part of the cold bearing that exceeds the
// warm one; a part that is 0 was refused already.
func reportColdAboveWarm(cold *jsonc.Object, s ServerCapacity) {
	if s.warm.requests > 0 && s.cold.requests > s.warm.requests {
		cold.Optional("requests").Report("is %d, want at most the %d of a warm server", s.cold.requests, s.warm.requests)
	}
	if s.warm.tokens > 0 && s.cold.tokens > s.warm.tokens {
		cold.Optional("tokens").Report("is %d, want at most the %d of a warm server", s.cold.tokens, s.warm.tokens)
	}
}
