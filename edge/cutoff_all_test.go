package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wrong outcome of calls that no host can serve, and against hosts that do not find their ways again.
func TestCallsThatNoHostCanServeAreRefused(t *testing.T) {
	for _, form := range []cutForm{cutHangs, cutResets} {
		t.Run(string(form), func(t *testing.T) { checkAllCutOff(t, form) })
	}
}

func checkAllCutOff(t *testing.T, form cutForm) {
	hosts := startCutOff(t)
	for _, host := range hosts {
		got, err := host.send(bookCall("before-" + string(host.settings.Host)))
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusOK)
		host.ways.cut(form)
	}
	failUntil(t, hosts, time.Now().Add(afterCut))
	runs := hosts[0].runs()
	for _, host := range hosts {
		begun := time.Now()
		got, err := host.send(bookCall("late-" + string(host.settings.Host)))
		assert.NilError(t, err)
		assert.Assert(t, got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "not-run"), "%d %s", got.status, got.body)
		assert.Assert(t, time.Since(begun) < 4*time.Second+soonTime, "answered after %s", time.Since(begun))
		detours, _ := host.detourCounts()
		assert.Check(t, detours == 0, "%s made %d detours", host.settings.Host, detours)
	}
	assert.Equal(t, hosts[0].runs(), runs)
	restored := time.Now()
	for _, host := range hosts {
		for engine, way := range host.ways.ways {
			way.SetTarget(engine)
			way.Restore()
		}
	}
	for _, host := range hosts {
		awaitTrue(t, "host does not find its ways", func() bool {
			got, err := host.send(lookCall("again"))
			return err == nil && got.status == http.StatusOK
		})
	}
	assert.Assert(t, time.Since(restored) < afterCut, "ways are found after %s", time.Since(restored))
}

// failUntil makes calls at each host, which have to fail, so that each finds that its ways are lost.
func failUntil(t *testing.T, hosts []cutOffHost, end time.Time) {
	t.Helper()
	var number atomic.Int64
	var callers sync.WaitGroup
	for _, host := range hosts {
		callers.Go(func() {
			for time.Now().Before(end) {
				got, err := host.send(bookCall(fmt.Sprint("early-", number.Add(1))))
				assert.Check(t, err)
				assert.Check(t, got.status >= http.StatusInternalServerError, "%d %s", got.status, got.body)
			}
		})
	}
	callers.Wait()
}
