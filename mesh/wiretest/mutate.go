package wiretest

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/mesh"
)

// Mutate returns an encoded message with some fields added, missing, reordered or of another
// type, or with some bytes changed. The same arguments give the same result.
func Mutate(encoded []byte, seed uint64) []byte {
	random := rand.New(rand.NewPCG(seed, uint64(len(encoded))))
	var value any
	if random.IntN(4) == 0 || mesh.CheckNesting(encoded) != nil || msgpack.Unmarshal(encoded, &value) != nil {
		return mutateBytes(random, encoded)
	}
	for range 1 + random.IntN(3) {
		value = mutateValue(random, value)
	}
	out, err := msgpack.Marshal(value)
	if err != nil {
		return encoded
	}
	return out
}

func mutateBytes(random *rand.Rand, encoded []byte) []byte {
	out := slices.Clone(encoded)
	for range 1 + random.IntN(4) {
		if len(out) > 0 {
			out[random.IntN(len(out))] = byte(random.Uint32())
		}
	}
	return out[:len(out)-random.IntN(min(len(out), 3)+1)]
}

// otherValue returns a value that may be of another type than a field.
func otherValue(random *rand.Rand) any {
	values := []any{nil, -1, int64(-1 << 63), uint64(1<<64 - 1), 1e300, "", "later", []byte{1}, true, []any{}, []any{1, "x"}, map[string]any{"Later": 1}}
	return values[random.IntN(len(values))]
}

func mutateValue(random *rand.Rand, value any) any {
	switch v := value.(type) {
	case []any:
		return mutateArray(random, v)
	case map[string]any:
		return mutateMap(random, v)
	default:
		return otherValue(random)
	}
}

func mutateArray(random *rand.Rand, v []any) any {
	if len(v) == 0 {
		return []any{otherValue(random)}
	}
	i, j := random.IntN(len(v)), random.IntN(len(v))
	switch random.IntN(8) {
	case 0:
		return slices.Delete(v, i, i+1)
	case 1:
		return append(v, otherValue(random))
	case 2:
		v[i], v[j] = v[j], v[i]
	case 3:
		return v[:i]
	default:
		v[i] = mutateValue(random, v[i])
	}
	return v
}

func mutateMap(random *rand.Rand, v map[string]any) any {
	keys := slices.Sorted(maps.Keys(v))
	if len(keys) == 0 {
		return map[string]any{"Later": otherValue(random)}
	}
	i, j := keys[random.IntN(len(keys))], keys[random.IntN(len(keys))]
	switch random.IntN(8) {
	case 0:
		delete(v, i)
	case 1:
		v["Later"] = otherValue(random)
	case 2:
		v[i], v[j] = v[j], v[i]
	default:
		v[i] = mutateValue(random, v[i])
	}
	return v
}
