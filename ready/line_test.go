package ready_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ready"
)

// Guards against other output that is taken for the ready line, and against a ready line that is
// missed after it.
func TestReadSkipsOtherOutput(t *testing.T) {
	line := ready.Line{Addresses: map[ready.Listener]spoke.Address{ready.Caller: "127.0.0.1:40001"}}
	output := bytes.NewBufferString("starting\n{\"ready\":false}\n")
	assert.NilError(t, ready.Write(output, line))
	assert.Assert(t, strings.HasSuffix(output.String(),
		"{\"ready\":true,\"addresses\":{\"caller\":\"127.0.0.1:40001\"}}\n"))

	read, err := ready.Read(output)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, line)

	_, err = ready.Read(strings.NewReader("panic: no\n"))
	assert.ErrorIs(t, err, ready.ErrNoLine)
}
