package edge_test

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against planned stops of hosts that cut off the streams of other hosts which go through them.
func TestStoppingHostsEndDetoursInOrder(t *testing.T) {
	hosts := startCutOff(t)
	for _, engine := range hosts[0].engines {
		engine.SetEventInterval(400 * time.Millisecond)
	}
	hosts[1].ways.cut(cutResets)
	awaitTrue(t, "host does not connect through others", func() bool {
		got, err := hosts[1].send(bookCall("r-detour"))
		return err == nil && got.status == http.StatusOK
	})

	begun := make(chan struct{}, 8)
	var streams sync.WaitGroup
	for range cap(begun) {
		streams.Go(func() {
			begun <- struct{}{}
			got, err := hosts[1].send(quoteCall("r-stream"))
			assert.Check(t, err)
			assert.Check(t, got.status == http.StatusOK && got.body == wholeStream, "status %d, body %q", got.status, got.body)
		})
	}
	awaitTrue(t, "no engine runs the streams", func() bool { return len(begun) == cap(begun) && hosts[0].runs() >= cap(begun) })
	stopped := time.Now()
	for _, host := range []cutOffHost{hosts[0], hosts[2], hosts[3]} {
		host.signals <- syscall.SIGTERM
	}
	streams.Wait()
	for _, host := range []cutOffHost{hosts[0], hosts[2], hosts[3]} {
		assert.Check(t, <-host.ended)
		assert.Check(t, !host.hasLogged("connections of other hosts are cut off"))
	}
	assert.Assert(t, time.Since(stopped) < hosts[0].settings.StopGrace, "idle connections of other hosts delay the stop")
	got, err := hosts[1].send(bookCall("r-after"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
}
