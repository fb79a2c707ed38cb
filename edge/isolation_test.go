package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	packingKey = "key-packing"
	shopsKey   = "key-shops"
	cacheSalt  = "Magnoliaspoke-Cache-Salt"
)

// putTenants publishes a configuration with two tenants, of which packing may be isolated, and waits until it is in force.
func (d *deployment) putTenants(version int, isIsolated bool) {
	d.t.Helper()
	probe := fmt.Sprint("key-probe-", version)
	next := table(version, probe)
	next["tenants"] = append(next["tenants"].([]any),
		map[string]any{"name": "packing", "api-keys": []string{packingKey}, "isolated": isIsolated},
		map[string]any{"name": "shops", "api-keys": []string{shopsKey}})
	d.store.Put("op/config", next)
	awaitTrue(d.t, "new table not in force", func() bool { return d.bookingStatus(probe, probe) == http.StatusOK })
}

// saltOf returns the cache group under which the engine has run a request.
func (d *deployment) saltOf(id string) string {
	for _, run := range d.engines[0].Runs() {
		if run.ID == id {
			return run.Header.Get(cacheSalt)
		}
	}
	return ""
}

func (d *deployment) promptSalt(id, key string) string {
	d.t.Helper()
	sent := quoteCall(id)
	sent.key = key
	got, err := d.send(sent)
	assert.NilError(d.t, err)
	assert.Equal(d.t, got.status, http.StatusOK)
	return d.saltOf(id)
}

// Guards against requests of other tenants that use prompt parts of a tenant which has become isolated, and against a
// tenant that finds parts of others then: the parts from before are kept under the name that all tenants shared.
func TestTenantThatBecomesIsolatedSharesNoParts(t *testing.T) {
	d := start(t, 1)
	d.putTenants(2, false)
	shared := d.promptSalt("before", packingKey)
	assert.Equal(t, d.promptSalt("before-shops", shopsKey), shared)
	d.putTenants(3, true)
	others := d.promptSalt("others", shopsKey)
	assert.Assert(t, others != shared, others)
	own := d.promptSalt("own", packingKey)
	assert.Assert(t, own != shared && own != others, own)
	d.putTenants(4, false)
	assert.Equal(t, d.promptSalt("after", packingKey), d.promptSalt("after-shops", shopsKey))
}

// Guards against requests of a tenant that has become isolated which use shared parts, since they waited for an engine
// from before the change.
func TestWaitingRequestsOfTenantThatBecomesIsolated(t *testing.T) {
	const streams = 12
	d := start(t, 1)
	d.putTenants(2, false)
	shared := d.promptSalt("before", packingKey)
	release := d.engines[0].Hold(1)
	var callers sync.WaitGroup
	for number := range streams {
		sent := quoteCall(fmt.Sprint("stream-", number))
		sent.key = packingKey
		callers.Go(func() {
			_, err := d.send(sent)
			assert.Check(t, err)
		})
	}
	awaitTrue(t, "no stream begun", func() bool { return d.hasLogged("stream began") && d.runs() > 8 })
	d.putTenants(3, true)
	before := len(d.engines[0].Runs())
	release()
	callers.Wait()
	waited := 0
	for _, run := range d.engines[0].Runs()[before:] {
		if strings.HasPrefix(run.ID, "stream-") {
			waited++
			assert.Check(t, strings.HasPrefix(run.Header.Get(cacheSalt), "only-packing|"), "%s runs under %s, shared is %s", run.ID, run.Header.Get(cacheSalt), shared)
		}
	}
	assert.Check(t, waited > 0, "no request waits for an engine")
}
