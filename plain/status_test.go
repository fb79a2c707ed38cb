package plain_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
)

// Guards against statuses that are none of HTTP and that count as answers, or as a call that was not run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []int{0, 1, 99, 101, 600, 999} {
		for _, framing := range []string{"Content-Length: 5\r\n", "Connection: close\r\n"} {
			raw := fmt.Sprintf("HTTP/1.1 %03d X\r\nX-Attempt-Id: r-1\r\n%s\r\nwrong", status, framing)
			answer, err := callEarly(t, raw, []byte("x"), false)
			assert.Check(t, err != nil && !errors.Is(err, spoke.ErrNotRun), "status %03d: %v, answer %q", status, err, answer.Body)
		}
	}
}
