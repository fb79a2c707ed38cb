package edge_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a call that is still sent to an engine while the process ends, so that its caller gets
// no answer. Callers keep making connections while the host stops and the store is slow.
func TestStoppingHostAbortsNoCall(t *testing.T) {
	d := start(t, 1)
	var answered atomic.Int64
	var hasEnded atomic.Bool
	var callers sync.WaitGroup
	d.store.Delay(200 * time.Millisecond)
	for number := range 2 {
		callers.Go(func() {
			for count := 0; !hasEnded.Load(); count++ {
				if got, err := d.send(bookCall(fmt.Sprintf("r-%d-%d", number, count))); err == nil && got.status == 200 {
					answered.Add(1)
				}
			}
		})
	}
	awaitTrue(t, "no calls", func() bool { return answered.Load() > 20 })
	d.signals <- syscall.SIGTERM
	assert.NilError(t, <-d.ended)
	hasEnded.Store(true)
	callers.Wait()
	assert.Equal(t, int64(d.runs()), answered.Load())
}

// Guards against a process that exceeds its grace period and is killed: its last calls took up the time
// to stop, and it then still waited for a slow store.
func TestStopWithinGraceWhileStoreIsSlow(t *testing.T) {
	const grace = 5 * time.Second
	d := startWithGrace(t, 1, grace)
	d.engines[0].SetEventInterval(time.Minute)
	var caller sync.WaitGroup
	caller.Go(func() { _, _ = d.send(bookCall("held")); _, _ = d.send(chatCall("held-too")) })
	awaitTrue(t, "stream not begun", func() bool { return d.runs() == 2 })
	d.store.Delay(grace)
	begin := time.Now()
	d.signals <- syscall.SIGTERM
	assert.NilError(t, <-d.ended)
	took := time.Since(begin)
	assert.Assert(t, took < grace, "took %s", took)
	caller.Wait()
}
