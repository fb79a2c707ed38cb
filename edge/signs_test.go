package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against calls that reach an engine after it said in an answer that it leaves, while its
// entry says that it is ready and while the store is away.
func TestEngineThatSaysThatItLeavesIsLeftAlone(t *testing.T) {
	for _, path := range []string{"/book/1", "/quote/1"} {
		d := start(t, 2)
		leaving := d.engines[0]
		leaving.SetLeaving()
		d.store.Refuse(true)
		for i := range 40 {
			c := book(fmt.Sprint("call-", i))
			c.path = path
			got, err := d.send(c)
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK)
		}
		assert.Equal(t, len(leaving.Runs()), 1)
	}
}

// Guards against requests and retries that reach an engine in the pause that it asked for.
func TestPauseThatAnEngineAsksForIsKept(t *testing.T) {
	d := start(t, 2)
	shedding := d.engines[0]
	shedding.SetBehaviour(fake.Shed)
	shedding.SetRetryAfter("2.5")
	begin := time.Now()
	for i := range 60 {
		got, err := d.send(look(fmt.Sprint("call-", i)))
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Assert(t, time.Since(begin) < 2*time.Second)
	assert.Equal(t, shedding.ShedCount(), 1)
}

// Guards against a malformed pause that keeps calls away or is not logged.
func TestMalformedPauseIsIgnored(t *testing.T) {
	d := start(t, 1)
	d.behave(fake.Shed)
	d.engines[0].SetRetryAfter("soon")
	for i := range 3 {
		_, err := d.send(look(fmt.Sprint("call-", i)))
		assert.NilError(t, err)
	}
	assert.Equal(t, d.engines[0].ShedCount(), 3)
	awaitTrue(t, "malformed pause not logged", func() bool { return d.hasLogged("soon") })
}

// Guards against calls that wait for their deadline while all engines of their service ask for pauses,
// and against a hint that brings them back before its end.
func TestCallsComeBackAfterThePauseOfAllEngines(t *testing.T) {
	d := start(t, 1)
	d.behave(fake.Shed)
	d.engines[0].SetRetryAfter("1.2")
	_, err := d.send(look("first"))
	assert.NilError(t, err)
	begin := time.Now()
	got, err := d.send(look("second"))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begin) < 300*time.Millisecond)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	hint, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
	assert.NilError(t, err)
	assert.Assert(t, hint > 700*time.Millisecond && hint <= 1200*time.Millisecond, "%s", hint)
	assert.Equal(t, d.engines[0].ShedCount(), 1)
}
