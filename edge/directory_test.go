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

// bookingStatus sends a call of the booking route and returns its status, zero if there was no answer.
func (d *deployment) bookingStatus(id, key string) int {
	c := bookCall(id)
	c.key = key
	got, err := d.send(c)
	if err != nil {
		return 0
	}
	return got.status
}

// Guards against calls that are checked against an older routing table than the published one.
func TestNewRoutingTableTakesEffect(t *testing.T) {
	d := start(t, 1)
	assert.Equal(t, d.bookingStatus("a", "key-2"), http.StatusUnauthorized)
	d.store.Put("op/config", table(5, "key-2"))
	awaitTrue(t, "new key not known", func() bool { return d.bookingStatus("b", "key-2") == http.StatusOK })
	assert.Equal(t, d.bookingStatus("c", callerKey), http.StatusUnauthorized)

	d.store.Put("op/config", table(4, callerKey))
	d.store.Put("op/config", []byte("no table"))
	d.store.Put("op/config", table(6, "key-3"))
	awaitTrue(t, "newest key not known", func() bool { return d.bookingStatus("d", "key-3") == http.StatusOK })
}

// Guards against a host that misses changes because the store has dropped its history.
func TestDirectoryIsReadAgainAfterHistoryLoss(t *testing.T) {
	d := start(t, 1)
	d.store.Put("op/config", table(2, "key-2"))
	d.store.Compact()
	awaitTrue(t, "new key not known", func() bool { return d.bookingStatus("a", "key-2") == http.StatusOK })
}

// Guards against a host that stops serving while the store is unavailable, or that denies a key which
// may have been added in the meantime.
func TestHostServesDuringStoreOutage(t *testing.T) {
	d := start(t, 1)
	d.store.Refuse(true)
	awaitTrue(t, "unknown key is still denied", func() bool {
		return d.bookingStatus("a", "key-2") == http.StatusServiceUnavailable
	})
	assert.Equal(t, d.bookingStatus("b", callerKey), http.StatusOK)
	status, err := d.readiness()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	d.store.Refuse(false)
	awaitTrue(t, "unknown key is not denied", func() bool { return d.bookingStatus("c", "key-2") == http.StatusUnauthorized })
}

// Guards against engines that count as removed because their entries expired during an outage of the
// store, and against engines that stay in use although their entries are not announced again.
func TestEntriesExpiringDuringOutage(t *testing.T) {
	d := start(t, 1)
	d.store.Refuse(true)
	awaitTrue(t, "outage not noticed", func() bool { return d.bookingStatus("a", "key-2") == http.StatusServiceUnavailable })
	d.store.Remove("servers/i-0")
	d.store.Refuse(false)
	awaitTrue(t, "store not regained", func() bool { return d.bookingStatus("b", "key-2") == http.StatusUnauthorized })
	assert.Equal(t, d.bookingStatus("c", callerKey), http.StatusOK)
	awaitTrue(t, "engine still in use", func() bool { return d.bookingStatus("d", callerKey) == http.StatusServiceUnavailable })
}

// Guards against calls to an engine whose entry marks it as leaving.
func TestLeavingEngineGetsNoCalls(t *testing.T) {
	d := start(t, 2)
	d.putEntry(d.engines[0], "draining")
	awaitTrue(t, "leaving not noticed", func() bool {
		before := len(d.engines[0].Runs())
		for _, id := range []string{"a", "b", "c", "d"} {
			assert.Equal(t, d.bookingStatus(id, callerKey), http.StatusOK)
		}
		return len(d.engines[0].Runs()) == before
	})
}

// Guards against an unreadable entry that prevents others from being read or adds an engine.
func TestUnreadableEntriesAreIgnored(t *testing.T) {
	d := start(t, 1)
	bad := d.engines[0].Entry("models", "a", "ready")
	delete(bad, "slots")
	d.store.Put("servers/i-bad", bad)
	d.store.Put("servers/i-raw", []byte{0xff, 0x00})
	unknown := d.engines[0].Entry("models", "a", "resting")
	d.store.Put("servers/i-unknown", unknown)
	d.store.Put("op/config", table(2, "key-2"))
	awaitTrue(t, "later change not seen", func() bool { return d.bookingStatus("a", "key-2") == http.StatusOK })
	for _, id := range []string{"b", "c", "d"} {
		assert.Equal(t, d.bookingStatus(id, "key-2"), http.StatusOK)
	}
}

