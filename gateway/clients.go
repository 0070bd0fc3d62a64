package gateway

import (
	"greengagedock.example/http1"
	"greengagedock.example/mesh"
)

// Parts of the process's memory and descriptors that its clients may take together.
const (
	// headMemoryDivisor is the memory divided by the part for request heads beyond the ordinary.
	headMemoryDivisor = 8
	// connectionMemoryFraction is the part of the memory for connections of clients.
	connectionMemoryFraction = 0.375
	// fileDescriptors is the number of descriptors that are no connections, and
	// clientDescriptorFraction the part of the others for clients. The rest is for connections
	// to servers, to other entries and to the store.
	fileDescriptors          = 200
	clientDescriptorFraction = 0.625
	// peerDescriptorFraction is the part of them for connections from other entries, and
	// peerMemoryDivisor the memory divided by the part for their messages and calls.
	peerDescriptorFraction = 0.25
	peerMemoryDivisor      = 6
)

// clientLimits returns what the clients of the process may take together.
func clientLimits(s Settings) http1.Limits {
	connections := int(connectionMemoryFraction * float64(s.MemoryBytes()) / http1.ConnectionBytes)
	if byDescriptors := connectionShare(s, clientDescriptorFraction); connections == 0 || byDescriptors > 0 && byDescriptors < connections {
		connections = byDescriptors
	}
	return http1.NewLimits(connections, s.MemoryBytes()/headMemoryDivisor)
}

// peerLimits returns what may be taken at the listener for other entries.
func peerLimits(s Settings) mesh.Limits {
	return mesh.NewLimits(connectionShare(s, peerDescriptorFraction), s.MemoryBytes()/peerMemoryDivisor)
}

// connectionShare returns a fraction of the descriptors for connections, 0 if there is no limit.
func connectionShare(s Settings, fraction float64) int {
	if s.MaxDescriptors() <= 0 {
		return 0
	}
	return max(1, int(fraction*float64(max(s.MaxDescriptors()-fileDescriptors, s.MaxDescriptors()/2))))
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
