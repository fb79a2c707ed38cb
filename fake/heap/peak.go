package heap

import (
	"context"
	"runtime"
	"sync"
	"time"
)

const (
	// SmallHostBytes is the memory of the smallest supported hosts in bytes.
	SmallHostBytes = 134 << 20
	// sampleInterval is the time between two measurements of the heap.
	sampleInterval = 20 * time.Millisecond
)

// Peak measures the heap size until ctx ends and then sends the maximum in bytes on the returned
// channel. It first runs the garbage collector, so that garbage of earlier tests does not count.
func Peak(ctx context.Context) <-chan uint64 {
	runtime.GC()
	result := make(chan uint64, 1)
	go func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		var peak uint64
		for ctx.Err() == nil {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapInuse)
			<-ticker.C
		}
		result <- peak
	}()
	return result
}

// PeakOf makes calls at once, each with its number, and returns the maximum heap size in bytes until all have returned.
func PeakOf(calls int, call func(number int)) uint64 {
	ctx, end := context.WithCancel(context.Background())
	peak := Peak(ctx)
	var group sync.WaitGroup
	for number := range calls {
		group.Go(func() { call(number) })
	}
	group.Wait()
	end()
	return <-peak
}
