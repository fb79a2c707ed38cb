package plain_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/frame"
	"magnoliaspoke.example/spoke/fake/heap"
	"magnoliaspoke.example/spoke/plain"
)

// endlessCalls is the number of concurrent calls to a service that sends bytes without end.
const endlessCalls = 60

// Guards against bytes without end in a head or a body, which many calls at once keep until the memory of a small host is
// used up. Such a call may have run.
func TestEndlessAnswersStayWithinMemory(t *testing.T) {
	const bytes = "0123456789abcdef"
	for name, shape := range map[string][2]string{
		"head": {"HTTP/1.1 200 OK\r\nX: ", bytes},
		"body": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n" + bytes + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server, at := startServer(t, frame.Endless(shape[0], shape[1]))
			t.Cleanup(server.CloseClientConnections)
			client := plain.NewClient()
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			maxHeap := heap.PeakOf(endlessCalls, func(int) {
				_, err := client.Call(ctx, at, spoke.PlainCall{Request: "r", Attempt: "r-1", Method: http.MethodPost, Path: "/bookings", FreshConnection: true})
				assert.Check(t, err != nil && !errors.Is(err, spoke.ErrNotRun), "%v", err)
				assert.Check(t, ctx.Err(), "the call ends with its deadline")
			})
			assert.Assert(t, maxHeap < heap.SmallHostBytes, "%d bytes of heap", maxHeap)
		})
	}
}
