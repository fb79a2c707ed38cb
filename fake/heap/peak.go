package heap

import (
	"context"
	"runtime"
	"time"
)

const (
	// SmallHost is the memory of the smallest hosts in bytes.
	SmallHostBytes = 134 << 20
	// lookEvery is the interval at which the heap is looked at.
	lookEvery = 20 * time.Millisecond
)

// Peak returns the largest heap in bytes that it saw once ctx has ended, without what earlier tests left.
func Peak(ctx context.Context) <-chan uint64 {
	runtime.GC()
	result := make(chan uint64, 1)
	go func() {
		ticker := time.NewTicker(lookEvery)
		defer ticker.Stop()
		var most uint64
		for ctx.Err() == nil {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			most = max(most, stats.HeapInuse)
			<-ticker.C
		}
		result <- most
	}()
	return result
}
