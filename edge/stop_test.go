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

// Replays callers that go on making connections while a host stops and the store is slow. Guards against a call that is
// passed on to an engine while the process ends, so that its caller gets no answer.
func TestNoCallIsCutOffWhileTheHostEnds(t *testing.T) {
	d := start(t, 1)
	var answered atomic.Int64
	var hasEnded atomic.Bool
	var callers sync.WaitGroup
	d.store.Delay(200 * time.Millisecond)
	for number := range 2 {
		callers.Go(func() {
			for count := 0; !hasEnded.Load(); count++ {
				if got, err := d.send(book(fmt.Sprintf("r-%d-%d", number, count))); err == nil && got.status == 200 {
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

// Replays a release while the store is slow: hosts whose last calls took up the time to stop were
// still waiting for the store when it was over. Guards against a process that outlives its grace
// and is killed.
func TestHostEndsInTimeWhileTheStoreIsSlow(t *testing.T) {
	const grace = 5 * time.Second
	d := startWithGrace(t, 1, grace)
	d.engines[0].SetEventInterval(time.Minute)
	var caller sync.WaitGroup
	caller.Go(func() { _, _ = d.send(book("held")); _, _ = d.send(chat("held-too")) })
	awaitTrue(t, "stream not begun", func() bool { return d.runs() == 2 })
	d.store.Delay(grace)
	begin := time.Now()
	d.signals <- syscall.SIGTERM
	assert.NilError(t, <-d.ended)
	took := time.Since(begin)
	assert.Assert(t, took < grace, "took %s", took)
	caller.Wait()
}
