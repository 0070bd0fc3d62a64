package registry

import "greengagedock.example/jsonc"

func parseServerCapacity(v jsonc.Value, kind workload) ServerCapacity {
	o := v.Object()
	cold, warm := o.Required("cold").Object(), o.Required("warm").Object()
	capacity := ServerCapacity{cold: parseCapacity(cold, kind), warm: parseCapacity(warm, kind)}
	reportColdAboveWarm(cold, capacity)
	warmAfter := o.Required("warm_after")
	responses, ok := warmAfter.Int(0, maxWarmAfter)
	if ok && responses == 0 && capacity.cold != capacity.warm {
		warmAfter.Report("is 0, want at least 1 where a cold server bears less than a warm one")
	}
	capacity.warmAfter = int(responses)
	return capacity
}

func parseCapacity(o *jsonc.Object, kind workload) Capacity {
	capacity := Capacity{requests: intOrDefault(o.Required("requests"), 1, maxRequests, 0)}
	switch kind {
	case workloadModels:
		capacity.tokens = intOrDefault(o.Required("tokens"), 1, maxTokens, 0)
	case workloadCalls:
		reportTokens(o.Optional("tokens"))
	case workloadUnknown:
		capacity.tokens = intOrDefault(o.Optional("tokens"), 0, maxTokens, 0)
	}
	return capacity
}

// reportTokens reports KV memory in the capacity of a plain service, which has none.
func reportTokens(v jsonc.Value) {
	if tokens, ok := v.Int(0, maxTokens); ok && tokens > 0 {
		v.Report("is %d, want none: a plain service has no KV memory", tokens)
	}
}

// reportColdAboveWarm reports each value of the cold capacity that exceeds the
// warm one; a value of 0 has been reported already.
func reportColdAboveWarm(cold *jsonc.Object, s ServerCapacity) {
	if s.warm.requests > 0 && s.cold.requests > s.warm.requests {
		cold.Optional("requests").Report("is %d, want at most the %d of a warm server", s.cold.requests, s.warm.requests)
	}
	if s.warm.tokens > 0 && s.cold.tokens > s.warm.tokens {
		cold.Optional("tokens").Report("is %d, want at most the %d of a warm server", s.cold.tokens, s.warm.tokens)
	}
}
