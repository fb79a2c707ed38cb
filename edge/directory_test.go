package edge_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// status returns the status of a booking, zero if there was no answer.
func (d *deployment) status(id, key string) int {
	c := book(id)
	c.key = key
	got, err := d.send(c)
	if err != nil {
		return 0
	}
	return got.status
}

// Guards against keys and routes that are denied or allowed by an older table than the one in force.
func TestNewTableIsInForceSoon(t *testing.T) {
	d := start(t, 1)
	assert.Equal(t, d.status("a", "key-2"), http.StatusUnauthorized)
	d.store.Put("op/config", table(5, "key-2"))
	awaitTrue(t, "new key not known", func() bool { return d.status("b", "key-2") == http.StatusOK })
	assert.Equal(t, d.status("c", callerKey), http.StatusUnauthorized)

	d.store.Put("op/config", table(4, callerKey))
	d.store.Put("op/config", []byte("no table"))
	d.store.Put("op/config", table(6, "key-3"))
	awaitTrue(t, "newest key not known", func() bool { return d.status("d", "key-3") == http.StatusOK })
}

// Guards against a host that misses changes while the store drops its history.
func TestForgottenHistoryIsReadAgain(t *testing.T) {
	d := start(t, 1)
	d.store.Put("op/config", table(2, "key-2"))
	d.store.Compact()
	awaitTrue(t, "new key not known", func() bool { return d.status("a", "key-2") == http.StatusOK })
}

// Guards against a host that stops serving, or denies what may be allowed by now, while the
// store is away.
func TestHostServesWithoutStore(t *testing.T) {
	d := start(t, 1)
	d.store.Refuse(true)
	awaitTrue(t, "unknown key is still denied", func() bool {
		return d.status("a", "key-2") == http.StatusServiceUnavailable
	})
	assert.Equal(t, d.status("b", callerKey), http.StatusOK)
	status, err := d.readiness()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	d.store.Refuse(false)
	awaitTrue(t, "unknown key is not denied", func() bool { return d.status("c", "key-2") == http.StatusUnauthorized })
}

// Guards against entries that lapse during an outage and count as gone although their engines
// live, and against engines that stay in use after they are gone for good.
func TestEntriesThatLapseInAnOutage(t *testing.T) {
	d := start(t, 1)
	d.store.Refuse(true)
	awaitTrue(t, "outage not noticed", func() bool { return d.status("a", "key-2") == http.StatusServiceUnavailable })
	d.store.Remove("servers/i-0")
	d.store.Refuse(false)
	awaitTrue(t, "store not regained", func() bool { return d.status("b", "key-2") == http.StatusUnauthorized })
	assert.Equal(t, d.status("c", callerKey), http.StatusOK)
	awaitTrue(t, "engine still in use", func() bool { return d.status("d", callerKey) == http.StatusServiceUnavailable })
}

// Guards against calls that are sent to an engine that leaves.
func TestLeavingEngineGetsNoCalls(t *testing.T) {
	d := start(t, 2)
	d.list(d.engines[0], "draining")
	awaitTrue(t, "leaving not noticed", func() bool {
		before := len(d.engines[0].Runs())
		for _, id := range []string{"a", "b", "c", "d"} {
			assert.Equal(t, d.status(id, callerKey), http.StatusOK)
		}
		return len(d.engines[0].Runs()) == before
	})
}

// Guards against one entry that cannot be read which harms the others or names an engine.
func TestUnreadableEntries(t *testing.T) {
	d := start(t, 1)
	bad := d.engines[0].Entry("models", "a", "ready")
	delete(bad, "slots")
	d.store.Put("servers/i-bad", bad)
	d.store.Put("servers/i-raw", []byte{0xff, 0x00})
	unknown := d.engines[0].Entry("models", "a", "resting")
	d.store.Put("servers/i-unknown", unknown)
	d.store.Put("op/config", table(2, "key-2"))
	awaitTrue(t, "later change not seen", func() bool { return d.status("a", "key-2") == http.StatusOK })
	for _, id := range []string{"b", "c", "d"} {
		assert.Equal(t, d.status(id, "key-2"), http.StatusOK)
	}
}

// Guards against a reused address: another upstream answers there, and the call is not run.
func TestReusedAddress(t *testing.T) {
	d := start(t, 1)
	entry := d.engines[0].Entry("models", "a", "ready")
	d.store.Put("servers/i-other", entry)
	d.store.Remove("servers/i-0")
	awaitTrue(t, "call was run by another upstream", func() bool {
		return d.status("a", callerKey) == http.StatusServiceUnavailable
	})
}

