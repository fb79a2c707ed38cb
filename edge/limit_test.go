package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against limits of upstreams that neither log nor metrics show, and that do not reach the caller.
func TestNamedLimitIsLogged(t *testing.T) {
	d := start(t, 1)
	d.engines[0].SetLimit("40.5")
	got, err := d.send(lookCall("named"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get("Server-Limit"), "40.5")
	awaitTrue(t, "limit not logged", func() bool { return d.hasLogged(`"limit":40.5`) && d.hasLogged("upstream named a limit in an answer") })
	assert.Assert(t, strings.Contains(d.metricsPage(), `"limited": 1`))
}

// Guards against a malformed limit that suspends an upstream or is not logged.
func TestMalformedLimitIsIgnored(t *testing.T) {
	for i, text := range []string{"plenty", "-3", "NaN"} {
		d := start(t, 1)
		d.engines[0].SetLimit(text)
		for j := range 12 {
			got, err := d.send(lookCall(fmt.Sprint("call-", i, "-", j)))
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK)
		}
		awaitTrue(t, "malformed limit not logged", func() bool { return d.hasLogged(text) })
	}
}
