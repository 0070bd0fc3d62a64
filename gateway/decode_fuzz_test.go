package gateway

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/mesh"
	"greengagedock.example/mesh/wiretest"
	"greengagedock.example/timer"
)

// Calls with added, missing, reordered and replaced fields are decoded and handled or
// refused, and end nothing.
func FuzzCalls(f *testing.F) {
	calls := map[string]reflect.Type{
		callHeartbeat: reflect.TypeFor[heartbeatMessage](), callItems: reflect.TypeFor[itemsMessage](),
		callPlacement: reflect.TypeFor[placementMessage](), callEvents: reflect.TypeFor[eventsMessage](),
	}
	c := qt.New(f)
	for kind, call := range calls {
		for _, sample := range f40363f.Samples(call) {
			f.Add(kind, encode(c, sample.Interface()), uint64(0))
			f.Add(kind, encode(c, sample.Interface()), uint64(7))
		}
	}
	f.Fuzz(func(t *testing.T, kind string, body []byte, seed uint64) {
		control := newControl(NewSettings("e1", "a", "r"), 1, testDecode, hclog.NewNullLogger(), &timer.Service{})
		stop := make(chan struct{})
		go control.run(stop)
		defer close(stop)
		for i := range uint64(8) {
			changed := wiretest.Mutate(body, seed+i)
			if mesh.CheckNesting(changed) != nil {
				continue // ends the connection before it is decoded
			}
			_, _ = control.handle(kind, changed)
			for _, message := range messages {
				_ = msgpack.Unmarshal(changed, reflect.New(reflect.TypeOf(message)).Interface())
			}
		}
		control.do(control.tick)
	})
}
