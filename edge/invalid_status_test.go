package edge_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against statuses that are none of HTTP and reach callers as answers, or make what stands behind them one.
func TestAnswerWithInvalidStatusReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "777", "999"} {
		for name, framing := range map[string]string{"length": "Content-Length: 5\r\n", "connection": ""} {
			t.Run(status+" "+name, func(t *testing.T) {
				d := startEarly(t, &earlyEngine{head: "HTTP/1.1 " + status + " X\r\n" + framing, body: "wrong"})
				c := bookCall("book")
				c.key = "key-2"
				got, err := d.send(c)
				assert.NilError(t, err)
				assert.Equal(t, got.status, http.StatusBadGateway, got.body)
				assert.Equal(t, got.header.Get("Magnoliaspoke-Server-Stamp"), "")
			})
		}
	}
}