// Guards against calls that are run by another upstream which has taken over an address.
func TestReusedAddressGetsNoCalls(t *testing.T) {
	d := start(t, 1)
	entry := d.engines[0].Entry("models", "a", "ready")
	d.store.Put("servers/i-other", entry)
	d.store.Remove("servers/i-0")
	awaitTrue(t, "call was run by another upstream", func() bool {
		return d.bookingStatus("a", callerKey) == http.StatusServiceUnavailable
	})
}

// An engine that crashes and restarts at the same address under another id leaves its old entry in the
// directory until that expires. Guards against calls that are refused although other engines serve, and
// against repeated attempts at such an entry.
func TestStaleEntriesAtAddressOfOtherEngine(t *testing.T) {
	d := start(t, 2)
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		d.store.Put("servers/"+id, d.engines[0].Entry("models", "a", "ready"))
	}
	d.store.Put("op/config", table(2, "key-2"))
	awaitTrue(t, "entries not known", func() bool { return d.bookingStatus("a", "key-2") == http.StatusOK })
	before := d.runs()
	for i := range 12 {
		sent := quoteCall(fmt.Sprint("q", i))
		sent.key = "key-2"
		got, err := d.send(sent)
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, d.runs(), before+12)
}

// Guards against engines that keep older weights, and against calls whose cached prompt parts were made
// with other weights than the expected ones.
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
		got, err := d.send(chatCall("a"))
		return err == nil && got.status == http.StatusOK
	})
	for _, engine := range d.engines {
		for _, run := range engine.Runs() {
			version := run.Header.Get("Magnoliaspoke-Expect-Version")
			assert.Equal(t, run.Header.Get("Magnoliaspoke-Cache-Salt"), "shared|model-a@"+version)
		}
	}
}

// Guards against an engine that keeps older weights after a restart: the store dropped its history at
// the same time, and the last report of the engine listed the new weights.
func TestRestartedEngineIsOrderedToReloadWeights(t *testing.T) {
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
	d.putEntry(engine, "ready")
	awaitTrue(t, "weights not loaded again", isLoaded)
}

// Guards against a planned stop that aborts open requests or keeps accepting new connections.
func TestStopCompletesOpenStreams(t *testing.T) {
	d := start(t, 1)
	d.engines[0].SetEventInterval(200 * time.Millisecond)
	type result struct {
		body string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		got, err := d.send(chatCall("r1"))
		done <- result{got.body, err}
	}()
	awaitTrue(t, "stream not begun", func() bool { return d.runs() == 1 })
	d.signals <- syscall.SIGTERM
	awaitTrue(t, "still ready", func() bool {
		status, err := d.readiness()
		return err == nil && status == http.StatusServiceUnavailable
	})
	got, err := d.send(bookCall("r2"))
	assert.NilError(t, err)
	assert.Equal(t, got.closesConnection, true)
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

// Guards against a stopping host that accepts calls which it cannot complete in time.
func TestStoppingHostRefusesLongCalls(t *testing.T) {
	d := startWithGrace(t, 1, 5*time.Second)
	d.signals <- syscall.SIGTERM
	awaitTrue(t, "still ready", func() bool {
		status, err := d.readiness()
		return err == nil && status == http.StatusServiceUnavailable
	})
	assert.Equal(t, d.bookingStatus("a", callerKey), http.StatusOK)
	// A call in flight keeps the host from ending.
	d.setBehaviour(fake.Hang)
	go func() { _ = d.bookingStatus("b", callerKey) }()
	awaitTrue(t, "stream is still accepted", func() bool {
		sent := d.request(chatCall("c"))
		sent.Header.Set("Magnoliaspoke-Deadline-Ms", "100")
		response, err := http.DefaultClient.Do(sent)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
	})
}

// Guards against calls that are not refused at once, with a Retry-After, while the engine is overloaded.
func TestShedCallIsRefusedWithRetryAfter(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.Shed)
	begun := time.Now()
	got, err := d.send(chatCall("a"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(begun) < 2*time.Second)
}
