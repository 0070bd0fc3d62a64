package mesh

import (
	"compress/flate"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagedock.example/flagtest"
)

// testLimit is the length limit that the tests pass to Decompress.
const testLimit = 2 << 20

func TestCompress(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "1")
	rapid.Check(t, func(t *rapid.T) {
		value := strings.Repeat(rapid.String().Draw(t, "text"), rapid.IntRange(0, 200).Draw(t, "times"))
		level := rapid.SampledFrom([]int{flate.BestSpeed, flate.BestCompression}).Draw(t, "level")
		compressed := Compress(value, level)
		if compressed == nil {
			return
		}
		if got, err := Decompress(compressed, testLimit); err != nil || got != value {
			t.Fatalf("got %q, %v, want %q", got, err, value)
		}
	})
}

func TestDecompressRejectsMalformedAndTooLong(t *testing.T) {
	bomb := Compress(strings.Repeat("a", testLimit+1), flate.BestCompression)
	cut := Compress(strings.Repeat("ab", 1000), flate.BestCompression)[:5]
	for name, compressed := range map[string][]byte{"cut": cut, "too long": bomb, "empty": {}} {
		_, err := Decompress(compressed, testLimit)
		qt.Check(t, err, qt.ErrorIs, ErrDecompress, qt.Commentf("%s", name))
	}
}
