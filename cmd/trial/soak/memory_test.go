package soak_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/soak"
)

const (
	openStreams     = 64
	idleConnections = 200
	// fewStreams is the baseline that is subtracted to exclude the fixed cost of the first streams.
	// manyStreams is so much larger that the steps of the garbage collector hardly affect the
	// difference.
	fewStreams  = 64
	manyStreams = 384
	// maxMemory is the memory of the smaller hosts, less a margin for bursts.
	maxMemory spoke.ByteSize = 100 << 20
	// maxStreamMemory bounds the memory of one open stream.
	maxStreamMemory spoke.ByteSize = 60 << 10
)

// Guards against a host that exceeds the memory of a small machine while it holds open streams
// and idle connections.
func TestMemoryOfOpenStreams(t *testing.T) {
	program := build(t)
	use, err := soak.MeasureMemory(program, t.TempDir(), openStreams, idleConnections)
	assert.NilError(t, err)
	t.Logf("%d bytes before, %d with %d streams and %d idle connections", use.Before, use.Loaded, openStreams, idleConnections)
	assert.Assert(t, use.Loaded < maxMemory, "%d bytes", use.Loaded)
}

// Guards against open streams that each need more memory than a host with many callers can spare.
func TestMemoryOfOneStream(t *testing.T) {
	program := build(t)
	few, err := soak.MeasureMemory(program, t.TempDir(), fewStreams, 0)
	assert.NilError(t, err)
	many, err := soak.MeasureMemory(program, t.TempDir(), manyStreams, 0)
	assert.NilError(t, err)
	perStream := (many.Loaded - few.Loaded) / (manyStreams - fewStreams)
	t.Logf("%d bytes for each stream beyond the first %d", perStream, fewStreams)
	assert.Assert(t, perStream <= maxStreamMemory, "%d bytes", perStream)
}
