package slope

import (
	"runtime"
	"syscall"
	"time"

	"magnoliaspoke.example/spoke"
)

// ProcessorTime returns the processor time that this process has used.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// HeapSize returns the live heap after a collection.
func HeapSize() spoke.ByteSize {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return spoke.ByteSize(stats.HeapAlloc)
}
