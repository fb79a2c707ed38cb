package edge_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/config"
	fake "magnoliaspoke.example/spoke/fake/platform"
)

// holdCall sends a call that waits inside an engine and returns the channel of its answer.
func (d *deployment) holdCall(id string) chan answer {
	d.t.Helper()
	d.setBehaviour(fake.Hang)
	answered := make(chan answer, 1)
	go func() {
		got, _ := d.send(quoteCall(id))
		answered <- got
	}()
	awaitTrue(d.t, "call has not reached the engine", func() bool { return d.runs() == 1 })
	return answered
}

func (d *deployment) nameWeights() time.Time {
	d.store.Put("op/version/model-a", map[string]any{"model": "model-a", "version": 2})
	return time.Now()
}

// listWatchers lists two hosts with an address, which then watch the directory for this one.
func (d *deployment) listWatchers(address string) {
	for _, id := range watchersOf(d.settings) {
		d.store.Put("spoke/hosts/"+string(id), map[string]any{"data-centre": "a", "address": address})
	}
	awaitTrue(d.t, "host does not list the others", func() bool { return d.hasLogged(`"peers":2`) })
}

// assertRecalled waits for the end of a call that waits inside an engine, at the latest when its weights
// have been replaced for limit.
func assertRecalled(t *testing.T, answered chan answer, named time.Time, limit time.Duration) {
	t.Helper()
	got := <-answered
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(named) < limit, "ended %s after newer weights were named", time.Since(named))
}

// Both hosts that watch the directory for this one are silent while weights are named. Guards against a
// limit that counts from when this host finally reads the change.
func TestCallIsRecalledInTimeWhenWatchersAreSilent(t *testing.T) {
	const limit = 2 * time.Second
	polled := make(chan struct{}, 100)
	watcher := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		polled <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(watcher.Close)
	t.Cleanup(watcher.CloseClientConnections)
	d := startWithSettings(t, 1, func(settings *config.Relay) { settings.WeightsApply = limit })
	answered := d.holdCall("stuck")
	d.listWatchers(watcher.Listener.Addr().String())
	<-polled
	assertRecalled(t, answered, d.nameWeights(), limit)
}

// The host that watches the directory for this one passes changes on after a while that it states.
// Guards against changes that count as new because that time is short.
func TestCallIsRecalledInTimeWhenChangesArriveLate(t *testing.T) {
	const (
		limit = 1500 * time.Millisecond
		lag   = 450 * time.Millisecond
	)
	d := startWithSettings(t, 1, func(settings *config.Relay) { settings.WeightsApply = limit })
	answered := d.holdCall("stuck")
	watcher := httptest.NewServer(lateFeed(d.store.Address(), lag))
	t.Cleanup(watcher.Close)
	t.Cleanup(watcher.CloseClientConnections)
	d.listWatchers(watcher.Listener.Addr().String())
	assertRecalled(t, answered, d.nameWeights(), limit)
}

// lateFeed answers polls for changes with those of the store after a lag, which it states.
func lateFeed(store string, lag time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after := r.URL.Query().Get("after")
		response, err := http.Get(fmt.Sprintf("http://%s/kv-watch?prefix=&after=%s&wait-ms=100", store, after))
		if err != nil {
			return
		}
		defer response.Body.Close()
		raw, _ := io.ReadAll(response.Body)
		var watched struct {
			Events  []any  `json:"events"`
			Current uint64 `json:"current-rev"`
		}
		_ = json.Unmarshal(raw, &watched)
		answer := map[string]any{"revision": watched.Current, "age-ms": 0, "proven-ms": 0}
		if len(watched.Events) > 0 {
			<-time.After(lag)
			answer["news"] = []any{map[string]any{
				"after": json.RawMessage(after), "revision": watched.Current, "missed-ms": lag.Milliseconds(), "raw": raw,
			}}
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// A host starts while engines are on replaced weights, and no other host can tell for how long. Guards
// against a call that begins on them although their time may be over.
func TestStartedHostUsesNoReplacedWeightsOfUnknownAge(t *testing.T) {
	d := startWithSettings(t, 1, func(settings *config.Relay) { settings.OrdersPause = time.Minute })
	d.signals <- syscall.SIGTERM
	assert.NilError(t, <-d.ended)
	d.nameWeights()
	other := d.addHost("host-2")
	got, err := other.send(quoteCall("early"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, other.runs(), 0)
}

// Weights are named during an outage of the store, which has dropped its history when it is back. Guards
// against a limit that counts from half of it before the directory is read again, although the outage was
// longer.
func TestCallIsRecalledInTimeAfterHistoryLoss(t *testing.T) {
	const (
		limit  = 3400 * time.Millisecond
		outage = 2400 * time.Millisecond
	)
	d := startWithSettings(t, 1, func(settings *config.Relay) { settings.WeightsApply = limit })
	d.store.Refuse(true)
	awaitTrue(t, "outage not noticed", func() bool { return d.hasLogged("directory lost") })
	// The call begins now, so that its own deadline of 4 s is after the limit.
	answered := d.holdCall("stuck")
	named := d.nameWeights()
	d.store.Compact()
	<-time.After(outage - time.Since(named))
	d.store.Refuse(false)
	assertRecalled(t, answered, named, limit)
}

// A host restarts during a rollout while another host knows when the weights were named. Guards against
// refusing calls for longer than reports need, although the weights may still be used.
func TestStartedHostLearnsAgeOfWeightsFromOthers(t *testing.T) {
	d := startWithSettings(t, 1, func(settings *config.Relay) { settings.OrdersPause = time.Minute })
	d.nameWeights()
	awaitTrue(t, "weights not known", func() bool { return d.hasLogged("weights wanted") })
	other := d.addHost("host-2")
	var attempts atomic.Int64
	started := time.Now()
	awaitTrue(t, "call still refused", func() bool {
		got, err := other.send(quoteCall(fmt.Sprint("q", attempts.Add(1))))
		return err == nil && got.status == http.StatusOK
	})
	assert.Assert(t, time.Since(started) < 900*time.Millisecond, "%s", time.Since(started))
}
