package edge_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/relay"
)

// startBehindRelay runs a host whose only engine is reached through a relay.
func startBehindRelay(t *testing.T, change func(*config.Relay)) (*deployment, *relay.Relay) {
	t.Helper()
	d := startWithSettings(t, 0, change)
	engine := fake.NewEngine("i-0", 4)
	t.Cleanup(engine.Close)
	way, err := relay.New("127.0.0.1:0", spoke.Address(engine.Address()))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, way.Close()) })
	entry := engine.Entry("models", "a", "ready")
	entry["address"] = string(way.Address())
	d.store.Put("servers/"+engine.ID, entry)
	d.engines = append(d.engines, engine)
	awaitTrue(t, "engine takes no calls", func() bool {
		got, err := d.send(quoteCall("first"))
		return err == nil && got.status == http.StatusOK
	})
	return d, way
}

// Guards against a call that begins on replaced weights after its recall, since a partition held its bytes up and the
// connection was closed in order.
func TestCallHeldUpByCutDoesNotBeginAfterItsRecall(t *testing.T) {
	const limit = 1500 * time.Millisecond
	d, way := startBehindRelay(t, func(settings *config.Relay) { settings.WeightsApply, settings.OrdersPause = limit, time.Minute })
	way.Cut()
	named := d.nameWeights()
	answered := make(chan answer, 1)
	go func() {
		got, _ := d.send(quoteCall("stuck"))
		answered <- got
	}()
	assertRecalled(t, answered, named, limit)
	assertNothingRunsBehind(t, d, way)
}

// Guards against a call that may run once and that an engine runs after its caller has got the final answer, since a
// partition held its bytes up.
func TestCallHeldUpByCutDoesNotRunAfterItsDeadline(t *testing.T) {
	d, way := startBehindRelay(t, func(*config.Relay) {})
	way.Cut()
	got, err := d.send(bookCall("late"))
	assert.NilError(t, err)
	assert.Assert(t, got.status == http.StatusGatewayTimeout || got.status == http.StatusBadGateway, "status %d", got.status)
	assertNothingRunsBehind(t, d, way)
}

// assertNothingRunsBehind ends a cut and asserts that the engine gets nothing that was sent before.
func assertNothingRunsBehind(t *testing.T, d *deployment, way *relay.Relay) {
	t.Helper()
	before := d.runs()
	way.Restore()
	<-time.After(300 * time.Millisecond)
	assert.Equal(t, d.runs(), before)
}
