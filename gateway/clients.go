package gateway

import "greengagedock.example/http1"

// headMemoryDivisor is the memory of the process divided by the part that the heads of requests
// may take beyond ordinary ones.
const headMemoryDivisor = 8

// clientLimits returns what the clients of the process may take together.
func clientLimits(s Settings) http1.Limits {
	return http1.NewLimits(0, s.MemoryBytes()/headMemoryDivisor)
}

// clientGauges returns what the clients take, and how many were refused for it.
func (p *Process) clientGauges() map[string]int64 {
	connections, headMemory := p.clients.Open()
	counts := p.clients.Counts()
	return map[string]int64{
		"connections": int64(connections), "head_memory": headMemory,
		"evicted": counts.Evicted(), "refused": counts.Refused(), "no_memory": counts.NoMemory(), "too_large": counts.TooLarge(),
	}
}
