package edge_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// drainTime is the time after which an engine that the store no longer lists gets no calls.
const drainTime = 2 * time.Second

// assertGone sends calls for a while and checks that an engine whose entry was just removed gets none after drainTime.
func (d *deployment) assertGone(engine *fake.Engine) {
	d.t.Helper()
	removed, last, runs := time.Now(), time.Duration(0), len(engine.Runs())
	for number := 0; time.Since(removed) < drainTime+drainTime/2; number++ {
		assert.Equal(d.t, d.bookingStatus(fmt.Sprint("gone-", number), callerKey), http.StatusOK)
		if now := len(engine.Runs()); now > runs {
			last, runs = time.Since(removed), now
		}
	}
	assert.Assert(d.t, last < drainTime, "engine %s gets a call %s after its removal", engine.ID, last)
}

// Guards against a host that reaches the store and yet ignores removals of engines for two seconds, again and again,
// while the hosts that watch the directory for it are cut off from the store.
func TestRemovalsCountWhileWatchersAreCutOff(t *testing.T) {
	polled := make(chan struct{}, 1)
	watcher := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case polled <- struct{}{}:
		default:
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(watcher.Close)
	d := start(t, 2)
	d.listWatchers(watcher.Listener.Addr().String())
	<-polled
	d.store.Remove("servers/" + d.engines[0].ID)
	d.assertGone(d.engines[0])
}

// Guards against a host that ignores removals of engines because waiting watches are cut, which the store may do at any
// time.
func TestRemovalsCountWhileWatchesAreCut(t *testing.T) {
	d := start(t, 2)
	d.store.CutWatches(50 * time.Millisecond)
	before := d.store.Watches()
	awaitTrue(t, "no watch is cut", func() bool { return d.store.Watches() > before+6 })
	d.store.Remove("servers/" + d.engines[0].ID)
	d.assertGone(d.engines[0])
	assert.Assert(t, !d.hasLogged("directory lost"))
}

// Guards against an outage of the store that a host does not notice, since it has heard of it from others and its own
// call was answered once the store was back: engines whose entries expired meanwhile would count as removed.
func TestOutageThatEndsDuringCheckIsNoticed(t *testing.T) {
	isLost := make(chan struct{})
	watcher := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-isLost:
		case <-r.Context().Done():
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(watcher.Close)
	t.Cleanup(watcher.CloseClientConnections)
	d := start(t, 2)
	d.listWatchers(watcher.Listener.Addr().String())
	d.store.Delay(1300 * time.Millisecond)
	d.store.Remove("servers/" + d.engines[0].ID)
	close(isLost)
	awaitTrue(t, "outage not noticed", func() bool { return d.hasLogged("directory regained") })
	d.store.Put("servers/"+d.engines[0].ID, d.engines[0].Entry("models", "a", "ready"))
	d.store.Delay(0)
	d.store.Put("op/config", table(2, "key-2"))
	awaitTrue(t, "later change not seen", func() bool { return d.bookingStatus("a", "key-2") == http.StatusOK })
	before := len(d.engines[0].Runs())
	for number := range 8 {
		assert.Equal(t, d.bookingStatus(fmt.Sprint("kept-", number), "key-2"), http.StatusOK)
	}
	assert.Assert(t, len(d.engines[0].Runs()) > before, "engine is no longer used")
}
