package peer

import (
	"reflect"
	"testing"

	"greengagedock.example/backend"
	"greengagedock.example/mesh/wiretest"
)

// Messages with added, missing, reordered and replaced fields are decoded and handled or
// refused, and end nothing.
func FuzzMessages(f *testing.F) {
	for _, kind := range originalKinds {
		for _, sample := range f40363f.Samples(reflect.TypeOf(newMessage(kind)).Elem()) {
			f.Add(string(kind), encodeMessage(sample.Interface()), uint64(0))
		}
	}
	f.Fuzz(func(t *testing.T, kind string, body []byte, seed uint64) {
		sim := newSimulation(1, 2, 2)
		sim.advance(simStep)
		n := sim.nodes["entry-0"].node
		for i := range uint64(8) {
			m, err := decodeBody(append(encodeMessage(kind), wiretest.Mutate(body, seed+i)...))
			if err != nil {
				continue
			}
			if _, err := encodeFrame(m); err != nil {
				t.Fatal(err)
			}
			n.Step(sim.now, Received{from: backend.NewOwner("entry-1", 1), message: m, understands: []messageKind{"later"}})
		}
		sim.now = sim.now.Add(simStep)
		n.Step(sim.now, Tick{})
	})
}
