package delta_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke/delta"
)

const limit = 1 << 20

// list returns a list of objects, one for each of the numbers from first to last.
func list(version, first, last int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[`, version)
	for i := first; i <= last; i++ {
		fmt.Fprintf(&text, `{"name":"r-%x","prefix":"/%x/","timeout-ms":800,"service":"ledger"},`, uint32(i)*2654435761, uint32(i)*2246822519)
	}
	return []byte(text.String() + `{}]}`)
}

// Guards against deltas from which another content results, whatever base and target hold.
func TestApplyReturnsTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alphabet := rapid.SampledFrom([]byte("ab}{,"))
		base := rapid.SliceOfN(alphabet, 0, 300).Draw(t, "base")
		target := rapid.SliceOfN(alphabet, 0, 300).Draw(t, "target")
		if rapid.Bool().Draw(t, "shares pieces") {
			cut := rapid.IntRange(0, len(base)).Draw(t, "cut")
			target = append(append(bytes.Clone(base[cut:]), target...), base[:cut]...)
		}
		encoded, err := delta.Encode(base, target)
		assert.NilError(t, err)
		got, err := delta.Apply(base, encoded, limit)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, target))
	})
}

// Guards against changes that cost as many bytes as the whole content.
func TestSmallChangeIsSmall(t *testing.T) {
	base, target := list(8, 1, 10000), list(12, 2, 10001)
	encoded, err := delta.Encode(base, target)
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) < 300, "%d of %d bytes", len(encoded), len(target))
	got, err := delta.Apply(base, encoded, limit)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, target))
}

// Guards against hosts that end, or take up all their memory, on a delta that is damaged or has another base.
func TestInvalidDeltasAreErrors(t *testing.T) {
	whole, err := delta.Encode(nil, bytes.Repeat([]byte("x"), 2*limit))
	assert.NilError(t, err)
	_, err = delta.Apply(nil, whole, limit)
	assert.ErrorIs(t, err, delta.ErrInvalid)
	change, err := delta.Encode(list(1, 1, 50), list(2, 1, 50))
	assert.NilError(t, err)
	_, err = delta.Apply(nil, change, limit)
	assert.ErrorIs(t, err, delta.ErrInvalid)
	for size := range change {
		_, _ = delta.Apply(list(1, 1, 50), change[:size], limit)
	}
	rapid.Check(t, func(t *rapid.T) {
		_, _ = delta.Apply(list(1, 1, 5), rapid.SliceOf(rapid.Byte()).Draw(t, "encoded"), limit)
	})
}
