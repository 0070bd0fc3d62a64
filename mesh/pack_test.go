package mesh

import (
	"compress/flate"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagedock.example/flagtest"
)

// testLimit is the most bytes that the tests unpack.
const testLimit = 2 << 20

func TestPack(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "1")
	rapid.Check(t, func(t *rapid.T) {
		value := strings.Repeat(rapid.String().Draw(t, "text"), rapid.IntRange(0, 200).Draw(t, "times"))
		level := rapid.SampledFrom([]int{flate.BestSpeed, flate.BestCompression}).Draw(t, "level")
		packed := Compress(value, level)
		if packed == nil {
			return
		}
		if got, err := Decompress(packed, testLimit); err != nil || got != value {
			t.Fatalf("got %q, %v, want %q", got, err, value)
		}
	})
}

func TestUnpackRefuses(t *testing.T) {
	bomb := Compress(strings.Repeat("a", testLimit+1), flate.BestCompression)
	cut := Compress(strings.Repeat("ab", 1000), flate.BestCompression)[:5]
	for name, packed := range map[string][]byte{"cut": cut, "too long": bomb, "empty": {}} {
		_, err := Decompress(packed, testLimit)
		qt.Check(t, err, qt.ErrorIs, ErrDecompress, qt.Commentf("%s", name))
	}
}
