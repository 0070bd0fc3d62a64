package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against limits of clients that a small or unknown machine makes useless: what is not
// stated is not limited, and there are always connections.
func TestClientLimits(t *testing.T) {
	for _, test := range []struct {
		megabytes   int64
		descriptors int
		connections int
		headMemory  int64
	}{
		{284, 4100, 2437, 284 << 17},
		{96, 1200, 625, 96 << 17},
		{24, 4100, 230, 24 << 17},
		{0, 4100, 2437, 0},
		{284, 0, 2726, 284 << 17},
		{284, 100, 31, 284 << 17},
		{284, 1, 1, 284 << 17},
		{0, 0, 0, 0},
	} {
		limits := clientLimits(NewSettings("e", "a", "r").WithMemoryBytes(test.megabytes << 20).WithMaxDescriptors(test.descriptors))
		qt.Check(t, limits.Connections(), qt.Equals, test.connections, qt.Commentf("%+v", test))
		qt.Check(t, limits.HeadMemory(), qt.Equals, test.headMemory, qt.Commentf("%+v", test))
	}
}
