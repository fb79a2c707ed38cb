package slope

import (
	"runtime"
	"syscall"
	"time"

	"magnoliaspoke.example/spoke"
)

// ProcessorTime returns the user and system processor time used by this process, or zero if it is unavailable.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// HeapSize runs a garbage collection and returns the size of the live heap.
func HeapSize() spoke.ByteSize {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return spoke.ByteSize(stats.HeapAlloc)
}