// Replays an engine that crashed and started again under another id at the same address, while
// its old entry lives on. Guards against calls that are refused although other engines serve, and
// against an entry that is tried again and again.
func TestEntryOfAnEngineThatIsGone(t *testing.T) {
	d := start(t, 2)
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		d.store.Put("servers/"+id, d.engines[0].Entry("models", "a", "ready"))
	}
	d.store.Put("op/config", table(2, "key-2"))
	awaitTrue(t, "entries not known", func() bool { return d.status("a", "key-2") == http.StatusOK })
	before := d.runs()
	for i := range 12 {
		sent := quote(fmt.Sprint("q", i))
		sent.key = "key-2"
		got, err := d.send(sent)
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, d.runs(), before+12)
}

// Guards against engines that stay on older weights, and against calls that meet other weights
// than the ones that their cached parts belong to.
func TestNewWeightsAreLoaded(t *testing.T) {
	d := start(t, 2)
	d.store.Put("op/version/model-a", map[string]any{"model": "model-a", "version": 2})
	awaitTrue(t, "weights not loaded", func() bool {
		for _, engine := range d.engines {
			if version, _ := engine.Version(); version != 2 {
				return false
			}
		}
		return true
	})
	for _, engine := range d.engines {
		_, orders := engine.Version()
		assert.Equal(t, orders, 1)
	}
	awaitTrue(t, "no call on the new weights", func() bool {
		got, err := d.send(chat("a"))
		return err == nil && got.status == http.StatusOK
	})
	for _, engine := range d.engines {
		for _, run := range engine.Runs() {
			version := run.Header.Get("Magnoliaspoke-Expect-Version")
			assert.Equal(t, run.Header.Get("Magnoliaspoke-Cache-Salt"), "shared|model-a@"+version)
		}
	}
}

// Guards against an engine that started again on older weights while the store dropped its history
// and that stays on them, since its last report said that it had the new ones.
func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	d := start(t, 1)
	engine := d.engines[0]
	isLoaded := func() bool {
		version, orders := engine.Version()
		return version == 2 && orders == 1
	}
	d.store.Put("op/version/model-a", map[string]any{"model": "model-a", "version": 2})
	awaitTrue(t, "weights not loaded", isLoaded)
	awaitTrue(t, "report not read", func() bool { return d.hasLogged("engine takes calls again") })
	d.store.CompactOnPut()
	engine.Restart(1)
	d.list(engine, "ready")
	awaitTrue(t, "weights not loaded again", isLoaded)
}

// Guards against a planned stop that cuts off a request or goes on taking new connections.
func TestPlannedStopEndsOpenStreams(t *testing.T) {
	d := start(t, 1)
	d.engines[0].SetEventInterval(200 * time.Millisecond)
	type result struct {
		body string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		got, err := d.send(chat("r1"))
		done <- result{got.body, err}
	}()
	awaitTrue(t, "stream not begun", func() bool { return d.runs() == 1 })
	d.signals <- syscall.SIGTERM
	awaitTrue(t, "still ready", func() bool {
		status, err := d.readiness()
		return err == nil && status == http.StatusServiceUnavailable
	})
	got, err := d.send(book("r2"))
	assert.NilError(t, err)
	assert.Equal(t, got.isClose, true)
	ended := <-done
	assert.NilError(t, ended.err)
	assert.Equal(t, ended.body, wholeStream)
	select {
	case err := <-d.ended:
		assert.NilError(t, err)
	case <-time.After(8 * time.Second):
		t.Fatal("host does not stop")
	}
}

// Guards against calls that a stopping host takes although it cannot end them in time.
func TestStoppingHostTurnsLongCallsAway(t *testing.T) {
	d := startWithGrace(t, 1, 5*time.Second)
	d.signals <- syscall.SIGTERM
	awaitTrue(t, "still ready", func() bool {
		status, err := d.readiness()
		return err == nil && status == http.StatusServiceUnavailable
	})
	assert.Equal(t, d.status("a", callerKey), http.StatusOK)
	// A call under way keeps the host from ending.
	d.behave(fake.Hang)
	go func() { _ = d.status("b", callerKey) }()
	awaitTrue(t, "stream is still taken", func() bool {
		sent := d.request(chat("c"))
		sent.Header.Set("Magnoliaspoke-Deadline-Ms", "100")
		response, err := http.DefaultClient.Do(sent)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
	})
}

// Guards against overload that is not turned away at once with a time to come back.
func TestEnginesThatTurnAway(t *testing.T) {
	d := start(t, 1)
	d.behave(fake.Shed)
	begun := time.Now()
	got, err := d.send(chat("a"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(begun) < 2*time.Second)
}
