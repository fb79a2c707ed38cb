package fetch_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fetch"
)

// Guards against bodies of just the limit that are refused, longer ones that are accepted, and memory that is not returned.
func TestBodiesAreReadWithinTheirLimitAndMemory(t *testing.T) {
	const limit = 300 << 10
	memory := fetch.NewMemory(4 * limit)
	for round := range 10 {
		for size, want := range map[int]error{0: nil, 1 << 10: nil, limit: nil, limit + 1: fetch.ErrTooLong, 2 * limit: fetch.ErrTooLong} {
			length := spoke.ByteSize(size)
			if size > limit || round%2 == 0 {
				length = -1
			}
			body, release, err := memory.ReadWhole(strings.NewReader(strings.Repeat("x", size)), length, limit)
			assert.Assert(t, errors.Is(err, want) || err == nil && want == nil, "%d bytes: %v", size, err)
			assert.Assert(t, err != nil || len(body) == size)
			release()
		}
	}
	assert.Assert(t, memory.Reserve(4*limit))
	_, release, err := memory.ReadWhole(strings.NewReader(strings.Repeat("x", limit)), -1, limit)
	release()
	assert.Assert(t, errors.Is(err, fetch.ErrMemory))
	body, release, err := memory.ReadWhole(strings.NewReader("small"), 5, limit)
	release()
	assert.NilError(t, err)
	assert.Equal(t, string(body), "small")
	memory.Release(4 * limit)
	assert.Assert(t, memory.Reserve(spoke.ByteSize(4*limit)))
}
