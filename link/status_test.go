package link_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against statuses that are none of HTTP and that count as informational, so that what stands behind them is read as
// the next head, or as final.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const behind = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, status := range []int{0, 1, 99, 101, 600, 777, 999} {
		for _, framing := range []string{"Content-Length: 5\r\n\r\nwrong", "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", "\r\nwrong", "\r\n" + behind} {
			body, err := getRaw(t, fmt.Sprintf("HTTP/1.1 %03d X\r\n%s", status, framing), false)
			assert.Check(t, err != nil && !isNotRun(err), "status %03d, %q: body %q", status, framing, body)
		}
	}
	for _, status := range []int{100, 102, 103, 199} {
		body, err := getRaw(t, fmt.Sprintf("HTTP/1.1 %d X\r\n\r\nHTTP/1.1 599 X\r\nContent-Length: 4\r\n\r\nbody", status), false)
		assert.NilError(t, err)
		assert.Equal(t, body, "body")
	}
}
