package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against calls to an engine after an answer stated that it is leaving, while its directory entry
// still marks it as ready and the store is unavailable.
func TestEngineLeavingByAnswerGetsNoCalls(t *testing.T) {
	for _, path := range []string{"/book/1", "/quote/1"} {
		d := start(t, 2)
		leaving := d.engines[0]
		leaving.SetLeaving()
		d.store.Refuse(true)
		for i := range 40 {
			c := bookCall(fmt.Sprint("call-", i))
			c.path = path
			got, err := d.send(c)
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK)
		}
		assert.Equal(t, len(leaving.Runs()), 1)
	}
}

// Guards against requests and retries that are sent to an engine during the pause that it asked for.
func TestRequestedPauseIsRespected(t *testing.T) {
	d := start(t, 2)
	shedding := d.engines[0]
	shedding.SetBehaviour(fake.Shed)
	shedding.SetRetryAfter("2.5")
	begin := time.Now()
	for i := range 60 {
		got, err := d.send(lookCall(fmt.Sprint("call-", i)))
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Assert(t, time.Since(begin) < 2*time.Second)
	assert.Equal(t, shedding.ShedCount(), 1)
}

// Guards against a malformed pause that suspends an engine or is not logged.
func TestMalformedPauseIsIgnored(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.Shed)
	d.engines[0].SetRetryAfter("soon")
	for i := range 3 {
		_, err := d.send(lookCall(fmt.Sprint("call-", i)))
		assert.NilError(t, err)
	}
	assert.Equal(t, d.engines[0].ShedCount(), 3)
	awaitTrue(t, "malformed pause not logged", func() bool { return d.hasLogged("soon") })
}

// Guards against calls that wait until their deadline while all engines of the service have asked for
// pauses, and against a Retry-After that ends before the pause.
func TestRetryAfterCoversPauseOfAllEngines(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.Shed)
	d.engines[0].SetRetryAfter("1.2")
	_, err := d.send(lookCall("first"))
	assert.NilError(t, err)
	begin := time.Now()
	got, err := d.send(lookCall("second"))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begin) < 300*time.Millisecond)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	hint, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
	assert.NilError(t, err)
	assert.Assert(t, hint > 700*time.Millisecond && hint <= 1200*time.Millisecond, "%s", hint)
	assert.Equal(t, d.engines[0].ShedCount(), 1)
}
