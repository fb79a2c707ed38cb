package engine_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/frame"
	"magnoliaspoke.example/spoke/fake/heap"
)

// endlessRuns is the number of concurrent runs at an engine that sends bytes without end.
const endlessRuns = 60

// Guards against a head without end, which many calls at once keep until the memory of a small host is used up.
func TestEndlessHeadsStayWithinMemory(t *testing.T) {
	client := startClient(t)
	at := serve(t, frame.Endless("HTTP/1.1 200 OK\r\nX: ", "0123456789abcdef"))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	maxHeap := heap.PeakOf(endlessRuns, func(number int) {
		_, err := client.Run(ctx, at, runSpec(spoke.AttemptID(fmt.Sprint(number)), "prompt"))
		assert.Check(t, err != nil)
		assert.Check(t, ctx.Err(), "the run ends with its deadline")
	})
	assert.Assert(t, maxHeap < heap.SmallHostBytes, "%d bytes of heap", maxHeap)
}
